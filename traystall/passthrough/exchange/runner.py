"""Run one request: its stages, then attempts at targets until there is a final answer.

What decides whether it may be sent again stands in `failures.may_try_again`: only
work that is known not to have run, or that may run again, and only within the
route's attempts and the budget.
"""

import asyncio

from traystall.core import clock
from traystall.core.logs import decision
from traystall.http.messages import Response
from traystall.http.request import Request
from traystall.passthrough.context import PassContext
from traystall.passthrough.entry.messages import answer_headers
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.entry.sink import StreamSink
from traystall.passthrough.exceptions import (
    ConnectFailed,
    ConnectionBroken,
    ExchangeError,
    NoAnswer,
    Refusal,
    TargetHeldBack,
)
from traystall.passthrough.exchange.attempt import PROMISES, Answer, Attempt, before
from traystall.passthrough.exchange.failures import (
    MIN_SECONDS,
    Failure,
    FailureKind,
    is_success,
    lost_inputs,
    may_try_again,
    pause_after_refusal,
)
from traystall.passthrough.exchange.refusals import REST_WAIT_PART, Refusals
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.placement import choice
from traystall.passthrough.stages.cells import balanced_cell, cell_of, fallback_cell
from traystall.passthrough.stages.chain import InputsLost, StageChain, StageFailed
from traystall.quarantine.ends import TargetIncarnation

# A request that must not run twice goes only on connections that rested less than this, in
# seconds: one that the target closes meanwhile would leave a doubt.
_FRESH_SECONDS = 1.0
# The stages are run so many times at the most.
_MAX_CHAINS = 2
# Where another target may be asked: how long the first may take to answer, in seconds, as a part
# of the aim, and beside what is usual.
_LEAST_PATIENCE = 0.15
_PATIENCE_PART = 0.45
_PATIENCE_FACTOR = 3.0
# A resumable stream that pauses for so long, in seconds and beside its aim, goes on elsewhere.
_LEAST_PAUSE = 0.6
_PAUSE_FACTOR = 4.0
# The part of the aim that a request may wait while another trial is under way: a refusal is then
# still early enough for its caller to return in time.
_TRIAL_WAIT_PART = 0.2
# How often is looked whether a pool that rests as a whole may be asked, in seconds.
_REST_LOOK_SECONDS = 0.02
# The code of refusals of requests that ended the targets that ran them.
QUARANTINED = "quarantined"


