"""Run one request: its stages, then attempts at targets until there is a final response.

A stage is work that workers do before the request reaches its target; its results are inputs of
the request. Each stage is split into pieces, which workers run in batches.

`failures.may_try_again` decides about retries: a request is sent again only if it is known not to
have run, or if its route allows it to run again, and only within the route's maximum number of
attempts and the pool's retry budget.
"""

import asyncio
import logging
import math

import msgspec

from traystall.core import clock
from traystall.core.exceptions import GatewayError
from traystall.core.logs import decision
from traystall.core.peer_timeout import read_arrived_bytes
from traystall.http.messages import Response
from traystall.http.request import Request
from traystall.passthrough.context import PassContext
from traystall.passthrough.entry.messages import response_headers
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.entry.sink import StreamSink
from traystall.passthrough.exceptions import (
    ConnectFailed,
    ConnectionBroken,
    ExchangeError,
    NoAnswer,
    Refusal,
    TargetHeldBack,
    TunnelClosed,
)
from traystall.passthrough.exchange.attempt import NOT_RUN_STATUSES, Attempt, TargetResponse
from traystall.passthrough.exchange.closing import require_running_target
from traystall.passthrough.exchange.continuations import Continuations
from traystall.passthrough.exchange.failover import Failover, PreparedAttempt
from traystall.passthrough.exchange.failures import (
    Failure,
    FailureKind,
    is_success,
    lost_inputs,
    may_try_again,
    pause_after_refusal,
)
from traystall.passthrough.exchange.refusals import (
    MAX_BACKOFF_WAIT_RATIO,
    TOO_LATE,
    Refusals,
)
from traystall.passthrough.health.board import QUIET_SECONDS, TargetView
from traystall.passthrough.health.target_prober import Sign
from traystall.passthrough.placement import choice
from traystall.passthrough.stages.cells import balanced_cell, cell_of, fallback_cell
from traystall.passthrough.stages.chain import InputsLost, StageChain, StageFailed
from traystall.quarantine.ends import TargetIncarnation

# A request that must not run twice uses only connections that were idle for at most this time. If
# the target closed an older connection at that moment, it would be unknown whether the request ran.
_MAX_IDLE_SECONDS = 1.0
# How many times the stages of a request may run, counting the first run.
_MAX_STAGE_RUNS = 2
# How long a target may take to respond before another one is looked for: the largest of this time,
# this ratio of the latency aim, and this multiple of the usual response time.
_MIN_HEAD_TIMEOUT_SECONDS = 0.15
_HEAD_TIMEOUT_AIM_RATIO = 0.45
_HEAD_TIMEOUT_USUAL_FACTOR = 3.0
# A resumable stream without data for this time, or for this multiple of the route's aim for the
# pause between events if that is longer, looks for another target to go on at.
_MIN_STREAM_PAUSE_SECONDS = 0.6
_STREAM_PAUSE_AIM_FACTOR = 4.0
# How long a request may wait while another trial of the same request runs, as a ratio of the
# latency aim. A refusal after that time still leaves the caller enough time to retry.
_TRIAL_WAIT_AIM_RATIO = 0.2
# Interval between checks whether a pool without available targets has one again.
_AVAILABILITY_POLL_SECONDS = 0.02
# Refusal code for requests whose targets terminated while they ran them.
QUARANTINED = "quarantined"

logger = logging.getLogger(__name__)


class Superseded(GatewayError):
    """Ends an attempt at a silent target; `prepared` is the next attempt."""

    def __init__(self, prepared: PreparedAttempt):
        self.prepared = prepared
        super().__init__("The request goes on at another target.")


class _Waiting(msgspec.Struct, frozen=True):
    """Hold an attempt that waits for data, and what the request needs to go on elsewhere."""

    passed: PassRequest
    view: TargetView
    attempt: Attempt
    sink: StreamSink
    chain: StageChain


