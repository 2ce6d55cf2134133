"""Tell which pools are crowded, and what they can make of what is still to begin. Pure; seconds.

Load: a queue that a patient kind fills stays as long as that kind's aim allows, also when the rush
that filled it is over; what is served in a second is no more for it. A pool counts as crowded when
its whole queue takes longer than the least patient kind that asks there may wait. Then each kind
begins with its part of what the pool makes, less what works off the queue beyond that wait.
"""

from collections.abc import Callable

import msgspec

from traystall.admission.demand import DemandTracker
from traystall.passthrough.admission.forecast import PoolForecast, PoolLoad, stage_times

# A pool counts as crowded from this part of that wait on: parts should bind before what can't be in
# time does, which asks neither for kinds nor for customers.
_CROWDED_PART = 0.75
# What waits longer than it should is worked off within about this long, in seconds.
_CATCH_UP_SECONDS = 1.0
# However long the queue, so much of what a pool makes is left for what is still to begin.
_LEAST_PART = 0.2
# A kind that has not asked for so long, in seconds, no longer sets how long a queue may be.
_ASKING_SECONDS = 2.0
# The queue of a pool is looked at so often, in seconds: a tenth of the shortest calls, where a rush
# brings hundreds of requests a second that ask.
_LOOK_SECONDS = 0.02
# Weight of the newest request in how long a kind may wait.
_LEARNING = 0.1
# Who asked to begin is known so long, in seconds: longer than any request waits to be let in.
_KNOWN_SECONDS = 8.0


class _Patience(msgspec.Struct):
    """Hold how long a kind may wait, as a mean over its requests, and when it last asked."""

    seconds: float
    at: float


class Crowding:
    """Watch the pools that kinds share by parts."""

    def __init__(self, demand: DemandTracker, forecast: Callable[[str], PoolForecast]):
        self._demand = demand
        self._forecast = forecast
        # By pool and kind.
        self._patience: dict[str, dict[str, _Patience]] = {}
        # What crowded pools make for what is still to begin, in pieces a second.
        self._rates: dict[str, float] = {}
        # How long the queue of each pool takes, in seconds, as it was seen last, and when.
        self._waits: dict[str, tuple[float, float]] = {}
        self._asked: dict[str, float] = {}

    def look(
        self,
        arrival,
        patience: float,
        loads: dict[str, PoolLoad],
        shared: frozenset[str],
        now: float,
    ) -> None:
        """Count a request that asks to begin, once, and see how crowded its pools are.

        By its forecast it may wait `patience` seconds.
        """
        kind = arrival.route.name
        if arrival.request_id not in self._asked:
            self._asked[arrival.request_id] = now
            self._demand.requested(kind, arrival.customer, arrival.demand(), now)
            self._note_patience(arrival, patience, shared, now)
        stages, counts = arrival.route.stages, arrival.counts

        def seconds(pool):
            return loads[pool].call_seconds

        times = stage_times(stages, counts, seconds, lambda pool, at: 0.0, now)
        for stage, count, (requested, _) in zip(stages, counts, times, strict=True):
            if count and stage.pool in shared:
                self._look_at(
                    stage.pool, arrival.priority, patience, loads[stage.pool], now, requested
                )
        self._demand.update_shares(self._rates, now)

    def waits(self, now: float) -> dict[str, float]:
        """Return how long the queues take that somebody asked for lately, in seconds by pool."""
        return {
            pool: wait for pool, (wait, at) in self._waits.items() if now - at <= _ASKING_SECONDS
        }

    def forget(self, now: float) -> None:
        """Forget who asked long ago."""
        while self._asked:
            request_id, at = next(iter(self._asked.items()))
            if now - at <= _KNOWN_SECONDS:
                break
            del self._asked[request_id]

    def _note_patience(self, arrival, patience, shared, now):
        for pool in shared.intersection(arrival.demand()):
            kinds = self._patience.setdefault(pool, {})
            known = kinds.setdefault(arrival.route.name, _Patience(patience, now))
            known.seconds += _LEARNING * (patience - known.seconds)
            known.at = now

    def _look_at(self, pool, priority, patience, load, now, at):
        _, seen_at = self._waits.get(pool, (0.0, float("-inf")))
        if now - seen_at < _LOOK_SECONDS:
            return
        wait = self._forecast(pool).wait(priority, load, now, at)
        asking = (
            known.seconds
            for known in self._patience.get(pool, {}).values()
            if now - known.at <= _ASKING_SECONDS
        )
        self._waits[pool] = (wait, now)
        # One that has waited longer than others are remembered asks by itself.
        allowed = max(0.0, min(asking, default=patience)) * _CROWDED_PART
        if wait <= allowed:
            self._rates.pop(pool, None)
            return
        part = max(_LEAST_PART, 1.0 - (wait - allowed) / _CATCH_UP_SECONDS)
        self._rates[pool] = load.rate * part
