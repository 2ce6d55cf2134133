"""Admission control for requests with stages: decide whether a request may start its stages now.

The module does no I/O; times are monotonic seconds. A request runs the stages of its route, each
stage sends a number of pieces (units of work) to one pool, and the gateway that batches the pieces
of all pools runs the controller: it knows the queue of each pool and the pieces that admitted
requests are still going to send. A request that cannot finish in time is refused at once, while
the caller still has time to react. An admitted request is never refused later, since the results
it holds would be lost. Before its admission a request may wait for a short time without holding
any resource. A request that returns after a refusal may wait longer, so that it is served after
the load peak instead of being rejected for good.
"""

import math

import msgspec

from traystall.admission.demand import DemandTracker
from traystall.passthrough.admission.calibration import ForecastCorrection
from traystall.passthrough.admission.crowding import CongestionMonitor
from traystall.passthrough.admission.forecast import (
    PoolForecast,
    PoolLoad,
    request_wait,
    stage_times,
)
from traystall.passthrough.admission.handover import Handover
from traystall.passthrough.admission.timeline import ExpectedPieces
from traystall.routes.models import Route

# Ratio of the latency goal (the route's `aim`) that the forecast keeps as a safety margin, because
# a forecast can be too low as well as too high.
_SAFETY_MARGIN_RATIO = 0.2
# Ratio of the latency goal that every request may wait. Without it long prompts, which have no
# slack, are never admitted.
_MIN_WAIT_RATIO = 0.25
_MIN_RETRY_SECONDS = 0.4
# Shortest retry delay, as a multiple of the latency goal. An earlier retry mostly meets the same
# load peak.
_MIN_RETRY_AIM_RATIO = 1.5
# A returning request is admitted when its wait is below this ratio of the limit for new requests.
_RETURNING_WAIT_RATIO = 0.5
# A queue drains this many times slower than it is served while new requests keep arriving.
_DRAIN_FACTOR = 4.0
# Upper bound of the retry delay, as a ratio of the caller's remaining time. Callers honour a delay
# of up to a third of that time; a slightly smaller ratio stays below the limit.
_MAX_RETRY_RATIO = 0.3
# A refused request is recognised as a returning one for this long.
_REFUSAL_TTL_SECONDS = 10.0
# Forecasts are multiplied by a scale learned from the ratio of the actual to the forecast wait of
# earlier requests: bounds and default of the scale, and the weight of the newest sample.
_MIN_SCALE, _DEFAULT_SCALE, _MAX_SCALE = 0.4, 0.7, 2.0
_SCALE_SAMPLE_WEIGHT = 0.1
# Half-life of a scale above the default. Without the decay a scale that admits no request is never
# corrected, since only admitted requests give samples.
_SCALE_HALF_LIFE_SECONDS = 3.0
# Waits shorter than this give no sample: they say nothing about the forecast.
_MIN_SAMPLE_WAIT_SECONDS = 0.1
# Every request to a shared pool may wait this long. A wait below half a call means that the pool is
# nearly free, and without the minimum long prompts are never admitted.
_MIN_SHARED_WAIT_SECONDS = 0.1
# Active requests whose end was never reported expire after this time.
_ACTIVE_TTL_SECONDS = 8.0
# Expired entries are removed at this interval instead of at each admission.
_EXPIRY_INTERVAL_SECONDS = 0.2


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Describe a request that asks for admission.

    `slack` is how long the request may wait and still finish in time, `seconds_left` the time
    until its caller gives up. `mark` stays the same when the caller retries the request.
    """

    request_id: str
    route: Route
    counts: tuple[int, ...]
    priority: int
    slack: float
    seconds_left: float
    mark: str = ""
    customer: str = ""
    # Stages that have run already. If there are any, another gateway admitted the request.
    made: frozenset[int] = frozenset()

    @property
    def has_begun(self) -> bool:
        """Return whether some stages of the request have run already."""
        return bool(self.made)

    def demand(self, done: frozenset[int] = frozenset()) -> dict[str, int]:
        """Return the number of pieces by pool that the request has still to send."""
        pieces: dict[str, int] = {}
        for index, count in enumerate(self.counts):
            if count and index not in done:
                pool = self.route.stages[index].pool
                pieces[pool] = pieces.get(pool, 0) + count
        return pieces


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Hold an admission decision; `retry_after` is set for a refusal, in seconds."""

    admitted: bool
    wait: float
    retry_after: float = 0.0
    came_back: bool = False
    # The share of the customer's requests that is admitted now, and the pool that limits it, if
    # any.
    part: float = 1.0
    binding: str = ""
    # How long the request must wait before its admission is possible, and whether its pools are
    # divided into capacity shares. The wait is known only for such pools.
    seconds_to_admission: float = 0.0
    shared: bool = False


