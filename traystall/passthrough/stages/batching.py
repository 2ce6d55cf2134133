"""Select the pieces for the next call of a target. Pure functions.

A stage of a request consists of pieces. A target runs several pieces in one call, a batch, and
keeps their results in its memory until they are freed. Times are monotonic seconds, sizes bytes.
"""

from collections import Counter

import msgspec

from traystall.routes.models import BatchProfile

# A piece that is overdue by more than this is unlikely to meet its request's latency goal.
_MAX_LATENESS_SECONDS = 0.25
# A pool is crowded when more pieces wait than this ratio of what all its targets take at once.
_CROWDED_RATIO = 0.4
# A stage whose results need more than this ratio of a target's result memory may be split across
# targets.
_MAX_STAGE_MEMORY_RATIO = 0.8
# Exchange rate between traffic and latency: moving this many bytes between data centres costs as
# much as one second of waiting (docs/design/platform-rounds.md, "Tried and dropped").
_CROSSING_BYTES_PER_SECOND = 10_000_000
# A stage that moves more than this leaves its preferred data centre only if waiting there would
# leave less than _MIN_SLACK_SECONDS and the stage is not late yet. A stage that moves less leaves
# when it is due within _URGENT_SECONDS.
_HEAVY_STAGE_BYTES = 300_000
_URGENT_SECONDS = 0.1
_MIN_SLACK_SECONDS = 0.15


