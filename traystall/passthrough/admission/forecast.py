"""Simulate the stages of a request against the current load of its pools.

The module does no I/O; times are monotonic seconds. Pieces that active requests have still to send
count at the time of their arrival, less the pieces that the pool serves until then. Counting them
as if they arrived at once refuses requests although the pools are three quarters empty.
"""

import math
from collections.abc import Callable, Mapping

import msgspec

from traystall.passthrough.admission.timeline import DemandTimeline
from traystall.passthrough.admission.waiting import WaitForecast
from traystall.routes.models import StagePlan

# The forecast ends here: a stage that starts later than this is of no use to any caller.
_HORIZON_SECONDS = 60.0


class PoolLoad(msgspec.Struct, frozen=True):
    """Describe the current load of a pool.

    `waiting(priority, due)` returns the number of queued pieces that go before work of a priority
    that should start at `due`. `rate` is the number of pieces that the pool serves per second with
    full calls, `call_seconds` the recent duration of its calls.
    """

    waiting: Callable[[int, float], int]
    rate: float
    call_seconds: float


class PoolForecast:
    """Hold the demand at one pool: the recent arrivals and the expected pieces."""

    def __init__(self):
        self.arrivals = WaitForecast()
        self.timeline = DemandTimeline()

    def wait(
        self, priority: int, load: PoolLoad, now: float, at: float, due: float = math.inf
    ) -> float:
        """Return how long a piece that arrives at `at` waits, in seconds.

        If the piece has a start deadline `due`, work of the same priority with a later deadline
        goes after it.
        """
        left = self.arrivals.available_rate(priority, load.rate, now)
        if left <= 0 or at > now + _HORIZON_SECONDS:
            return float("inf")
        waiting = load.waiting(priority, due)
        return self.timeline.backlog(priority, waiting, left, now, at, due) / left


def stage_times(
    stages: tuple[StagePlan, ...],
    counts: tuple[int, ...],
    seconds: Callable[[str], float],
    wait: Callable[[str, float], float],
    now: float,
) -> list[tuple[float, float]]:
    """Return the time at which each stage sends its pieces, and the time at which it ends.

    `seconds(pool)` is the duration of a call, `wait(pool, at)` how long a piece waits.
    """
    times: list[tuple[float, float]] = []
    for stage, count in zip(stages, counts, strict=True):
        requested = max((times[earlier][1] for earlier in stage.after), default=now)
        ends = requested
        if count:
            ends += wait(stage.pool, requested) + seconds(stage.pool)
        times.append((requested, ends))
    return times


def request_wait(
    stages: tuple[StagePlan, ...],
    counts: tuple[int, ...],
    priority: int,
    loads: Mapping[str, PoolLoad],
    forecasts: Callable[[str], PoolForecast],
    now: float,
    slack: float = math.inf,
) -> float:
    """Return how much longer the stages of a request take than without any waiting, in seconds.

    `slack` is how long the request may wait and still finish in time. If it is given, only work
    that should start before the request's own pieces goes before them.
    """

    def seconds(pool):
        return loads[pool].call_seconds

    def no_wait(pool, at):
        return 0.0

    times_without_wait = stage_times(stages, counts, seconds, no_wait, now)
    begins = zip(times_without_wait, counts, strict=True)
    dues = iter([requested + slack for (requested, _), count in begins if count])

    def wait(pool, at):
        return forecasts(pool).wait(priority, loads[pool], now, at, next(dues))

    ends = max((end for _, end in stage_times(stages, counts, seconds, wait, now)), default=now)
    usual = max((end for _, end in times_without_wait), default=now)
    return ends - usual if ends < float("inf") else ends
