"""Prepare the next attempt of a request while the current one is silent.

Everything that the next attempt needs is obtained before the current one is ended: the retry
budget, stage results, a target that responds, and a connection with its permit or lease. All of it
is given back if the current target goes on meanwhile.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.passthrough.context import PassContext
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.entry.sink import StreamSink
from traystall.passthrough.exceptions import ExchangeError
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.exchange.continuations import Continuations
from traystall.passthrough.exchange.failures import MIN_ATTEMPT_SECONDS
from traystall.passthrough.exchange.refusals import Refusals
from traystall.passthrough.exchange.silence import (
    Silence,
    caller_patience,
    is_silent,
    pool_silence,
    should_move,
)
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.health.target_prober import Sign
from traystall.passthrough.stages.chain import StageChain, StageFailed
from traystall.systems.backoff import backoff_seconds
from traystall.systems.rendezvous import rendezvous_order

# Interval at which the decision is made again while the current target is silent.
_REVIEW_SECONDS = 0.1
# The longest time that a review takes, with the probes of all candidates, if nothing holds it up.
_MAX_REVIEW_SECONDS = 1.2
# A target that has been heard within this time is not probed before it gets a request.
_RECENTLY_HEARD_SECONDS = 0.2
# How many targets are probed at most besides the current one.
_MAX_PROBED = 8
# Pauses before the stages run again after they failed; a longer one after each failure.
_FIRST_STAGES_PAUSE_SECONDS = 0.3
_MAX_STAGES_PAUSE_SECONDS = 1.5
# How many targets are tried in one review.
_MAX_CANDIDATES = 3
# A kept connection that was idle for longer may not answer any more.
_MAX_IDLE_SECONDS = 1.0

ChooseTarget = Callable[[PassRequest, bool], Awaitable[TargetView | None]]
RunStages = Callable[[StageChain, PassRequest], Awaitable[bool]]


class PreparedAttempt:
    """An attempt that can be sent at once, with what was reserved for it."""

    def __init__(self, view: TargetView, attempt: Attempt):
        self.view = view
        self.attempt = attempt


class Failover:
    """Prepare the next attempt of one request; `run_stages` runs its stages again.

    `silent_seconds` is for how long the current attempt at `view` has been silent.
    """

    def __init__(
        self,
        context: PassContext,
        refusals: Refusals,
        continuations: Continuations,
        passed: PassRequest,
        view: TargetView,
        sink: StreamSink,
        chain: StageChain,
        silent_seconds: float,
        choose_target: ChooseTarget,
        run_stages: RunStages,
    ):
        self._context = context
        self._refusals = refusals
        self._continuations = continuations
        self._passed = passed
        self._view = view
        self._sink = sink
        self._chain = chain
        self._silent_seconds = silent_seconds
        self._began = clock.monotonic() - silent_seconds
        self._choose_target = choose_target
        self._run_stages = run_stages
        # Whether a retry was taken from the budget, and when.
        self._has_budget = False
        self._budget_at = -math.inf
        # How often the stages have failed meanwhile, and when they may run again.
        self._stage_failures = 0
        self._stages_wait_until = -math.inf
        self._has_inputs = not passed.inputs or chain.holds_results
        self._has_run_stages = False
        # Whether the prompt was added to the load of another engine.
        self._has_booked = False
        # Since when the current target has been heard on other connections.
        self._heard_since: float | None = None
        # When most of the pool, or several of its targets at the start, were last silent.
        self._common_at = -math.inf
        # The targets that were found silent meanwhile, and when the latest of them was heard again.
        self._still_silent: set[str] = set()
        self._resumed: set[str] = set()
        self._resumed_at = -math.inf
        self._logged = ""
        # Whether the current target, or most of its pool, was found silent.
        self.was_silent = False

    async def prepare(self) -> PreparedAttempt:
        """Return the next attempt once it is certain; until then the current one goes on."""
        self._log_silence()
        reviewed_at = clock.monotonic()
        while (prepared := await self._try_to_prepare()) is None:
            await asyncio.sleep(_REVIEW_SECONDS)
            now = clock.monotonic()
            # After a hold-up of the process not all of the time was silence of the target.
            self._silent_seconds += min(now - reviewed_at, _MAX_REVIEW_SECONDS)
            reviewed_at = now
        return prepared

    async def discard(self, prepared: PreparedAttempt | None) -> None:
        """Give back what was reserved, because the current attempt goes on."""
        if prepared is not None:
            await prepared.attempt.__aexit__(None, None, None)
        self._passed.silent_targets = set()
        self._give_back_budget()
        if self._has_booked:
            self._context.placement_service.book_again(self._passed, self._view, self._sink.is_open)
        if self._has_run_stages:
            # The current target has its inputs; these are for another one.
            self._chain.free()

    def _give_back_budget(self):
        if self._has_budget:
            self._context.budget(self._passed.pool).give_back(self._budget_at)
            self._has_budget = False

    async def _try_to_prepare(self) -> PreparedAttempt | None:
        if not self._may_move():
            return self._stay("request")
        if not should_move(await self._examine()):
            return self._stay("silence")
        if clock.monotonic() < self._stages_wait_until:
            return self._stay("inputs")
        # Asked before the budget, which other requests may need while probes are under way.
        view = await self._find_target(book=False)
        if view is None:
            return self._stay("target")
        if not self._has_inputs:
            self._passed.stages_data_centre = view.report.data_centre
        self._budget_at = clock.monotonic()
        if not self._context.consume_repeat(self._passed.pool, self._budget_at):
            return self._stay("budget")
        self._has_budget = True
        prepared = None
        try:
            prepared = await self._prepare_within_budget()
        finally:
            if prepared is None:
                self._give_back_budget()
        return prepared

    async def _prepare_within_budget(self) -> PreparedAttempt | None:
        if not self._has_inputs and not await self._make_inputs():
            return self._stay("inputs")
        view = await self._find_target(book=True)
        if view is None:
            return self._stay("target")
        return await self._open(view)

    def _stay(self, why) -> None:
        """Log once for each reason why the request stays at its target."""
        if why != self._logged:
            self._logged = why
            decision(
                "stays",
                request=self._passed.request_id,
                target=self._view.identity,
                why=why,
                seconds=round(self._silent_seconds, 3),
            )

    def _may_move(self) -> bool:
        """Return whether the request itself may be sent to another target now."""
        passed = self._passed
        begins_stream = passed.route.streamed and not self._sink.is_open
        if begins_stream and not self._refusals.has_time_for_stream(passed):
            return False
        return (
            passed.may_try_another_target
            and passed.remaining() > MIN_ATTEMPT_SECONDS
            and not self._context.guard.is_restricted(passed.guarded)
            and not (self._sink.is_open and self._continuations.is_uncertain(passed))
        )

    async def _examine(self) -> Silence:
        """Return what is known of the silence; probe the pool if most known targets are silent."""
        passed, view = self._passed, self._view
        views = self._context.board.pool(passed.pool)
        pool = pool_silence(views, clock.monotonic())
        is_costly = bool(self._sink.is_open or passed.inputs or passed.prompt.tokens)
        sign = Sign.UNKNOWN
        if is_costly and pool.is_common:
            sign = await self._probe_pool()
            pool = pool_silence(views, clock.monotonic())
        self.was_silent |= pool.is_common or view.is_silent
        now = clock.monotonic()
        if pool.is_common:
            self._common_at = now
        self._note_resumed(views, now)
        if view.heard_at <= self._began or is_silent(view, now):
            self._heard_since = None
        elif self._heard_since is None:
            self._heard_since = now
        return Silence(
            self._silent_seconds,
            pool,
            now - self._heard_since if self._heard_since is not None else 0.0,
            sign is Sign.UNREACHABLE,
            is_costly,
            now - self._common_at,
            now - self._resumed_at,
            caller_patience(passed.route.aim, passed.route.pause_aim),
        )

    def _note_resumed(self, views, now):
        """Record which targets are silent, and when one of several was heard again.

        A target that falls silent again and again counts once, so that the wait is bounded.
        """
        silent = {v.identity for v in views if is_silent(v, now)}
        self._still_silent |= silent - self._resumed
        heard = self._still_silent - silent
        self._still_silent -= heard
        self._resumed |= heard
        if heard and math.isfinite(self._common_at):
            self._resumed_at = now

    async def _probe_pool(self) -> Sign:
        """Probe the current target and others that were not heard lately; return its sign.

        All requests of this gateway probe the same targets.
        """
        context, now = self._context, clock.monotonic()
        others = {
            v.identity: v
            for v in context.board.pool(self._passed.pool)
            if v is not self._view
            and not v.is_silent
            and now - v.heard_at > _RECENTLY_HEARD_SECONDS
        }
        chosen = rendezvous_order(context.identity, list(others))[:_MAX_PROBED]
        signs = await asyncio.gather(
            context.prober.probe(self._view),
            *(context.prober.probe(others[identity]) for identity in chosen),
        )
        return signs[0]

    async def _find_target(self, *, book: bool) -> TargetView | None:
        """Return a target for the request that responds, or None.

        `book` adds the prompt to the load of the target.
        """
        passed, context = self._passed, self._context
        now = clock.monotonic()
        pool = context.board.pool(passed.pool)
        passed.silent_targets = {v.identity for v in pool if is_silent(v, now)} | self._still_silent
        for _ in range(_MAX_CANDIDATES):
            self._has_booked |= book and bool(passed.prompt.parts)
            view = await self._choose_target(passed, book)
            if view is None:
                return None
            if view.identity in context.excluded_targets(passed):
                return None
            if await self._responds(view):
                return view
            passed.silent_targets.add(view.identity)
        return None

    async def _responds(self, view) -> bool:
        if clock.monotonic() - view.heard_at <= _RECENTLY_HEARD_SECONDS:
            return True
        return await self._context.prober.probe(view) is Sign.ANSWERED

    async def _make_inputs(self) -> bool:
        """Run the stages again, whose results the current target has consumed."""
        self._has_run_stages = True
        try:
            self._has_inputs = await self._run_stages(self._chain, self._passed)
        except StageFailed as error:
            self._delay_stages()
            decision("stages-not-repeated", request=self._passed.request_id, why=str(error))
        return self._has_inputs

    def _delay_stages(self):
        """Let the stages rest before they run again."""
        seconds = backoff_seconds(
            _FIRST_STAGES_PAUSE_SECONDS, _MAX_STAGES_PAUSE_SECONDS, self._stage_failures
        )
        self._stage_failures += 1
        self._stages_wait_until = clock.monotonic() + seconds

    async def _open(self, view) -> PreparedAttempt | None:
        """Return an attempt with an open connection to a target, or None."""
        passed = self._passed
        attempt = Attempt(view, self._context.names, passed.request_id)
        is_open = False
        try:
            await attempt.open(_MAX_IDLE_SECONDS, 0.0, max(0.0, passed.remaining()))
            is_open = True
        except ExchangeError as error:
            decision(
                "not-opened", request=passed.request_id, target=view.identity, why=error.reason
            )
            return self._stay("connection")
        finally:
            if not is_open:
                await attempt.__aexit__(None, None, None)
        return PreparedAttempt(view, attempt)

    def _log_silence(self):
        """Log an attempt without data, with what else is heard of its pool."""
        now, passed, view = clock.monotonic(), self._passed, self._view
        pool = pool_silence(self._context.board.pool(passed.pool), now)
        self.was_silent |= pool.is_common
        if pool.silent > 1:
            self._common_at = now
        is_target_heard = view.silent_seconds(now) < self._silent_seconds / 2
        metrics.target_silences_total.inc(
            {"pool": passed.pool, "target": "heard" if is_target_heard else "silent"}
        )
        decision(
            "silent",
            request=passed.request_id,
            target=view.identity,
            seconds=round(self._silent_seconds, 3),
            target_seconds=round(view.silent_seconds(now), 3),
            known_targets=pool.known,
            silent_targets=pool.silent,
        )