class PieceJob(msgspec.Struct, eq=False):
    """Hold one piece that waits to be run.

    `due` is the latest start with which its request meets its latency goal, `deadline` the time
    after which the result is useless. `data_centre` is where the piece preferably runs; empty
    means anywhere.
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
    # Data centres in which the customer allows the result to be kept; none means anywhere.
    places: tuple[str, ...] = ()
    # Bytes that cross data centres if the piece runs outside `data_centre`, and if it runs in
    # another data centre than the rest of its stage.
    away_bytes: int = 0
    split_bytes: int = 0
    # The pools whose targets read the result.
    reader_pools: tuple[str, ...] = ()
    # Whether the piece may share a call only with pieces of its own request.
    alone: bool = False


def order_key(job: PieceJob, now: float) -> tuple:
    """Return the sort key of a waiting piece: begun requests first, then priority, then due time.

    A request that has begun holds result memory, so it continues even if it is late. Of the other
    requests of a priority, those that can still be in time go first.
    """
    has_begun = bool(job.inputs)
    is_too_late = not has_begun and job.due < now - _MAX_LATENESS_SECONDS
    return (
        not has_begun,
        job.priority,
        is_too_late,
        job.due,
        job.request_id,
        job.stage,
        job.piece,
    )


class FreeTarget(msgspec.Struct, frozen=True):
    """Describe the target to be called: its data centre, and the other targets of its pool.

    `workers` counts the targets of the pool. `waits_by_data_centre` holds the seconds until the
    next target in each data centre is free, `rates_by_data_centre` the pieces per second that the
    targets there run; a data centre without a wait has no targets. `missing_pools` names the pools
    that have no target in this data centre.
    """

    data_centre: str = ""
    workers: int = 1
    waits_by_data_centre: dict[str, float] = {}
    rates_by_data_centre: dict[str, float] = {}
    missing_pools: frozenset[str] = frozenset()

    def is_local(self, job: PieceJob) -> bool:
        """Return whether this data centre is as good as any other for a piece."""
        if job.data_centre:
            return job.data_centre == self.data_centre
        return not self.missing_pools.intersection(job.reader_pools)

    def crossing_bytes(self, jobs: list[PieceJob]) -> int:
        """Return the bytes that cross data centres if these pieces of one stage run here."""
        if self.is_local(jobs[0]):
            return 0
        if jobs[0].data_centre:
            return sum(job.away_bytes for job in jobs)
        return sum(job.split_bytes for job in jobs)

    def preferred_wait(self, job: PieceJob, ahead: Counter[str]) -> float:
        """Return the wait in a piece's preferred data centre; inf if there is no target.

        A piece that prefers no data centre gets the shortest wait of the other data centres.
        `ahead` counts the pieces that are queued before it in each data centre.
        """
        if job.data_centre:
            return self._wait_in(job.data_centre, ahead)
        other_data_centres = [
            other for other in self.waits_by_data_centre if other != self.data_centre
        ]
        return min(
            (self._wait_in(other, ahead) for other in other_data_centres), default=float("inf")
        )

    def _wait_in(self, data_centre, ahead):
        wait = self.waits_by_data_centre.get(data_centre, float("inf"))
        rate = self.rates_by_data_centre.get(data_centre, float("inf"))
        if not ahead[data_centre]:
            return wait
        return wait + ahead[data_centre] / rate if rate > 0 else float("inf")


def may_run(
    jobs: list[PieceJob], target: FreeTarget, ahead: Counter[str], crowded: bool, now: float
) -> bool:
    """Return whether a target may run the waiting pieces of one stage now.

    Moving results between data centres can cost more than waiting for the preferred one. A late
    stage with heavy results stays there unless the wait is long, since moving the results would
    not make its request punctual.
    """
    first = jobs[0]
    if first.places and target.data_centre not in first.places:
        return False
    moved_bytes = target.crossing_bytes(jobs)
    wait = target.preferred_wait(first, ahead)
    if not moved_bytes or moved_bytes <= wait * _CROSSING_BYTES_PER_SECOND:
        return True
    if moved_bytes < _HEAVY_STAGE_BYTES:
        return crowded or first.due < now + _URGENT_SECONDS
    is_too_late = first.due < now - _MAX_LATENESS_SECONDS
    return not is_too_late and first.due <= now + wait + _MIN_SLACK_SECONDS


def select_batch(
    waiting: list[PieceJob],
    profile: BatchProfile,
    free_bytes: float,
    now: float,
    target: FreeTarget = FreeTarget(),  # noqa: B008 - it is frozen.
    started: frozenset[str] = frozenset(),
) -> list[PieceJob]:
    """Return the pieces for one call of a target, within its batch size and result memory.

    The most urgent pieces go first. In a crowded pool the pieces that run locally move ahead of
    others that are about as urgent, and light stages go to any data centre, so that slots do not
    stay empty. A stage is started only if the results of all its waiting pieces fit, because the
    results of an incomplete stage take memory and are useless. `started` holds the ids of the
    stage calls that have some pieces started; those continue first. `free_bytes` is the free result
    memory in bytes.
    """
    live = [job for job in waiting if job.deadline > now]
    crowded = len(live) > profile.batch * target.workers * _CROWDED_RATIO
    ranked = sorted(live, key=lambda job: (job.call_id not in started, *order_key(job, now)))
    if crowded and target.data_centre:
        ranked = _local_first(ranked, profile.batch, target)
    batch: list[PieceJob] = []
    # Pieces that were left for the targets of their preferred data centre.
    ahead: Counter[str] = Counter()
    for jobs in _group_by_call(ranked):
        if len(batch) == profile.batch:
            break
        if not may_run(jobs, target, ahead, crowded, now):
            ahead[jobs[0].data_centre] += len(jobs)
            continue
        taken = _jobs_that_fit(jobs, profile, free_bytes, jobs[0].call_id in started)
        taken = taken[: profile.batch - len(batch)]
        free_bytes -= sum(job.result_bytes for job in taken)
        batch += taken
    return batch


def isolate(batch: list[PieceJob]) -> list[PieceJob]:
    """Return the pieces of a batch that may share one call.

    A target ended while it ran a piece that is marked `alone`, or pieces batched with it. Batched
    only with its own request, such a piece shows which request ends targets, and it fails no
    other request.
    """
    if not any(job.alone for job in batch):
        return batch
    first = batch[0]
    if first.alone:
        return [job for job in batch if job.request_id == first.request_id]
    return [job for job in batch if not job.alone]


def _jobs_that_fit(jobs, profile, free_bytes, started):
    """Return the pieces of one stage that may start with `free_bytes` of result memory."""
    needed = sum(job.result_bytes for job in jobs)
    if needed <= free_bytes:
        return jobs
    fitting = []
    # A stage that fits no target as a whole runs in parts, and a started stage is finished.
    if started or needed > profile.room_bytes * _MAX_STAGE_MEMORY_RATIO:
        for job in jobs:
            if job.result_bytes <= free_bytes:
                free_bytes -= job.result_bytes
                fitting.append(job)
    return fitting


def _group_by_call(ranked):
    calls: dict[str, list[PieceJob]] = {}
    for job in ranked:
        calls.setdefault(job.call_id, []).append(job)
    return calls.values()


def _local_first(ranked, batch, target):
    """Move the local pieces to the front within the first two batches of `ranked`."""
    head, tail = ranked[: 2 * batch], ranked[2 * batch :]
    head.sort(key=lambda job: not target.is_local(job))
    return head + tail
