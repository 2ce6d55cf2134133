"""Workers: targets that run pieces, as recorded by the gateway that calls them. Pure.

Times are monotonic seconds.
"""

from collections.abc import Iterable

import msgspec

from traystall.passthrough.stages.batching import PieceJob
from traystall.passthrough.stages.room import ResultMemory
from traystall.routes.models import BatchProfile

# A target whose calls take this many times their expected duration is slow: it gets a call only if
# the call ends before the other targets could serve the queue, or as a probe.
SLOW_RATIO = 1.6
# Weights of the newest call in the moving average, if it was slower or faster than the average.
_SLOWER_CALL_WEIGHT = 0.6
_FASTER_CALL_WEIGHT = 0.4
# A slow target is probed with a call after this long without one.
_PROBE_INTERVAL_SECONDS = 1.0
# A call is overdue, and its pieces are hedged, after this many times its expected duration plus a
# margin; the larger factor applies while targets may still run calls of the previous batcher.
_OVERDUE_FACTOR = 1.7
_TAKEOVER_OVERDUE_FACTOR = 2.7
_OVERDUE_MARGIN_SECONDS = 0.06
# No slow worker takes longer for a call than this many times its expected duration plus a margin.
_TIMEOUT_FACTOR = 6.0
_TIMEOUT_MARGIN_SECONDS = 0.5
_MAX_DOUBLINGS = 10
# A call that exceeds its expected duration by this margin is late; it is not overdue yet.
_LATE_MARGIN_SECONDS = 0.05
# This many workers have to be late before they can have a common cause.
_MIN_COMMON_WORKERS = 2


class Worker(msgspec.Struct, eq=False):
    """Hold one target: its calls in flight, its result memory, and its slowdown.

    `ratio` is the moving average of actual to expected call duration. `lost_answers` counts the
    calls whose answers were taken for lost since the worker last answered one.
    """

    book: ResultMemory = msgspec.field(default_factory=ResultMemory)
    calls: int = 0
    ratio: float = 1.0
    last_began: float = float("-inf")
    # The expected end of the newest call.
    busy_until: float = float("-inf")
    # Whether the memory held by other gateways' results is known, when it was last requested, and
    # until when calls wait for the first answer.
    is_memory_known: bool = False
    memory_requested_at: float = float("-inf")
    memory_wait_until: float = float("-inf")
    lost_answers: int = 0

    def began(self, now: float, size: int, seconds: float) -> None:
        """Count a call that is expected to take `seconds` and to return `size` bytes of results."""
        self.calls += 1
        self.busy_until = now + seconds * max(1.0, self.ratio)
        self.last_began = now
        self.book.reserve(size)

    def release_slot(self) -> None:
        """Count one call less as running."""
        self.calls -= 1

    def wait(self, slots: int, now: float) -> float:
        """Return the expected seconds until the target can take another call."""
        return max(0.0, self.busy_until - now) if self.calls >= slots else 0.0

    def update_ratio(self, seconds: float, expected: float) -> None:
        """Update the slowdown from the actual and expected duration of a call."""
        found = seconds / max(0.001, expected)
        weight = _SLOWER_CALL_WEIGHT if found > self.ratio else _FASTER_CALL_WEIGHT
        self.ratio += weight * (found - self.ratio)

    def is_worth_calling(
        self, profile: BatchProfile, waiting: int, healthy_workers: int, now: float
    ) -> bool:
        """Return whether a call here ends before the healthy targets would serve its pieces."""
        if self.ratio < SLOW_RATIO or not healthy_workers:
            return True
        if now - self.last_began > _PROBE_INTERVAL_SECONDS:
            return True
        calls_ahead = waiting / (profile.batch * healthy_workers)
        return self.ratio < 1 + calls_ahead


class RunningCall(msgspec.Struct, eq=False):
    """Hold one call of a worker that has not been answered.

    `repeated` holds the ids of the job objects that have been queued again. `was_silent` tells that
    the worker, or most of its pool, was silent meanwhile, so that the duration of the call says
    nothing about the worker's speed. `wanted_at` is the last time at which a request was seen that
    can use one of the results. `lacks_budget` tells that the retry budget refused a copy.
    `heard_since` is since when the worker has responded to probes, None if it does not.
    `holds_slot` tells whether the call counts as one that the worker runs.
    """

    worker: Worker
    batch: list[PieceJob]
    began: float
    expected: float
    wanted_at: float = float("-inf")
    repeated: set[int] = msgspec.field(default_factory=set)
    is_overdue: bool = False
    was_silent: bool = False
    lacks_budget: bool = False
    heard_since: float | None = None
    holds_slot: bool = True

    def is_late(self, now: float) -> bool:
        """Return whether the call takes longer than expected."""
        return now - self.began > self.expected + _LATE_MARGIN_SECONDS

    def has_responsive_worker(self, now: float) -> bool:
        """Return whether the worker has responded to probes for as long as the call may take."""
        if self.heard_since is None:
            return False
        return now - self.heard_since >= overdue_after(self.expected, True)

    def is_answer_lost(self, now: float) -> bool:
        """Return whether the worker responds, and is not just slow, so that it does not answer."""
        # The worker may be busy with the call all the same, so it is tried less and less often.
        patience = patience_with(self.expected) * 2 ** min(self.worker.lost_answers, _MAX_DOUBLINGS)
        return self.has_responsive_worker(now) and now - self.began >= patience

    def release_slot(self) -> None:
        """Let the worker get another call in place of this one."""
        if self.holds_slot:
            self.holds_slot = False
            self.worker.release_slot()

    def take_slot_again(self) -> None:
        """Count the call as running again, since the worker has no room for another one."""
        if not self.holds_slot:
            self.holds_slot = True
            self.worker.calls += 1


def is_silence_common(calls: Iterable[RunningCall], now: float) -> bool:
    """Return whether most of the called workers are late at once.

    They then have a common cause, and calls of others would be late too. A worker that responds to
    probes is not silent, whatever became of a call.
    """
    calls = [call for call in calls if not call.has_responsive_worker(now)]
    called = {id(call.worker) for call in calls}
    late = {id(call.worker) for call in calls if call.is_late(now)}
    return len(late) >= _MIN_COMMON_WORKERS and len(late) * 2 > len(called)


def patience_with(expected: float) -> float:
    """Return after how many seconds a call without an answer is not one of a slow worker."""
    return expected * _TIMEOUT_FACTOR + _TIMEOUT_MARGIN_SECONDS


def overdue_after(expected: float, is_settled: bool) -> float:
    """Return after how many seconds a call is overdue, so that its pieces are hedged.

    Shortly after a takeover (`is_settled` is False) targets may still run calls of the previous
    batcher, so the limit is higher.
    """
    ratio = _OVERDUE_FACTOR if is_settled else _TAKEOVER_OVERDUE_FACTOR
    return expected * ratio + _OVERDUE_MARGIN_SECONDS
