"""Detect congested pools, and estimate the capacity they have left for new requests.

The module does no I/O; times are monotonic seconds. Example: a load peak of a route with a long
latency goal fills a queue as far as that goal allows, and the queue keeps this length after the
peak although the pool serves no more pieces per second for it. A pool counts as congested when its
whole queue takes longer than the least patient route that uses the pool may wait. Each route is
then admitted up to its share of the pool's rate, less the rate that reduces the queue to that wait.
"""

from collections.abc import Callable

import msgspec

from traystall.admission.demand import DemandTracker
from traystall.passthrough.admission.forecast import PoolForecast, PoolLoad, stage_times

# A pool counts as congested from this ratio of the shortest patience on. Capacity shares should
# limit admission before the deadlines do, since refusals by deadline treat routes and customers
# unequally.
_CONGESTED_WAIT_RATIO = 0.75
# A queue that is too long is reduced to its limit within about this time.
_CATCH_UP_SECONDS = 1.0
# Smallest ratio of a pool's rate that remains for new requests, for any length of the queue.
_MIN_RATE_RATIO = 0.2
# A route without requests for this time no longer limits the length of a queue.
_ROUTE_TTL_SECONDS = 2.0
# The wait of a pool is forecast at this interval, a tenth of the shortest calls: a load peak
# brings hundreds of admission requests per second.
_UPDATE_INTERVAL_SECONDS = 0.02
# Weight of the newest request in the mean patience of a route.
_PATIENCE_SAMPLE_WEIGHT = 0.1
# A request that asks repeatedly counts once in this time, which is longer than any request waits
# for admission.
_REQUEST_TTL_SECONDS = 8.0


class _MeanPatience(msgspec.Struct):
    """Hold how long the requests of a route may wait on average, and the time of the last one."""

    seconds: float
    at: float


class CongestionMonitor:
    """Track the queues of the pools that are divided into capacity shares."""

    def __init__(self, demand: DemandTracker, forecast: Callable[[str], PoolForecast]):
        self._demand = demand
        self._forecast = forecast
        # By pool and route.
        self._patience: dict[str, dict[str, _MeanPatience]] = {}
        # The rate that each congested pool has left for new requests, in pieces per second.
        self._rates: dict[str, float] = {}
        # By pool, the last forecast of its queue wait in seconds, and the time of the forecast.
        self._waits: dict[str, tuple[float, float]] = {}
        # The time of the first admission request, by request id, oldest first.
        self._requests: dict[str, float] = {}

    def observe(
        self,
        request,
        patience: float,
        loads: dict[str, PoolLoad],
        shared: frozenset[str],
        now: float,
    ) -> None:
        """Count a request once, and update the congestion of its pools and all shares.

        `patience` is how long the request may wait according to its forecast, in seconds.
        """
        kind = request.route.name
        if request.request_id not in self._requests:
            self._requests[request.request_id] = now
            self._demand.requested(kind, request.customer, request.demand(), now)
            self._record_patience(request, patience, shared, now)
        stages, counts = request.route.stages, request.counts

        def seconds(pool):
            return loads[pool].call_seconds

        times = stage_times(stages, counts, seconds, lambda pool, at: 0.0, now)
        for stage, count, (requested, _) in zip(stages, counts, times, strict=True):
            if count and stage.pool in shared:
                self._update_pool(
                    stage.pool, request.priority, patience, loads[stage.pool], now, requested
                )
        self._demand.update_shares(self._rates, now)

    def waits(self, now: float) -> dict[str, float]:
        """Return the queue waits of the pools with recent requests, in seconds."""
        return {
            pool: wait for pool, (wait, at) in self._waits.items() if now - at <= _ROUTE_TTL_SECONDS
        }

    def expire_requests(self, now: float) -> None:
        """Remove the requests that asked for admission too long ago."""
        while self._requests:
            request_id, at = next(iter(self._requests.items()))
            if now - at <= _REQUEST_TTL_SECONDS:
                break
            del self._requests[request_id]

    def _record_patience(self, request, patience, shared, now):
        for pool in shared.intersection(request.demand()):
            routes = self._patience.setdefault(pool, {})
            known = routes.setdefault(request.route.name, _MeanPatience(patience, now))
            known.seconds += _PATIENCE_SAMPLE_WEIGHT * (patience - known.seconds)
            known.at = now

    def _update_pool(self, pool, priority, patience, load, now, at):
        """Forecast the wait at a pool, and set the rate that is left if it is congested."""
        _, updated_at = self._waits.get(pool, (0.0, float("-inf")))
        if now - updated_at < _UPDATE_INTERVAL_SECONDS:
            return
        wait = self._forecast(pool).wait(priority, load, now, at)
        recent = (
            known.seconds
            for known in self._patience.get(pool, {}).values()
            if now - known.at <= _ROUTE_TTL_SECONDS
        )
        self._waits[pool] = (wait, now)
        # A request that has waited longer than routes are remembered has only its own patience.
        allowed = max(0.0, min(recent, default=patience)) * _CONGESTED_WAIT_RATIO
        if wait <= allowed:
            self._rates.pop(pool, None)
            return
        part = max(_MIN_RATE_RATIO, 1.0 - (wait - allowed) / _CATCH_UP_SECONDS)
        self._rates[pool] = load.rate * part
