"""Play the stages of a request forward through the pools as they are. Pure; monotonic seconds.

What the requests under way will still ask of a pool is counted when it comes, less
what the pool serves until then: counted at once, it would turn requests away from
pools that are three quarters empty.
"""

import math
from collections.abc import Callable, Mapping

import msgspec

from traystall.passthrough.admission.timeline import DemandTimeline
from traystall.passthrough.admission.waiting import WaitForecast
from traystall.routes.models import StagePlan

# Stages that would begin later than this, in seconds, are of no use to any caller.
_FAR_SECONDS = 60.0


class PoolLoad(msgspec.Struct, frozen=True):
    """Describe a pool as it is now.

    `waiting(priority, due)` returns the pieces in its queue that go before work of a
    priority that should begin at `due`, `rate` how many pieces a second it makes with
    full calls, `call_seconds` how long its calls take lately.
    """

    waiting: Callable[[int, float], int]
    rate: float
    call_seconds: float


class PoolForecast:
    """Hold what is known of the demand at one pool: what has come lately and what will come."""

    def __init__(self):
        self.arrivals = WaitForecast()
        self.timeline = DemandTimeline()

    def wait(
        self, priority: int, load: PoolLoad, now: float, at: float, due: float = math.inf
    ) -> float:
        """Return how long a piece waits that is asked for at `at`, in seconds.

        Where it says when it should begin, what is as urgent and may wait longer goes after it.
        """
        left = self.arrivals.left_rate(priority, load.rate, now)
        if left <= 0 or at > now + _FAR_SECONDS:
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
    """Return for each stage when it is asked for and when it ends.

    `seconds(pool)` is how long a call takes, `wait(pool, at)` how long a piece waits.
    """
    times: list[tuple[float, float]] = []
    for stage, count in zip(stages, counts, strict=True):
        requested = max((times[earlier][1] for earlier in stage.after), default=now)
        ends = requested
        if count:
            ends += wait(stage.pool, requested) + seconds(stage.pool)
        times.append((requested, ends))
    return times


def chain_wait(
    stages: tuple[StagePlan, ...],
    counts: tuple[int, ...],
    priority: int,
    loads: Mapping[str, PoolLoad],
    forecasts: Callable[[str], PoolForecast],
    now: float,
    slack: float = math.inf,
) -> float:
    """Return how much longer the stages of a request take than without any waiting.

    With `slack`, the seconds that it may wait and still be in time, only what should begin before
    its own pieces goes before them.
    """

    def seconds(pool):
        return loads[pool].call_seconds

    def no_wait(pool, at):
        return 0.0

    unhindered = stage_times(stages, counts, seconds, no_wait, now)
    begins = zip(unhindered, counts, strict=True)
    dues = iter([requested + slack for (requested, _), count in begins if count])

    def wait(pool, at):
        return forecasts(pool).wait(priority, loads[pool], now, at, next(dues))

    ends = max((end for _, end in stage_times(stages, counts, seconds, wait, now)), default=now)
    usual = max((end for _, end in unhindered), default=now)
    return ends - usual if ends < float("inf") else ends