class _ActiveRequest(msgspec.Struct):
    """Hold an admitted request, the time of its admission and the wait forecast for it."""

    request: AdmissionRequest
    since: float
    wait: float
    # By stage, the pieces that the timeline of its pool expects from the request.
    expected: dict[int, ExpectedPieces] = msgspec.field(default_factory=dict)
    done: set[int] = msgspec.field(default_factory=set)


class AdmissionController:
    """Admit or refuse requests, and keep track of the admitted ones until they end."""

    def __init__(self):
        self._active: dict[str, _ActiveRequest] = {}
        self._forecasts: dict[str, PoolForecast] = {}
        # The time of the last refusal, by mark.
        self._refused: dict[str, float] = {}
        # The ratio of the actual to the forecast wait, as a moving average.
        self.scale = _DEFAULT_SCALE
        self._scale_decayed_at = 0.0
        self._expired_at = float("-inf")
        # By route, the correction that is added to its forecasts.
        self._corrections: dict[str, ForecastCorrection] = {}
        self.demand = DemandTracker()
        self._congestion = CongestionMonitor(self.demand, self._forecast)
        self._handover = Handover()

    def admit(
        self,
        request: AdmissionRequest,
        loads: dict[str, PoolLoad],
        now: float,
        shared_pools: frozenset[str] = frozenset(),
    ) -> AdmissionDecision:
        """Admit or refuse a request by the `loads` of its pools; an active one is admitted again.

        At `shared_pools` the work with the earliest start deadline goes first, each route and
        customer gets a capacity share, and forecasts are corrected by the errors of the route.
        """
        if request.request_id in self._active:
            return AdmissionDecision(True, 0.0)
        self._expire(now)
        self._decay_scale(now)
        if shared_pools.intersection(loads):
            return self._admit_by_share(request, loads, now, shared_pools)
        return self._admit_by_aim(request, loads, now)

    def _admit_by_aim(self, request, loads, now) -> AdmissionDecision:
        """Admit a request whose forecast wait is within a ratio of its latency goal."""
        stages, priority = request.route.stages, request.priority
        raw_wait = request_wait(stages, request.counts, priority, loads, self._forecast, now)
        wait = raw_wait * self.scale
        came_back = request.mark in self._refused
        limit = _max_wait(request) * (_RETURNING_WAIT_RATIO if came_back else 1.0)
        if wait > limit:
            return AdmissionDecision(False, wait, _retry_after(request, wait), came_back)
        self._activate(request, raw_wait, loads, now)
        return AdmissionDecision(True, wait)

    def _admit_by_share(self, request, loads, now, shared_pools) -> AdmissionDecision:
        """Admit a request that can finish in time if its customer's share allows it."""
        if request.has_begun:
            # Another gateway admitted the request; a refusal would lose the results it holds.
            self._activate(request, 0.0, loads, now, request.slack)
            return AdmissionDecision(True, 0.0, shared=True)
        loads = self._handover.add_to(loads, now)
        route, slack = request.route, request.slack
        correction = self._correction(route.name).for_slack(slack, now)
        self._congestion.observe(request, slack - correction, loads, shared_pools, now)
        raw_wait = request_wait(
            route.stages, request.counts, request.priority, loads, self._forecast, now, slack
        )
        wait = raw_wait + correction
        excess = wait - max(slack, _MIN_SHARED_WAIT_SECONDS)
        kind, customer = route.name, request.customer
        part, binding = self.demand.customer_share(kind, customer), self.demand.part(kind).pool
        if excess <= 0.0 and self.demand.may_start(kind, customer):
            self.demand.record_start(kind, customer)
            self._activate(request, raw_wait, loads, now, slack)
            return AdmissionDecision(True, wait, part=part, binding=binding, shared=True)
        return AdmissionDecision(
            False,
            wait,
            _retry_after(request, wait),
            request.mark in self._refused,
            part,
            binding,
            # The queue drains slowly while new requests arrive. A request that is refused by its
            # share alone has no finite time, because only new requests earn credit.
            seconds_to_admission=excess * _DRAIN_FACTOR if excess > 0.0 else math.inf,
            shared=True,
        )

    def merge_peer_waits(self, waits: dict[str, float], age: float, now: float) -> None:
        """Use the queue waits that a peer received `age` seconds ago from the previous batcher."""
        self._handover.add_waits(waits, age, now)

    def waits(self, now: float) -> dict[str, float]:
        """Return the queue wait of each shared pool, in seconds."""
        return self._congestion.waits(now)

    def record_refusal(self, mark: str, now: float) -> None:
        """Record the final refusal of a request, so that a retry is recognised as returning."""
        self._refused[mark] = now

    def requested(self, request_id: str, stage: int) -> None:
        """Record that the pieces of a stage were requested: the queue of their pool has them."""
        active = self._active.get(request_id)
        if active is not None:
            self._remove_expected(active, stage)

    def made(self, request_id: str, stage: int, usual_seconds: float, now: float) -> None:
        """Record that a stage has run; after the last stage, learn from the total time.

        `usual_seconds` is the duration of all stages without any waiting.
        """
        active = self._active.get(request_id)
        if active is None:
            return
        active.done.add(stage)
        if active.request.demand(frozenset(active.done)):
            return
        self.ended(request_id)
        waited = now - active.since - usual_seconds
        self._correction(active.request.route.name).learn(waited - active.wait, now)
        if active.wait > _MIN_SAMPLE_WAIT_SECONDS:
            found = max(0.0, waited) / active.wait
            self.scale += _SCALE_SAMPLE_WEIGHT * (found - self.scale)
            self.scale = min(_MAX_SCALE, max(_MIN_SCALE, self.scale))

    def ended(self, request_id: str) -> None:
        """Remove a request that is over, and the pieces that it has not sent yet."""
        active = self._active.pop(request_id, None)
        if active is not None:
            for stage in list(active.expected):
                self._remove_expected(active, stage)

    def expected_pieces(self, pool: str, priority: int) -> int:
        """Return how many pieces the admitted requests have still to send to a pool."""
        return self._forecast(pool).timeline.total(priority)

    def _activate(self, request, wait, loads, now, patience=0.0):
        """Record the pieces a request is going to send: their pool, time and longest wait."""
        active = self._active[request.request_id] = _ActiveRequest(request, now, wait)
        active.done.update(request.made)
        stages = request.route.stages
        times = stage_times(
            stages,
            request.counts,
            lambda pool: loads[pool].call_seconds,
            lambda pool, at: 0.0,
            now,
        )
        for index, count in enumerate(request.counts):
            if count and index not in request.made:
                forecast = self._forecast(stages[index].pool)
                expected = forecast.timeline.expect(
                    request.priority, times[index][0], count, patience
                )
                active.expected[index] = expected
        for pool, count in request.demand(request.made).items():
            self._forecast(pool).arrivals.record(request.priority, count, now)

    def _remove_expected(self, active, stage):
        """Remove the pieces of a stage from the timeline of its pool."""
        expected = active.expected.pop(stage, None)
        if expected is not None:
            pool = active.request.route.stages[stage].pool
            self._forecast(pool).timeline.remove(expected)

    def _correction(self, kind) -> ForecastCorrection:
        return self._corrections.setdefault(kind, ForecastCorrection())

    def _decay_scale(self, now):
        elapsed = max(0.0, now - self._scale_decayed_at)
        self._scale_decayed_at = now
        above = max(0.0, self.scale - _DEFAULT_SCALE)
        self.scale -= above * (1.0 - 0.5 ** (elapsed / _SCALE_HALF_LIFE_SECONDS))

    def _forecast(self, pool) -> PoolForecast:
        found = self._forecasts.get(pool)
        if found is None:
            found = self._forecasts[pool] = PoolForecast()
        return found

    def _expire(self, now):
        if now - self._expired_at < _EXPIRY_INTERVAL_SECONDS:
            return
        self._expired_at = now
        self._congestion.expire_requests(now)
        for request_id, active in list(self._active.items()):
            if now - active.since > _ACTIVE_TTL_SECONDS:
                self.ended(request_id)
        for mark, at in list(self._refused.items()):
            if now - at > _REFUSAL_TTL_SECONDS:
                del self._refused[mark]


def _max_wait(request):
    """Return the longest forecast wait with which a request is admitted."""
    aim = request.route.aim
    return max(aim * _MIN_WAIT_RATIO, request.slack - aim * _SAFETY_MARGIN_RATIO)


def _retry_after(request, wait):
    delay = max(
        (wait - _max_wait(request)) * _DRAIN_FACTOR, request.route.aim * _MIN_RETRY_AIM_RATIO
    )
    return max(_MIN_RETRY_SECONDS, min(delay, request.seconds_left * _MAX_RETRY_RATIO))
