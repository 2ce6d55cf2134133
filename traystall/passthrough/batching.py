"""Decide which pieces a free target gets. Pure."""

import msgspec

from traystall.routes.models import BatchProfile


class PieceJob(msgspec.Struct, eq=False):
    """Hold one piece that is to be made.

    `due` is when it should begin so that its request is in time, `deadline`
    when it is of no more use, both in monotonic seconds.
    """

    call_id: str
    request_id: str
    stage: int
    piece: int
    key: str
    inputs: tuple[str, ...]
    priority: int
    due: float
    deadline: float
    result_bytes: int
    tries: int = 0


def order_key(job: PieceJob, now: float) -> tuple:
    """Return what to sort by: what can still be in time first, and of that the most pressing.

    A request that is already too late for its aim waits behind those that are not.
    """
    return (job.due < now - _LOST_SECONDS, job.due, job.request_id, job.stage, job.piece)


# A piece that should have begun this long ago, in seconds, is no longer likely to be in time.
_LOST_SECONDS = 0.25


def take_batch(
    waiting: list[PieceJob], profile: BatchProfile, room: float, now: float
) -> list[PieceJob]:
    """Return the pieces for one call, the most pressing first, within batch and room."""
    batch: list[PieceJob] = []
    for job in sorted(waiting, key=lambda job: order_key(job, now)):
        if job.deadline <= now:
            continue
        if job.result_bytes > room:
            continue
        room -= job.result_bytes
        batch.append(job)
        if len(batch) == profile.batch:
            break
    return batch
