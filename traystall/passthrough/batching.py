"""Decide which pieces a free target gets. Pure; times are monotonic seconds, sizes bytes."""

import msgspec

from traystall.routes.models import BatchProfile

# Added to the priority of work that is done only when nothing else waits.
BACKGROUND = 100
# A piece that should have begun this long ago is no longer likely to be in time.
_LOST_SECONDS = 0.25
# A piece goes to a target outside the data centre where its result is read only when it has
# to begin within this time.
_PRESSING_SECONDS = 0.3


class PieceJob(msgspec.Struct, eq=False):
    """Hold one piece that is to be made.

    `due` is when it should begin so that its request is in time, `deadline`
    when it is of no more use; `data_centre` is where its result will be read.
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
    data_centre: str = ""
    tries: int = 0


def order_key(job: PieceJob, now: float) -> tuple:
    """Return what to sort by: requests that have begun, then urgency, then time left.

    Background work comes after all other.

    What a request that has begun holds takes room, so it goes on even if it is
    late; of the others those that can still be in time go first.
    """
    begun = bool(job.inputs)
    lost = not begun and job.due < now - _LOST_SECONDS
    background = job.priority >= BACKGROUND
    return (
        background,
        not begun,
        job.priority,
        lost,
        job.due,
        job.request_id,
        job.stage,
        job.piece,
    )


def may_go(job: PieceJob, data_centre: str, crowded: bool, now: float) -> bool:
    """Return whether a target of `data_centre` may make a piece now.

    Results that cross data centres cost more than some waiting.
    """
    at_home = not job.data_centre or job.data_centre == data_centre
    return at_home or crowded or job.due < now + _PRESSING_SECONDS


def take_batch(
    waiting: list[PieceJob],
    profile: BatchProfile,
    room: float,
    now: float,
    data_centre: str = "",
    makers: int = 1,
) -> list[PieceJob]:
    """Return the pieces for one call of a target, within its batch and room.

    The most pressing go first. While more waits than all `makers` of the pool
    take at once, no slot is left empty for the sake of a piece's data centre.
    """
    live = [job for job in waiting if job.deadline > now]
    crowded = len(live) > profile.batch * makers
    ranked = sorted(live, key=lambda job: order_key(job, now))
    if crowded and data_centre:
        ranked = _home_first(ranked, profile.batch, data_centre)
    batch: list[PieceJob] = []
    for job in ranked:
        if len(batch) == profile.batch:
            break
        if job.result_bytes <= room and may_go(job, data_centre, crowded, now):
            room -= job.result_bytes
            batch.append(job)
    return batch


def _home_first(ranked, batch, data_centre):
    """Return the next two calls' worth of pieces with those read here before the others."""
    head, rest = ranked[: 2 * batch], ranked[2 * batch :]
    head.sort(key=lambda job: bool(job.data_centre) and job.data_centre != data_centre)
    return head + rest
