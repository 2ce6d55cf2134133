"""Decide whether a request may begin its stages now. Pure; times are monotonic seconds.

The gateway that batches the pieces of all pools knows what waits in each and
what the requests that have begun will still ask of it. A request that could not
be in time is refused at once, while that is worth something to its caller;
those that have begun go through, because what they hold would be lost. A request
may wait a moment before admission, holding nothing. One that comes back may wait
longer so: it is served when the rush is over, rather than sent away for good.
"""

import math

import msgspec

from traystall.admission.demand import DemandTracker
from traystall.passthrough.admission.calibration import ForecastError
from traystall.passthrough.admission.crowding import Crowding
from traystall.passthrough.admission.forecast import (
    PoolForecast,
    PoolLoad,
    chain_wait,
    stage_times,
)
from traystall.passthrough.admission.handover import Handover
from traystall.passthrough.admission.timeline import Expected
from traystall.routes.models import Route

# A request must be expected this part of its aim before it is late: a forecast errs both ways.
_MARGIN_PART = 0.2
# Every request may wait this part of its aim: long prompts would else never be let in.
_LEAST_PART = 0.25
_MIN_RETRY = 0.4
# To come back sooner than this many times the aim would mostly meet the same rush.
_RETRY_AIMS = 1.5
# One that came back is let in where the wait is below this part of what others may wait.
_RETURN_PART = 0.5
# While others keep coming a queue empties so many times slower than it is served.
_RETRY_FACTOR = 4.0
# Callers wait up to a third of the time they have left; a little less reaches them surely.
_RETRY_PART = 0.3
# A request that was refused is known again this long.
_REMEMBERED_SECONDS = 10.0
# Forecasts are scaled by how requests have fared beside theirs; bounds and weight of the newest.
_MIN_SCALE, _USUAL_SCALE, _MAX_SCALE = 0.4, 0.7, 2.0
_LEARNING = 0.1
# A scale above the usual fades by half in this time: else one that lets nobody in would stay.
_HALF_SECONDS = 3.0
# Waits below this, in seconds, say nothing of the forecast.
_SHORT_WAIT = 0.1
# Where pools are shared by parts every request may wait so long, in seconds: what waits less than
# half a call finds a pool that is nearly free, and long prompts would else never be let in.
_LEAST_WAIT = 0.1
# Chains whose end was never told are forgotten after this long.
_LOST_SECONDS = 8.0
# Who is to be forgotten is looked for so often, in seconds, not at each question.
_FORGET_SECONDS = 0.2


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Describe a request that wants to begin.

    `slack` is how long it may wait and still be in time, `seconds_left` until
    its caller gives up; `mark` is the same when the caller tries again.
    """

    request_id: str
    route: Route
    counts: tuple[int, ...]
    priority: int
    slack: float
    seconds_left: float
    mark: str = ""
    customer: str = ""
    # Its first stages that were made already; it began elsewhere where there are any.
    made: frozenset[int] = frozenset()

    @property
    def has_begun(self) -> bool:
        """Return whether stages of it were made already."""
        return bool(self.made)

    def demand(self, done: frozenset[int] = frozenset()) -> dict[str, int]:
        """Return how many pieces of each pool are still to be asked for."""
        wanted: dict[str, int] = {}
        for index, count in enumerate(self.counts):
            if count and index not in done:
                pool = self.route.stages[index].pool
                wanted[pool] = wanted.get(pool, 0) + count
        return wanted


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Hold a decision; `retry_after` is set where it is a refusal, in seconds."""

    admitted: bool
    wait: float
    retry_after: float = 0.0
    came_back: bool = False
    # Which part of its customer's requests begins now, and the pool that binds it, if any does.
    part: float = 1.0
    binding: str = ""
    # How long it would have to wait until it might be let in, and whether its pools are shared by
    # parts: only there it is known.
    seconds_to_admission: float = 0.0
    shared: bool = False


class _Chain(msgspec.Struct):
    arrival: AdmissionRequest
    since: float
    wait: float
    # By stage, what its pool expects of it until it is asked for.
    expected: dict[int, Expected] = msgspec.field(default_factory=dict)
    done: set[int] = msgspec.field(default_factory=set)