class PassRunner:
    """Run requests at one gateway."""

    def __init__(self, context: PassContext):
        self._context = context
        self._refusals = Refusals(context)
        self._continuations = Continuations(context, self._refusals)

    async def run(self, request: Request, passed: PassRequest) -> Response | None:
        """Return the final response, or None after a stream was written; raise Refusal."""
        sink = StreamSink(request, passed)
        self._context.budget(passed.pool).on_request(clock.monotonic())
        try:
            async with asyncio.timeout(max(0.0, passed.remaining())) as passed.time_limit:
                return await self._run_with_stages(passed, sink)
        except TimeoutError:
            if sink.is_open:
                return self._abort_stream(passed, sink, "timeout")
            raise self._refusals.refusal(passed, TOO_LATE, "The deadline passed.") from None
        except Refusal as refusal:
            if sink.is_open:
                # The head was sent already, so a refusal would be written into the target's stream.
                return self._abort_stream(passed, sink, refusal.detail)
            raise
        except asyncio.CancelledError:
            passed.outcome = "caller-left"
            raise
        finally:
            self._context.guard.on_finished(passed.guarded)

    async def _run_with_stages(self, passed, sink):
        """Run the stages and the request; start over if stage results were lost."""
        self._refusals.require_servable(passed)
        await self._require_admission(passed)
        await self._continuations.require_version(passed)
        for left in reversed(range(_MAX_STAGE_RUNS)):
            chain = StageChain(self._context, passed)
            try:
                await self._run_stages(chain, passed)
                return await self._run_attempts(passed, sink, chain)
            except InputsLost as error:
                decision("inputs-gone", request=passed.request_id, why=str(error), left=left)
                if not left or not self._may_run_stages_again(passed):
                    raise self._refusals.refusal(passed, "stage-failed", str(error)) from error
            finally:
                chain.free()
        raise AssertionError("The last run of the stages must return or raise.")

    async def _require_admission(self, passed):
        """Refuse a quarantined request, before its stages and before each attempt.

        A request is quarantined after targets have terminated while they ran it. The quarantine
        outlives a single arrival: without it, one request terminated nine targets, because each
        new arrival of the request was sent to another target. A trial is a single attempt that
        tests whether the request still terminates its targets.
        """
        if passed.guarded.trial and not passed.attempts:
            return
        if passed.guarded.trial:
            detail = "It was sent as a trial, which is a single attempt."
            raise self._refusals.refusal(passed, QUARANTINED, detail)
        patience = passed.route.aim * _TRIAL_WAIT_AIM_RATIO
        admission = await self._context.guard.admit(passed.guarded, patience)
        if not admission.may_send:
            raise self._refusals.refusal(passed, QUARANTINED, admission.why, admission.retry_after)

    def _may_run_stages_again(self, passed) -> bool:
        """Take the pieces of all stages from the retry budgets; return whether all allow it."""
        pools = {
            stage.pool: count
            for stage, count in zip(passed.route.stages, passed.piece_counts, strict=True)
            if count
        }
        taken = []
        now = clock.monotonic()
        for pool, count in pools.items():
            if not self._may_repeat(passed, pool, now, count):
                for taken_pool in taken:
                    self._context.budget(taken_pool).give_back(now, pools[taken_pool])
                return False
            taken.append(pool)
        return True

    def _may_repeat(self, passed, pool, now, count=1) -> bool:
        """Take retries from the budget of a pool; log a refusal."""
        is_allowed = self._context.consume_repeat(pool, now, count)
        if not is_allowed:
            decision("no-retry-budget", request=passed.request_id, pool=pool, count=count)
        return is_allowed

    async def _repeat_stages(self, chain, passed) -> bool:
        """Run the stages again for another target; return whether the retry budgets allow it."""
        if not self._may_run_stages_again(passed):
            return False
        passed.inputs = await self._run_in_cells(chain, passed)
        return True

    async def _run_stages(self, chain, passed):
        """Run the stages of a request, and set their results as its inputs."""
        if not any(passed.piece_counts):
            return
        began = clock.monotonic()
        likely_target = await self._choose(passed, book=False)
        passed.stages_data_centre = likely_target.report.data_centre if likely_target else ""
        self._context.pending_by_pool[passed.pool] += 1
        try:
            passed.inputs = await self._run_in_cells(chain, passed)
        except InputsLost:
            raise
        except StageFailed as error:
            code = "busy" if error.retry_after else "stage-failed"
            raise self._refusals.refusal(passed, code, str(error), error.retry_after) from error
        finally:
            self._context.pending_by_pool[passed.pool] -= 1
            passed.stages_seconds = clock.monotonic() - began

    async def _run_in_cells(self, chain, passed):
        """Run the stages in the cell of the likely target, or in another cell if it is busy.

        A cell is a group of data centres that batches pieces on its own.
        """
        cells = self._context.cells()
        cell = cell_of(passed.request_id, passed.stages_data_centre, cells)
        balanced = self._balanced_cell(passed, cell, cells)
        if balanced != cell:
            cell = passed.stages_data_centre = balanced
        other = fallback_cell(passed.request_id, cell, cells, passed.places)
        if not other:
            return await chain.run()
        passed.refuse_at_once = True
        try:
            return await chain.run()
        except StageFailed as error:
            if error.retry_after is None:
                raise
            decision("cell-busy", request=passed.request_id, cell=cell, other=other)
        chain.free()
        passed.refuse_at_once = False
        passed.stages_data_centre = other
        return await chain.run()

    def _balanced_cell(self, passed, cell, cells) -> str:
        """Return the cell for the stages of a request, which may differ from its engine's cell.

        A request keeps its cell if its stage results are large, because the engine reads them, or
        if it is restricted to certain data centres.
        """
        if not cells or passed.places or passed.has_large_results:
            return cell
        board = self._context.board
        stages = zip(passed.route.stages, passed.piece_counts, strict=True)
        pools = {stage.pool for stage, count in stages if count}
        workers = [board.data_centres(pool) for pool in pools]
        engines = board.data_centres(passed.pool)
        return balanced_cell(passed.request_id, cell, cells, workers, engines)

    async def _run_attempts(self, passed, sink, chain):
        """Send the request to one target after another until an attempt gives the final result."""
        unreachable = 0
        failure: Failure | None = None
        place_deadline = self._place_deadline(passed)
        prepared: PreparedAttempt | None = None
        while True:
            if prepared is not None:
                view, attempt = prepared.view, prepared.attempt
            else:
                await self._require_admission(passed)
                view = await self._wait_for_target(passed, place_deadline)
                if view is None:
                    return self._finish_failed(passed, sink, failure)
                attempt = Attempt(view, self._context.names, passed.request_id)
            outcome = await self._attempt(passed, view, attempt, sink, chain)
            prepared = outcome if isinstance(outcome, PreparedAttempt) else None
            if prepared is not None:
                continue
            if not isinstance(outcome, Failure):
                return outcome
            if outcome.kind is FailureKind.HELD_BACK:
                # Nothing was sent, so neither an attempt nor the retry budget is used.
                passed.tried.discard(view.identity)
                continue
            failure = outcome
            place_deadline = self._place_deadline(passed)
            decision(
                "attempt-failed",
                request=passed.request_id,
                target=view.identity,
                kind=failure.kind.value,
                why=failure.reason,
                attempt=passed.attempts,
            )
            unreachable += failure.kind is FailureKind.UNREACHABLE
            if lost_inputs(failure):
                passed.tried.discard(view.identity)
                if not self._may_repeat(passed, passed.pool, clock.monotonic()):
                    return self._finish_failed(passed, sink, failure)
                raise InputsLost(failure.reason)
            if sink.is_open and self._continuations.is_uncertain(passed):
                return self._finish_failed(passed, sink, failure)
            if not may_try_again(passed, failure, unreachable):
                return self._finish_failed(passed, sink, failure)
            uses_budget = failure.kind is not FailureKind.UNREACHABLE
            if uses_budget and not self._may_repeat(passed, passed.pool, clock.monotonic()):
                return self._finish_failed(passed, sink, failure)
            if sink.is_open and passed.inputs:
                # The stage results were released when the stream began. The target that continues
                # the stream needs them again.
                raise InputsLost("The stream goes on elsewhere and needs its inputs again.")

    def _place_deadline(self, passed) -> float:
        """Return until when an attempt may wait for a place at a brittle target."""
        return clock.monotonic() + passed.route.aim * MAX_BACKOFF_WAIT_RATIO

    async def _wait_for_target(self, passed, place_deadline) -> TargetView | None:
        """Return the target for an attempt; wait briefly if one becomes available soon."""
        board = self._context.board
        if clock.monotonic() > place_deadline and board.is_brittle(passed.pool, passed.places):
            return None
        give_up_at = clock.monotonic() + passed.route.aim * MAX_BACKOFF_WAIT_RATIO
        while (view := await self._choose(passed, book=True)) is None:
            now = clock.monotonic()
            excluded = self._context.excluded_targets(passed)
            next_seconds = board.next_available_seconds(passed.pool, excluded, now, passed.places)
            wait = max(_AVAILABILITY_POLL_SECONDS, next_seconds)
            if now + wait > give_up_at:
                return None
            await asyncio.sleep(wait)
        return view

    async def _choose(self, passed, book) -> TargetView | None:
        """Return a target for the request; `book` counts the prompt as being read by its engine."""
        context = self._context
        pool = context.index.pools.get(passed.pool)
        if pool is not None and pool.engine is not None:
            return await context.placement_service.choose_engine(passed, book)
        candidates = [
            v for v in context.usable(passed.pool, passed.places) if context.cold.may_send(v)
        ]
        mean = context.board.mean_seconds(passed.pool)
        view = choice.choose_target(
            candidates,
            context.excluded_targets(passed),
            context.data_centre,
            mean,
            context.random,
            clock.monotonic(),
        )
        if view is not None and book:
            context.cold.record_sent(view)
        return view

    async def _attempt(
        self, passed, view, attempt, sink, chain
    ) -> Response | Failure | PreparedAttempt | None:
        """Make one attempt; return a response, None after a complete stream, or the failure.

        Return the next attempt if the target stays silent and that attempt is ready to be sent.
        """
        passed.tried.add(view.identity)
        passed.target = view.identity
        began = clock.monotonic()
        view.on_request_started(began)
        prepared = None
        try:
            async with attempt:
                return await self._exchange(passed, view, attempt, sink, chain)
        except Superseded as superseded:
            prepared = superseded.prepared
            passed.may_have_run = True
            self._on_superseded(passed, view, prepared)
            return prepared
        except TargetHeldBack as error:
            # A tunnel may close after the attempt was counted; nothing has reached the target.
            passed.attempts -= isinstance(error, TunnelClosed)
            return Failure(FailureKind.HELD_BACK, error.reason)
        except ExchangeError as error:
            self._context.board.on_exchange_error(view, error, clock.monotonic())
            self._report_target_end(passed, view, error)
            if not error.sent:
                return Failure(FailureKind.UNREACHABLE, error.reason)
            passed.may_have_run = True
            return Failure(FailureKind.DOUBT, error.reason)
        except (TimeoutError, asyncio.CancelledError):
            passed.may_have_run = passed.may_have_run or attempt.was_sent
            if attempt.was_sent:
                self._context.guard.ends.on_run_abandoned(self._watched(view), passed.guarded)
            raise
        finally:
            view.running -= 1
            # The placement of the next attempt has replaced this one.
            if passed.prompt.parts and prepared is None:
                self._context.placement_service.ended(passed)
            decision(
                "attempt",
                request=passed.request_id,
                target=view.identity,
                target_data_centre=view.report.data_centre,
                target_version=view.report.version,
                seconds=round(clock.monotonic() - began, 4),
                via=attempt.via or None,
                ended_by=attempt.ended_by,
            )

    def _on_superseded(self, passed, view, prepared):
        """Record that a request leaves a target that has been silent."""
        now = clock.monotonic()
        decision(
            "moved",
            request=passed.request_id,
            target=view.identity,
            to=prepared.view.identity,
            target_seconds=round(view.silent_seconds(now), 3),
        )
        self._context.guard.ends.on_run_abandoned(self._watched(view), passed.guarded)
        if view.silent_seconds(now) >= QUIET_SECONDS:
            self._context.prober.mark_silent(view)
        else:
            # It responds, so that this request alone takes too long there.
            view.on_failure(now, self._context.random)

    def _report_target_end(self, passed, view, error):
        """Report an exchange error that may show that the target terminated under the request.

        Targets that are shutting down are expected to terminate and are not reported.
        """
        ends = self._context.guard.ends
        if not view.is_ready:
            return
        if isinstance(error, ConnectFailed):
            if error.refused:
                ends.on_connection_refused(self._watched(view))
        elif isinstance(error, ConnectionBroken) and error.sent and not error.silent:
            ends.on_connection_broken(self._watched(view), passed.guarded)
        elif error.sent:
            ends.on_run_abandoned(self._watched(view), passed.guarded)

    def _watched(self, view) -> TargetIncarnation:
        return view.watched(lambda: self._context.board.end_evidence(view))

    async def _exchange(self, passed, view, attempt, sink, chain):
        """Send the request and process the response; exchange errors are raised."""
        max_idle_seconds = float("inf") if passed.route.is_safe_to_retry else _MAX_IDLE_SECONDS
        patience = self._refusals.max_turn_wait(passed) if view.limit.is_limited else 0.0
        if not attempt.is_open:
            await attempt.open(max_idle_seconds, patience, max(0.0, passed.remaining()))
            if passed.route.streamed and not sink.is_open:
                self._refusals.require_time_for_stream(passed)
        began = clock.monotonic()
        attempt.send(passed.to_bytes(view, sink.last_id))
        passed.attempts += 1
        waiting = _Waiting(passed, view, attempt, sink, chain)
        patience = self._head_timeout(passed)
        head = await attempt.read_head(lambda: self._wait_for_data(waiting, patience))
        self._context.places.on_response(view.report.data_centre)
        if passed.route.streamed and is_success(head, self._context.names):
            return await self._relay_events(waiting)
        response = await attempt.read_body(head, room=self._context.answer_room)
        if head.until_close and not attempt.has_not_run():
            await require_running_target(self._context.board, view, self._check_seconds(passed))
        failure = self._classify_response(view, attempt, response)
        if failure is not None:
            passed.may_have_run |= failure.kind is not FailureKind.NOT_RUN
            return failure
        now = clock.monotonic()
        if attempt.was_silent:
            view.on_response(now)
        else:
            view.on_success(now - began, now)
            self._context.record_response_seconds(passed.route.name, now - began)
        passed.outcome = "complete"
        self._context.guard.served(passed.guarded)
        return _to_response(response)

    async def _wait_for_data(self, waiting, patience):
        """Return once there is data to read; raise Superseded if the request goes on elsewhere.

        After `patience` seconds of silence the next attempt is prepared. Until it is ready to be
        sent, the target may go on at any time, which ends the preparation.
        """
        passed, attempt = waiting.passed, waiting.attempt
        if attempt.has_data:
            return
        if patience == math.inf:
            await attempt.wait_for_data()
            return
        if not passed.may_try_another_target:
            await self._wait_at_target(waiting, patience)
            return
        while not await attempt.has_data_within(patience):
            prepared = await self._outlast_silence(waiting, patience)
            if prepared is not None:
                raise Superseded(prepared)
            if attempt.has_data:
                return

    async def _wait_at_target(self, waiting, patience):
        """Return once there is data to read; note a silence, which is no sign of slow work."""
        attempt = waiting.attempt
        if await attempt.has_data_within(patience):
            return
        probe = asyncio.create_task(self._context.prober.probe(waiting.view))
        try:
            await attempt.wait_for_data()
        finally:
            if probe.done() and not probe.cancelled():
                attempt.was_silent |= probe.result() is Sign.SILENT
            probe.cancel()

    async def _outlast_silence(self, waiting, patience) -> PreparedAttempt | None:
        """Return the next attempt, ready to be sent, or None if the target goes on before that."""
        attempt = waiting.attempt
        failover = Failover(
            self._context,
            self._refusals,
            self._continuations,
            waiting.passed,
            waiting.view,
            waiting.sink,
            waiting.chain,
            patience,
            self._choose,
            self._repeat_stages,
        )
        data = asyncio.create_task(attempt.wait_for_data())
        preparation = asyncio.create_task(failover.prepare())
        is_certain = False
        try:
            try:
                await asyncio.wait({data, preparation}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                data.cancel()
                preparation.cancel()
                await asyncio.gather(data, preparation, return_exceptions=True)
            await read_arrived_bytes()
            prepared = _result_of(preparation)
            # From here to the sending of the next attempt nothing else runs.
            is_certain = (
                prepared is not None and not attempt.has_data and prepared.attempt.can_be_sent()
            )
            return prepared if is_certain else None
        finally:
            attempt.was_silent |= failover.was_silent
            waiting.passed.silent_targets = set()
            if not is_certain:
                await failover.discard(_result_of(preparation))

    def _head_timeout(self, passed) -> float:
        """Return how long a target may take to respond before another one is tried, in seconds."""
        usual = self._refusals.usual_response_seconds(passed)
        return max(
            _MIN_HEAD_TIMEOUT_SECONDS,
            passed.route.aim * _HEAD_TIMEOUT_AIM_RATIO,
            usual * _HEAD_TIMEOUT_USUAL_FACTOR,
        )

    def _classify_response(self, view, attempt, response) -> Failure | None:
        """Return the failure that a response represents, or None for a success."""
        now = clock.monotonic()
        head = response.head
        if attempt.has_not_run():
            if head.status == 421:
                view.is_replaced = True
            elif head.status not in (400, 409):
                view.avoid_until = max(view.avoid_until, now + pause_after_refusal(head))
            return Failure(FailureKind.NOT_RUN, f"The target answered {head.status}.", response)
        if is_success(head, self._context.names):
            return None
        if 200 <= head.status < 300:
            view.on_failure(now, self._context.random)
            return Failure(FailureKind.DOUBT, "The answer is not the target's own.")
        if head.status >= 500:
            view.on_failure(now, self._context.random)
        return Failure(FailureKind.FAILED, f"The target answered {head.status}.", response)

    async def _relay_events(self, waiting):
        """Write the events of a stream to the caller; release the inputs at the first event."""
        passed, view, attempt, sink = waiting.passed, waiting.view, waiting.attempt, waiting.sink
        sent_at = attempt.sent_at
        # The rest of a stream that goes on elsewhere is no sample of a whole response.
        was_open, has_events = sink.is_open, False
        sink.start_run(attempt.head)
        patience = self._stream_patience(passed)
        async for chunk in attempt.chunks(lambda: self._wait_for_data(waiting, patience)):
            for event in sink.split(chunk):
                if not has_events:
                    has_events = True
                    waiting.chain.free()
                if not sink.is_open:
                    self._continuations.on_first_event(passed, view)
                    self._context.guard.event_received(passed.guarded)
                    self._context.placement_service.started(passed)
                    now = clock.monotonic()
                    view.on_success(0.0, now)
                    if not attempt.was_silent:
                        usual = passed.prompt.seconds()
                        self._context.update_engine_scale(usual, now - sent_at)
                await sink.write(event)
        if attempt.head.until_close and sink.partial:
            raise NoAnswer("The stream ended inside an event.", sent=True)
        if attempt.head.until_close:
            await require_running_target(self._context.board, view, self._check_seconds(passed))
        if not was_open and not attempt.was_silent:
            seconds = clock.monotonic() - sent_at
            self._context.record_response_seconds(passed.route.name, seconds)
        passed.outcome = "complete"
        self._context.guard.served(passed.guarded)
        await sink.finish()

    def _check_seconds(self, passed) -> float:
        """Return how long a whole response may be checked; it may take twice as long if held up."""
        return passed.remaining() / 2

    def _stream_patience(self, passed) -> float:
        """Return after how long without data a stream looks for another target, in seconds."""
        if not passed.route.resumable:
            return math.inf
        return max(_MIN_STREAM_PAUSE_SECONDS, passed.route.pause_aim * _STREAM_PAUSE_AIM_FACTOR)

    def _finish_failed(self, passed, sink, failure) -> Response | None:
        """Abort an open stream, pass on the target's own error response, or raise Refusal.

        An error response is passed on only if it does not claim that the request has not run.
        """
        if sink.is_open:
            return self._abort_stream(passed, sink, failure.reason if failure else "no target")
        response = failure.response if failure else None
        is_signed = (
            response is not None and response.head.get(self._context.names.signature) is not None
        )
        if (
            is_signed
            and response.head.status not in NOT_RUN_STATUSES
            and response.head.status >= 300
        ):
            passed.outcome = f"target-{response.head.status}"
            return _to_response(response)
        seconds = self._context.backoff_left(passed.pool, passed.places)
        if seconds:
            raise self._refusals.backoff_refusal(passed, seconds)
        reason = failure.reason if failure else "No target can take it."
        raise self._refusals.refusal(passed, "not-served", reason)

    def _abort_stream(self, passed, sink, why):
        """Abort a stream so that the caller can't take it for complete."""
        passed.outcome = "cut"
        decision("cut", request=passed.request_id, why=why, events=passed.events)
        sink.abort()


def _result_of(preparation: asyncio.Task[PreparedAttempt]) -> PreparedAttempt | None:
    """Return the attempt that a task has prepared, or None if it was ended before."""
    if not preparation.done() or preparation.cancelled():
        return None
    if preparation.exception() is not None:
        logger.error("no other attempt prepared", exc_info=preparation.exception())
        return None
    return preparation.result()


def _to_response(response: TargetResponse) -> Response:
    return Response(response.head.status, response_headers(response.head), response.body)
