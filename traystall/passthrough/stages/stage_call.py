"""What one gateway asked of a pool for one stage of a request, and the pieces of it."""

import asyncio

import msgspec

from traystall.passthrough.stages.batching import PieceJob

# How many ends of targets one stage of a request may meet: after the first it is made alone, so
# that the second one tells.
MAX_TARGET_ENDS = 2


class StageCall(msgspec.Struct, eq=False):
    """Hold what one gateway asked for: all pieces of one stage of one request."""

    handles: list[str]
    reasons: list[str]
    done: asyncio.Future
    started: bool = False
    # When it was asked for, how long the last of its pieces waited, and how long that one's call
    # took, in seconds.
    requested_at: float = 0.0
    waited: float = 0.0
    called: float = 0.0
    # When to come back, in seconds, where it was given up since its targets rest.
    retry_after: float | None = None
    # Lives of targets that ended while they made pieces of it, and how many of them it may meet.
    ended: list[str] = []
    max_target_ends: int = MAX_TARGET_ENDS

    def close(self, piece: int, handle: str, reason: str) -> None:
        """Take in what became of a piece; the first result of it counts."""
        self.handles[piece] = handle
        self.reasons[piece] = reason
        if (reason or all(self.handles)) and not self.done.done():
            self.done.set_result(None)


def to_job(request, locality, piece, now) -> PieceJob:
    """Return one piece of a stage that `request` asks for, best made at `locality`."""
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