class AdmissionController:
    """Hold the requests that have begun their stages."""

    def __init__(self):
        self._chains: dict[str, _Chain] = {}
        self._forecasts: dict[str, PoolForecast] = {}
        self._refused: dict[str, float] = {}
        # How long requests have waited beside what was forecast for them.
        self.scale = _USUAL_SCALE
        self._scaled_at = 0.0
        self._forgot_at = float("-inf")
        # By kind, what its requests take beyond their forecasts.
        self._errors: dict[str, ForecastError] = {}
        self.demand = DemandTracker()
        self._crowding = Crowding(self.demand, self._forecast)
        self._handover = Handover()

    def admit(
        self,
        arrival: AdmissionRequest,
        loads: dict[str, PoolLoad],
        now: float,
        shared_pools: frozenset[str] = frozenset(),
    ) -> AdmissionDecision:
        """Decide on a request by the `loads` of its pools; one that has begun is let through.

        At `shared_pools` what should begin sooner goes first, each kind and customer gets its
        part, and forecasts are corrected by how requests of a kind have fared.
        """
        if arrival.request_id in self._chains:
            return AdmissionDecision(True, 0.0)
        self._forget(now)
        self._fade(now)
        if shared_pools.intersection(loads):
            return self._admit_by_parts(arrival, loads, now, shared_pools)
        return self._admit_by_aim(arrival, loads, now)

    def _admit_by_aim(self, arrival, loads, now) -> AdmissionDecision:
        """Let a request in that waits no longer than some part of its aim."""
        stages, priority = arrival.route.stages, arrival.priority
        raw_wait = chain_wait(stages, arrival.counts, priority, loads, self._forecast, now)
        wait = raw_wait * self.scale
        came_back = arrival.mark in self._refused
        limit = _limit(arrival) * (_RETURN_PART if came_back else 1.0)
        if wait > limit:
            return AdmissionDecision(False, wait, _retry_after(arrival, wait), came_back)
        self._begin(arrival, raw_wait, loads, now)
        return AdmissionDecision(True, wait)

    def _admit_by_parts(self, arrival, loads, now, shared_pools) -> AdmissionDecision:
        """Let a request in that can be in time, if it is its customer's turn."""
        if arrival.has_begun:
            # It began where another gateway batched: what it holds would be lost.
            self._begin(arrival, 0.0, loads, now, arrival.slack)
            return AdmissionDecision(True, 0.0, shared=True)
        loads = self._handover.add_to(loads, now)
        route, slack = arrival.route, arrival.slack
        error = self._error(route.name).for_slack(slack, now)
        self._crowding.look(arrival, slack - error, loads, shared_pools, now)
        raw_wait = chain_wait(
            route.stages, arrival.counts, arrival.priority, loads, self._forecast, now, slack
        )
        wait = raw_wait + error
        beyond = wait - max(slack, _LEAST_WAIT)
        kind, customer = route.name, arrival.customer
        part, binding = self.demand.part_of(kind, customer), self.demand.part(kind).pool
        if beyond <= 0.0 and self.demand.may_start(kind, customer):
            self.demand.record_start(kind, customer)
            self._begin(arrival, raw_wait, loads, now, slack)
            return AdmissionDecision(True, wait, part=part, binding=binding, shared=True)
        return AdmissionDecision(
            False,
            wait,
            _retry_after(arrival, wait),
            arrival.mark in self._refused,
            part,
            binding,
            # While others come a queue empties slowly, and a turn comes only to who asks anew.
            seconds_to_admission=beyond * _RETRY_FACTOR if beyond > 0.0 else math.inf,
            shared=True,
        )

    def merge_peer_waits(self, waits: dict[str, float], age: float, now: float) -> None:
        """Take in what somebody was told `age` seconds ago by the gateway that batched before."""
        self._handover.told(waits, age, now)

    def waits(self, now: float) -> dict[str, float]:
        """Return how long the queues of shared pools are, in seconds by pool."""
        return self._crowding.waits(now)

    def record_refusal(self, mark: str, now: float) -> None:
        """Note that a request was refused for good; it is known when it comes back."""
        self._refused[mark] = now

    def requested(self, request_id: str, stage: int) -> None:
        """Note that the pieces of a stage were asked for: they now wait in their queue."""
        chain = self._chains.get(request_id)
        if chain is not None:
            self._take_back(chain, stage)

    def made(self, request_id: str, stage: int, usual_seconds: float, now: float) -> None:
        """Note that a stage was made; after the last one learn from how long all took.

        `usual_seconds` is how long the whole chain takes without any waiting.
        """
        chain = self._chains.get(request_id)
        if chain is None:
            return
        chain.done.add(stage)
        if chain.arrival.demand(frozenset(chain.done)):
            return
        self.ended(request_id)
        waited = now - chain.since - usual_seconds
        self._error(chain.arrival.route.name).learn(waited - chain.wait, now)
        if chain.wait > _SHORT_WAIT:
            found = max(0.0, waited) / chain.wait
            self.scale += _LEARNING * (found - self.scale)
            self.scale = min(_MAX_SCALE, max(_MIN_SCALE, self.scale))

    def ended(self, request_id: str) -> None:
        """Note that a request is over, whatever it has still to ask for."""
        chain = self._chains.pop(request_id, None)
        if chain is not None:
            for stage in list(chain.expected):
                self._take_back(chain, stage)

    def expected_pieces(self, pool: str, priority: int) -> int:
        """Return how many pieces requests that have begun will still ask of a pool."""
        return self._forecast(pool).timeline.total(priority)

    def _begin(self, arrival, wait, loads, now, patience=0.0):
        """Count what a request will ask of each pool, when, and how long that may wait."""
        chain = self._chains[arrival.request_id] = _Chain(arrival, now, wait)
        chain.done.update(arrival.made)
        stages = arrival.route.stages
        times = stage_times(
            stages,
            arrival.counts,
            lambda pool: loads[pool].call_seconds,
            lambda pool, at: 0.0,
            now,
        )
        for index, count in enumerate(arrival.counts):
            if count and index not in arrival.made:
                forecast = self._forecast(stages[index].pool)
                expected = forecast.timeline.expect(
                    arrival.priority, times[index][0], count, patience
                )
                chain.expected[index] = expected
        for pool, count in arrival.demand(arrival.made).items():
            self._forecast(pool).arrivals.note(arrival.priority, count, now)

    def _take_back(self, chain, stage):
        """Expect the pieces of a stage no longer."""
        expected = chain.expected.pop(stage, None)
        if expected is not None:
            pool = chain.arrival.route.stages[stage].pool
            self._forecast(pool).timeline.take_back(expected)

    def _error(self, kind) -> ForecastError:
        return self._errors.setdefault(kind, ForecastError())

    def _fade(self, now):
        elapsed = max(0.0, now - self._scaled_at)
        self._scaled_at = now
        above = max(0.0, self.scale - _USUAL_SCALE)
        self.scale -= above * (1.0 - 0.5 ** (elapsed / _HALF_SECONDS))

    def _forecast(self, pool) -> PoolForecast:
        found = self._forecasts.get(pool)
        if found is None:
            found = self._forecasts[pool] = PoolForecast()
        return found

    def _forget(self, now):
        if now - self._forgot_at < _FORGET_SECONDS:
            return
        self._forgot_at = now
        self._crowding.forget(now)
        for request_id, chain in list(self._chains.items()):
            if now - chain.since > _LOST_SECONDS:
                self.ended(request_id)
        for mark, at in list(self._refused.items()):
            if now - at > _REMEMBERED_SECONDS:
                del self._refused[mark]


def _limit(arrival):
    """Return the longest wait with which a request is let in."""
    aim = arrival.route.aim
    return max(aim * _LEAST_PART, arrival.slack - aim * _MARGIN_PART)


def _retry_after(arrival, wait):
    wanted = max((wait - _limit(arrival)) * _RETRY_FACTOR, arrival.route.aim * _RETRY_AIMS)
    return max(_MIN_RETRY, min(wanted, arrival.seconds_left * _RETRY_PART))