class PassRunner:
    """Run requests at one gateway."""

    def __init__(self, context: PassContext):
        self._context = context
        self._refusals = Refusals(context)

    async def run(self, request: Request, passed: PassRequest) -> Response | None:
        """Return the final answer, None after a stream that was written; or raise Refusal."""
        sink = StreamSink(request, passed)
        self._context.budget(passed.pool).on_request(clock.monotonic())
        try:
            async with asyncio.timeout(max(0.0, passed.remaining())) as passed.time_limit:
                return await self._run_chains(passed, sink)
        except TimeoutError:
            if sink.is_open:
                return self._cut(passed, sink, "timeout")
            raise self._refusals.refusal(passed, "too-late", "The deadline passed.") from None
        except Refusal as refusal:
            if sink.is_open:
                # Its head is sent: an answer of our own would land inside the target's.
                return self._cut(passed, sink, refusal.detail)
            raise
        except asyncio.CancelledError:
            passed.outcome = "caller-left"
            raise
        finally:
            self._context.guard.on_finished(passed.guarded)

    async def _run_chains(self, passed, sink):
        """Run the stages and the request; once more from the start if results were lost."""
        self._refusals.require_chance(passed)
        await self._require_admission(passed)
        for left in reversed(range(_MAX_CHAINS)):
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
        raise AssertionError("The last chain returns or raises.")

    async def _require_admission(self, passed):
        """Refuse what ended the targets that ran it, before each of its stages and attempts.

        One request ended nine targets, each arrival a new one, since nobody remembered the others.
        """
        if passed.guarded.trial and not passed.attempts:
            return
        if passed.guarded.trial:
            detail = "It was sent as a trial, which is a single attempt."
            raise self._refusals.refusal(passed, QUARANTINED, detail)
        patience = passed.route.aim * _TRIAL_WAIT_PART
        admission = await self._context.guard.admit(passed.guarded, patience)
        if not admission.may_send:
            raise self._refusals.refusal(passed, QUARANTINED, admission.why, admission.retry_after)

    def _may_run_stages_again(self, passed) -> bool:
        """Take what the pools of the stages allow to be asked again."""
        pools = {
            stage.pool: count
            for stage, count in zip(passed.route.stages, passed.piece_counts, strict=True)
            if count
        }
        return all(self._context.may_repeat(pool, count) for pool, count in pools.items())

    async def _run_stages(self, chain, passed):
        if not any(passed.piece_counts):
            return
        began = clock.monotonic()
        likely = await self._choose(passed, book=False)
        passed.stages_data_centre = likely.report.data_centre if likely else ""
        self._context.coming[passed.pool] += 1
        try:
            passed.inputs = await self._run_in_cells(chain, passed)
        except InputsLost:
            raise
        except StageFailed as error:
            code = "busy" if error.retry_after else "stage-failed"
            raise self._refusals.refusal(passed, code, str(error), error.retry_after) from error
        finally:
            self._context.coming[passed.pool] -= 1
            passed.stages_seconds = clock.monotonic() - began

    async def _run_in_cells(self, chain, passed):
        """Run the stages in the cell of the likely target, or in another one if it is busy."""
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
        """Return the cell for a request, which may be another than the one of its engine.

        Results that are heavy stay where they are read, and a customer's where they may be.
        """
        if not cells or passed.places or passed.has_heavy_results:
            return cell
        board = self._context.board
        stages = zip(passed.route.stages, passed.piece_counts, strict=True)
        pools = {stage.pool for stage, count in stages if count}
        workers = [board.data_centres(pool) for pool in pools]
        engines = board.data_centres(passed.pool)
        return balanced_cell(passed.request_id, cell, cells, workers, engines)

    async def _run_attempts(self, passed, sink, chain):
        unreachable = 0
        failure: Failure | None = None
        while True:
            await self._require_admission(passed)
            view = await self._choose_soon(passed)
            if view is None:
                return self._finish_failed(passed, sink, failure)
            outcome = await self._attempt(passed, view, sink, chain)
            if not isinstance(outcome, Failure):
                return outcome
            if outcome.kind is FailureKind.HELD_BACK:
                # Nothing was sent: it costs neither an attempt nor a repeat.
                passed.tried.discard(view.identity)
                continue
            failure = outcome
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
                if not self._context.may_repeat(passed.pool):
                    return self._finish_failed(passed, sink, failure)
                raise InputsLost(failure.reason)
            if not may_try_again(passed, failure, unreachable):
                return self._finish_failed(passed, sink, failure)
            counted = failure.kind is not FailureKind.UNREACHABLE
            if counted and not self._context.may_repeat(passed.pool):
                return self._finish_failed(passed, sink, failure)
            if sink.is_open and passed.inputs:
                # They were given up when the stream began; whoever continues it reads them anew.
                raise InputsLost("The stream goes on elsewhere and needs its inputs again.")

    async def _choose_soon(self, passed) -> TargetView | None:
        """Return the target of an attempt; wait a moment for one that has nearly rested."""
        patience = clock.monotonic() + passed.route.aim * REST_WAIT_PART
        while (view := await self._choose(passed, book=True)) is None:
            now = clock.monotonic()
            rest = self._context.board.soonest_rested(passed.pool, passed.tried, now, passed.places)
            wait = max(_REST_LOOK_SECONDS, rest)
            if now + wait > patience:
                return None
            await asyncio.sleep(wait)
        return view

    async def _choose(self, passed, book) -> TargetView | None:
        context = self._context
        pool = context.index.pools.get(passed.pool)
        if pool is not None and pool.engine is not None:
            return await context.placement_service.choose_engine(passed, book)
        found = [v for v in context.usable(passed.pool, passed.places) if context.cold.may_send(v)]
        mean = context.board.mean_seconds(passed.pool)
        view = choice.choose_target(
            found, passed.tried, context.data_centre, mean, context.random, clock.monotonic()
        )
        if view is not None:
            context.cold.record_sent(view)
        return view

    async def _attempt(self, passed, view, sink, chain) -> Response | Failure | None:
        passed.tried.add(view.identity)
        passed.target = view.identity
        view.running += 1
        began = clock.monotonic()
        try:
            async with Attempt(view, self._context.names, passed.request_id) as attempt:
                return await self._exchange(passed, view, attempt, sink, chain)
        except TargetHeldBack as error:
            return Failure(FailureKind.HELD_BACK, error.reason)
        except ExchangeError as error:
            self._context.board.on_exchange_error(view, error, clock.monotonic())
            self._look_into_end(passed, view, error)
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
            if passed.prompt.parts:
                self._context.placement_service.ended(passed)
            decision(
                "attempt",
                request=passed.request_id,
                target=view.identity,
                target_data_centre=view.report.data_centre,
                seconds=round(clock.monotonic() - began, 4),
            )

    def _look_into_end(self, passed, view, error):
        """Find out whether a target that was not leaving ended under a request."""
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
        fresh = float("inf") if passed.route.is_safe_to_retry else _FRESH_SECONDS
        patience = self._refusals.turn_patience(passed) if view.limit.is_limited else 0.0
        await attempt.open(fresh, patience)
        began = clock.monotonic()
        attempt.send(passed.wire(view, sink.last_id))
        passed.attempts += 1
        head = await self._head_in_time(passed, attempt)
        self._context.places.on_response(view.report.data_centre)
        if passed.route.streamed and is_success(head, self._context.names):
            return await self._pass_events(passed, attempt, sink, chain, view)
        answer = await attempt.read_whole_after(head)
        failure = self._judge(view, attempt, answer)
        if failure is not None:
            passed.may_have_run |= failure.kind is not FailureKind.NOT_RUN
            return failure
        now = clock.monotonic()
        view.on_success(now - began, now)
        passed.outcome = "complete"
        self._context.guard.served(passed.guarded)
        return _whole_response(answer)

    async def _head_in_time(self, passed, attempt):
        """Return the head; where another target may be asked, don't wait for it too long."""
        if not passed.may_go_elsewhere:
            return await attempt.read_head()
        patience = self._patience(passed)
        try:
            return await before(clock.monotonic() + patience, attempt.read_head())
        except TimeoutError:
            if passed.remaining() <= MIN_SECONDS:
                raise
            raise NoAnswer("The target takes too long.", sent=True) from None

    def _patience(self, passed) -> float:
        """Return how long a target may take before another one is asked too."""
        usual = self._refusals.usual_answer(passed)
        return max(_LEAST_PATIENCE, passed.route.aim * _PATIENCE_PART, usual * _PATIENCE_FACTOR)

    def _judge(self, view, attempt, answer) -> Failure | None:
        """Return how an answer fails, or None if it is good."""
        now = clock.monotonic()
        head = answer.head
        if attempt.has_not_run():
            if head.status == 421:
                view.is_replaced = True
            elif head.status not in (400, 409):
                view.avoid_until = max(view.avoid_until, now + pause_after_refusal(head))
            return Failure(FailureKind.NOT_RUN, f"The target answered {head.status}.", answer)
        if is_success(head, self._context.names):
            return None
        if 200 <= head.status < 300:
            view.on_failure(now, self._context.random)
            return Failure(FailureKind.DOUBT, "The answer is not the target's own.")
        if head.status >= 500:
            view.on_failure(now, self._context.random)
        return Failure(FailureKind.FAILED, f"The target answered {head.status}.", answer)

    async def _pass_events(self, passed, attempt, sink, chain, view):
        sent_at = attempt.sent_at
        sink.begin_part(attempt.head)
        async for chunk in attempt.chunks(self._longest_pause(passed)):
            for event in sink.split(chunk):
                if not sink.is_open:
                    chain.free()
                    self._context.placement_service.started(passed)
                    now = clock.monotonic()
                    view.on_success(0.0, now)
                    found = now - sent_at
                    self._context.learn_engine(passed.prompt.seconds(), found)
                await sink.write(event)
        if attempt.head.until_close and sink.partial:
            raise NoAnswer("The stream ended inside an event.", sent=True)
        passed.outcome = "complete"
        self._context.guard.served(passed.guarded)
        await sink.finish()

    def _longest_pause(self, passed) -> float | None:
        """Return after how long a pause a stream is continued elsewhere, or None if it can't be.

        What can't be continued is waited for: silence is no reason to end an answer.
        """
        if not passed.route.resumable or not passed.may_go_elsewhere:
            return None
        return max(_LEAST_PAUSE, passed.route.pause_aim * _PAUSE_FACTOR)

    def _finish_failed(self, passed, sink, failure) -> Response | None:
        if sink.is_open:
            return self._cut(passed, sink, failure.reason if failure else "no target")
        answer = failure.answer if failure else None
        own = answer is not None and answer.head.get(self._context.names.signature) is not None
        if own and answer.head.status not in PROMISES and answer.head.status >= 300:
            passed.outcome = f"target-{answer.head.status}"
            return _whole_response(answer)
        rest = self._context.backoff_left(passed.pool, passed.places)
        if rest:
            raise self._refusals.resting(passed, rest)
        reason = failure.reason if failure else "No target can take it."
        raise self._refusals.refusal(passed, "not-served", reason)

    def _cut(self, passed, sink, why):
        """End a stream so that it can't be taken for whole."""
        passed.outcome = "cut"
        decision("cut", request=passed.request_id, why=why, events=passed.events)
        sink.abort()


def _whole_response(answer: Answer) -> Response:
    return Response(answer.head.status, answer_headers(answer.head), answer.body)
