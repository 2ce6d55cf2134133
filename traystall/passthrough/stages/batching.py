"""Decide which pieces a free target gets. Pure; times are monotonic seconds, sizes bytes."""

from collections import Counter

import msgspec

from traystall.routes.models import BatchProfile

# A piece that should have begun this long ago is no longer likely to be in time.
_LOST_SECONDS = 0.25
# A pool is crowded when more waits than this part of what all its targets take at once.
_CROWDED_PART = 0.4
# A stage that needs more than this part of a target's whole room is not made at one target.
_WHOLE_PART = 0.8
# Bytes that cross data centres count as much as waiting, so many as a second
# (docs/design/platform-rounds.md, "Tried and dropped").
_BYTES_PER_SECOND = 10_000_000
# A stage that moves more than this stays at home as long as it is in time by _SLACK_SECONDS,
# and once it is late; one that moves less goes away when it has to begin within _PRESSING_SECONDS.
_HEAVY_BYTES = 300_000
_PRESSING_SECONDS = 0.1
_SLACK_SECONDS = 0.15


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
    # Data centres in which the result may be; none means anywhere.
    places: tuple[str, ...] = ()
    # What crosses data centres if it is made away from `data_centre`, and if it is made in
    # another one than the rest of its stage.
    away_bytes: int = 0
    apart_bytes: int = 0
    # The pools whose targets will read its result.
    next_pools: tuple[str, ...] = ()
    # Whether it goes in a call with pieces of its own request only.
    alone: bool = False


def order_key(job: PieceJob, now: float) -> tuple:
    """Return what to sort by: requests that have begun, then urgency, then time left.

    What a request that has begun holds takes room, so it goes on even if it is
    late; of the others those that can still be in time go first.
    """
    begun = bool(job.inputs)
    lost = not begun and job.due < now - _LOST_SECONDS
    return (
        not begun,
        job.priority,
        lost,
        job.due,
        job.request_id,
        job.stage,
        job.piece,
    )


class FreeTarget(msgspec.Struct, frozen=True):
    """Describe the target to be called: where it is, and what else the pool has.

    `workers` are all targets of the pool, `home_waits` how long the next of them
    in each data centre is still at work, in seconds, and `home_rates` how many
    pieces a second they make there; a data centre that is not named has none.
    `lacks` names pools that have no target in this data centre.
    """

    data_centre: str = ""
    workers: int = 1
    home_waits: dict[str, float] = {}
    home_rates: dict[str, float] = {}
    lacks: frozenset[str] = frozenset()

    def is_home(self, job: PieceJob) -> bool:
        """Return whether nothing speaks for making a piece in another data centre."""
        if job.data_centre:
            return job.data_centre == self.data_centre
        return not self.lacks.intersection(job.next_pools)

    def crossing_bytes(self, jobs: list[PieceJob]) -> int:
        """Return what pieces of one stage move between data centres if they are made here."""
        if self.is_home(jobs[0]):
            return 0
        if jobs[0].data_centre:
            return sum(job.away_bytes for job in jobs)
        return sum(job.apart_bytes for job in jobs)

    def home_wait(self, job: PieceJob, ahead: Counter[str]) -> float:
        """Return how long a piece waits where it is best made; inf if nobody makes it there.

        `ahead` counts the pieces that go before it in each data centre.
        """
        if job.data_centre:
            return self._wait_in(job.data_centre, ahead)
        others = [place for place in self.home_waits if place != self.data_centre]
        return min((self._wait_in(place, ahead) for place in others), default=float("inf"))

    def _wait_in(self, data_centre, ahead):
        wait = self.home_waits.get(data_centre, float("inf"))
        rate = self.home_rates.get(data_centre, float("inf"))
        if not ahead[data_centre]:
            return wait
        return wait + ahead[data_centre] / rate if rate > 0 else float("inf")


def may_go(
    jobs: list[PieceJob], target: FreeTarget, ahead: Counter[str], crowded: bool, now: float
) -> bool:
    """Return whether a target may make the waiting pieces of one stage now.

    Results that cross data centres cost more than some waiting. Once a stage is late,
    to let much cross helps nobody: it waits for its home, if not for too long.
    """
    first = jobs[0]
    if first.places and target.data_centre not in first.places:
        return False
    crossing = target.crossing_bytes(jobs)
    wait = target.home_wait(first, ahead)
    if not crossing or crossing <= wait * _BYTES_PER_SECOND:
        return True
    if crossing < _HEAVY_BYTES:
        return crowded or first.due < now + _PRESSING_SECONDS
    late_anyway = first.due < now - _LOST_SECONDS
    return not late_anyway and first.due <= now + wait + _SLACK_SECONDS


def select_batch(
    waiting: list[PieceJob],
    profile: BatchProfile,
    room: float,
    now: float,
    target: FreeTarget = FreeTarget(),  # noqa: B008 - it is frozen.
    started: frozenset[str] = frozenset(),
) -> list[PieceJob]:
    """Return the pieces for one call of a target, within its batch and room.

    The most pressing go first. While the workers of the pool have much before them,
    no slot is left empty for the sake of a piece's data centre.
    The pieces of a stage are begun only where there is room for all that wait of
    it: results of half a stage would take room and be of no use. `started` names
    the calls of which some pieces were begun; those go on first.
    """
    live = [job for job in waiting if job.deadline > now]
    crowded = len(live) > profile.batch * target.workers * _CROWDED_PART
    ranked = sorted(live, key=lambda job: (job.call_id not in started, *order_key(job, now)))
    if crowded and target.data_centre:
        ranked = _home_first(ranked, profile.batch, target)
    batch: list[PieceJob] = []
    # Pieces that were left for the targets of their data centre.
    ahead: Counter[str] = Counter()
    for jobs in _by_call(ranked):
        if len(batch) == profile.batch:
            break
        if not may_go(jobs, target, ahead, crowded, now):
            ahead[jobs[0].data_centre] += len(jobs)
            continue
        taken = _that_fit(jobs, profile, room, jobs[0].call_id in started)
        taken = taken[: profile.batch - len(batch)]
        room -= sum(job.result_bytes for job in taken)
        batch += taken
    return batch


def set_apart(batch: list[PieceJob]) -> list[PieceJob]:
    """Return the pieces of a batch that may go in one call.

    Targets ended under a piece that goes alone, or while it was made beside others: alone it shows
    which request did it, and takes none of the others along.
    """
    if not any(job.alone for job in batch):
        return batch
    first = batch[0]
    if first.alone:
        return [job for job in batch if job.request_id == first.request_id]
    return [job for job in batch if not job.alone]


def _that_fit(jobs, profile, room, started):
    """Return the pieces of one stage that may be begun with so much room."""
    needed = sum(job.result_bytes for job in jobs)
    if needed <= room:
        return jobs
    fits = []
    # What no target could hold as a whole is made in parts, and what was begun is finished.
    if started or needed > profile.room_bytes * _WHOLE_PART:
        for job in jobs:
            if job.result_bytes <= room:
                room -= job.result_bytes
                fits.append(job)
    return fits


def _by_call(ranked):
    calls: dict[str, list[PieceJob]] = {}
    for job in ranked:
        calls.setdefault(job.call_id, []).append(job)
    return calls.values()


def _home_first(ranked, batch, target):
    """Return the next two calls' worth of pieces with those at home here before the others."""
    head, rest = ranked[: 2 * batch], ranked[2 * batch :]
    head.sort(key=lambda job: not target.is_home(job))
    return head + rest
