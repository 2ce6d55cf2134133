"""The state of one stage call: a gateway's request to run all pieces of a request's stage."""

import asyncio

import msgspec

from traystall.passthrough.stages.batching import PieceJob

# How many targets may end while they run a stage of one request. After the first end the stage runs
# isolated from other requests, so that a second end identifies the request as the cause.
MAX_TARGET_ENDS = 2
# The reason of pieces of a call that was cancelled.
CANCELLED = "cancelled"


class StageCall(msgspec.Struct, eq=False):
    """Hold the results of a stage call, and the future that completes with them."""

    handles: list[str]
    reasons: list[str]
    done: asyncio.Future
    started: bool = False
    # When the call came in; how long its last completed piece waited and how long that piece's
    # call of the target took, in seconds.
    requested_at: float = 0.0
    waited: float = 0.0
    called: float = 0.0
    # Seconds after which to retry, if the call failed because its targets are in backoff.
    retry_after: float | None = None
    # Incarnations of targets that ended while they ran pieces of this stage, and how many may end
    # before the stage fails.
    ended: list[str] = []
    max_target_ends: int = MAX_TARGET_ENDS

    def close(self, piece: int, handle: str, reason: str) -> None:
        """Record the first result of a piece, or the reason why it has none."""
        self.handles[piece] = handle
        self.reasons[piece] = reason
        if (reason or all(self.handles)) and not self.done.done():
            self.done.set_result(None)

    def cancel(self) -> list[str]:
        """Complete the call without results; return those that it had."""
        made = [handle for handle in self.handles if handle]
        self.handles = [""] * len(self.handles)
        self.reasons = [CANCELLED] * len(self.reasons)
        if not self.done.done():
            self.done.set_result(None)
        return made


def to_job(request, locality, piece, now) -> PieceJob:
    """Return one piece of the requested stage, to be run preferably as `locality` says."""
    return PieceJob(
        call_id=request.call_id,
        request_id=request.request_id,
        stage=request.stage,
        piece=piece,
        key=request.key or "",
        inputs=tuple(request.inputs or ()),
        priority=request.priority or 0,
        due=now + (request.seconds_to_start or 0.0),
        deadline=now + (request.seconds_left or 0.0),
        result_bytes=request.result_bytes or 0,
        data_centre=locality.data_centre,
        places=tuple(request.places or ()),
        away_bytes=locality.away_bytes,
        split_bytes=locality.split_bytes,
        reader_pools=locality.reader_pools,
        alone=bool(request.alone),
    )
