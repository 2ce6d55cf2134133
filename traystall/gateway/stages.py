"""Run one stage of a request: wait for a slot at a target, make attempts, record their results."""

import asyncio
import math

from traystall.core import clock, metrics
from traystall.core.exceptions import TargetDoubt, TargetError, TargetHeldBack, TargetNotRun
from traystall.core.ids import attempt_id
from traystall.core.logs import decision
from traystall.core.peer_timeout import read_arrived_bytes
from traystall.gateway import problems
from traystall.gateway.adapters import kinds
from traystall.gateway.adapters.base import (
    INCARNATION_HEADER,
    STATE_HEADER,
    Call,
    Reply,
)
from traystall.gateway.context import GatewayContext
from traystall.gateway.dispatch import NoCandidate, TooLateToStart
from traystall.gateway.learning import Learner
from traystall.gateway.problems import Refusal
from traystall.gateway.stage_run import StageRun
from traystall.gateway.successors import Successors
from traystall.gateway.target_notices import apply_backoff, apply_presence, apply_rate_limit
from traystall.permits.exceptions import PermitDenied
from traystall.quarantine.ends import TargetIncarnation
from traystall.systems import admission, breakers, deadlines, membership, retries, routing
from traystall.systems.queues import Waiter
from traystall.systems.residency import is_allowed
from traystall.tables.entities import Kind
from traystall.tables.targets import TargetRow, TargetState

# A quarantined request is admitted as a trial, one at a time: how long a request waits for another
# trial to end, and the Retry-After of a trial that gave no result.
_TRIAL_WAIT_SECONDS = 0.5
_TRIAL_RETRY_AFTER_SECONDS = 1
# The fraction of its remaining time that a request may wait for a permit of a limited target.
_PERMIT_WAIT_RATIO = 0.3
# HTTP statuses from here on count as failures.
_FAILURE_STATUS = 500


class StageRunner:
    """Run stages against the gateway's targets."""

    def __init__(self, context: GatewayContext):
        self._context = context
        self._learner = Learner(context)
        self._successors = Successors(context)

    async def run(self, run: StageRun) -> Reply:
        """Return the complete result of the stage, or raise Refusal."""
        try:
            return await self._run_attempts(run)
        finally:
            if run.successor is not None:
                self._successors.give_back(run, run.successor)

    async def _run_attempts(self, run):
        attempts = 0
        while True:
            await self._require_admission(run, attempts)
            target = self._take_successor(run) or await self._acquire(run)
            attempts += 1
            try:
                return await self._attempt(run, target, attempts)
            except TargetHeldBack:
                # Nothing was sent, so neither an attempt nor a retry is counted.
                attempts -= 1
            except TargetError as error:
                self._after_failure(run, target, error, attempts)

    # ---- before an attempt ----

    async def _require_admission(self, run, attempts):
        """Refuse quarantined requests, which have ended the targets that ran them.

        A request that is admitted as a trial gets a single attempt at each stage.
        """
        if run.guarded.trial:
            if attempts:
                raise Refusal(
                    problems.QUARANTINED, "Its trial got no answer.", _TRIAL_RETRY_AFTER_SECONDS
                )
            return
        admission = await self._context.guard.admit(run.guarded, _TRIAL_WAIT_SECONDS)
        if not admission.may_send:
            seconds = max(1, math.ceil(admission.retry_after))
            raise Refusal(problems.QUARANTINED, admission.why, seconds)

    def _take_successor(self, run) -> TargetRow | None:
        """Return the target that was reserved before the last attempt was left, if any."""
        if run.successor is None:
            return None
        customer = self.require_residency(run.row)
        successor = run.successor
        if not is_allowed(customer, successor.target.target.data_centre):
            raise Refusal(problems.PLACE_CHANGED, "The places were changed while it ran.")
        run.successor = None
        run.is_recovery_attempt = successor.is_recovery_attempt
        return successor.target

    def _waiter(self, run, now) -> Waiter:
        customer = self.require_residency(run.row)
        row, stage = run.row, run.stage
        times = self._context.times
        later_seconds = self._later_stages_seconds(row, run.index, now)
        return Waiter(
            request_id=row.request_id,
            customer=customer,
            stage=stage,
            priority=row.priority,
            deadline=row.deadline,
            latest_start=deadlines.latest_start(
                times,
                row.pipeline,
                run.index,
                run.run_until - self._later_queue_seconds(row, run.index),
                now,
            ),
            excluded=self._usable_exclusions(run, customer),
            since=now,
            typical=times.of(row.pipeline.name, stage.name, now).quantile(deadlines.TYPICAL) or 0.0,
            must_end_by=run.run_until - later_seconds,
            next_pool=run.next_pool,
        )

    async def _acquire(self, run) -> TargetRow:
        now = clock.monotonic()
        row, stage = run.row, run.stage
        waiter = self._waiter(run, now)
        try:
            target = await self._context.dispatcher.acquire(waiter)
            run.is_recovery_attempt = waiter.is_recovery_attempt
            return target
        except NoCandidate as error:
            raise Refusal(problems.NO_TARGET, f"Stage {stage.name}: {error}", 2) from error
        except TooLateToStart as error:
            seconds = max(self._retry_after(row, stage), math.ceil(error.blocked_seconds))
            raise Refusal(problems.TOO_LATE, f"Stage {stage.name}: {error}", seconds) from error
        finally:
            run.record.queued_seconds += clock.monotonic() - now

    def _later_stages_seconds(self, row, index, now):
        """Return the typical duration of the stages after `index`, in seconds."""
        return deadlines.typical_time(self._context.times, row.pipeline, index + 1, now)

    def _later_queue_seconds(self, row, index):
        """Return the recent queueing time of the stages after `index`, in seconds."""
        waits = self._context.dispatcher.waits
        return sum(waits.of(stage.pool) for stage in row.pipeline.stages[index + 1 :])

    def _usable_exclusions(self, run, customer):
        """Return the targets that failed this stage, or none if no other target is allowed."""
        rows = self._context.targets.pool(run.stage.pool)
        allowed = {row.target.name for row in rows if is_allowed(customer, row.target.data_centre)}
        if allowed <= run.excluded:
            run.excluded.clear()
        return frozenset(run.excluded)

    def require_residency(self, row):
        """Return the customer of the newest revision; refuse if it excludes this data centre."""
        customer = self._context.tables.customer(row.customer)
        if customer is None or not is_allowed(customer, self._context.data_centre):
            raise Refusal(problems.PLACE_CHANGED, "The places were changed while it waited.")
        return customer

    def _retry_after(self, row, stage):
        rows = self._context.targets.pool(stage.pool)
        slots = sum(max(1, target.share) for target in rows)
        waiting = self._context.dispatcher.waiting(stage.pool)
        seconds = admission.queue_seconds(
            waiting, slots, self._context.times, row.pipeline, clock.monotonic()
        )
        return admission.retry_after_seconds(seconds)

    # ---- the attempt ----

    async def _attempt(self, run, target: TargetRow, number: int) -> Reply:
        row = run.row
        row.attempts_made += 1
        run.resumed_from = len(run.tokens)
        run.record.attempts += 1
        run.was_silent = False
        started = run.attempt_started = clock.monotonic()
        sent_before = row.attempts_sent
        try:
            await self._wait_for_permit(run, target)
            started = run.attempt_started = clock.monotonic()
            run.pace = deadlines.TokenPace(started)
            reply = await self._run_call(run, target, number)
            self._learner.on_success(run, target, reply, clock.monotonic() - started)
            return reply
        except BaseException as error:
            self._learner.on_waste(run, target, error, clock.monotonic() - started)
            raise
        finally:
            if run.permit is not None and row.attempts_sent == sent_before:
                self._context.permits.give_back(run.permit)
            run.permit = None
            breakers.on_abandoned(target.breaker)
            self._context.dispatcher.release(target, row.priority, run.is_recovery_attempt)

    async def _run_call(self, run, target, number) -> Reply:
        """Return the reply of a call; leave one that takes too long once another target is sure."""
        call = self._call(run, target, run.attempt_started)
        if not run.repeatable or run.stage.kind is Kind.ENGINE:
            return await kinds.run(self._context.http, call)
        work = asyncio.create_task(kinds.run(self._context.http, call))
        try:
            await asyncio.wait({work}, timeout=self._patience(run))
            if not work.done():
                await read_arrived_bytes()
            if not work.done() and number < retries.MAX_ATTEMPTS and not run.guarded.trial:
                await self._find_successor(run, target, work)
            if run.successor is None:
                return await work
        finally:
            work.cancel()
            await asyncio.wait({work})
        if work.cancelled():
            raise TargetDoubt("no answer in time", timed_out=True)
        if work.exception() is None:
            # The answer came in the moment in which the call was left.
            self._successors.give_back(run, run.successor)
            run.successor = None
        return work.result()

    def _patience(self, run):
        row = run.row
        times = self._context.times
        return deadlines.patience(times, row.pipeline, run.index, row.deadline, clock.monotonic())

    async def _find_successor(self, run, target, work):
        """Set the run's successor, or return once the work has ended."""
        now = clock.monotonic()
        run.excluded.add(target.target.name)
        waiter = self._waiter(run, now)
        rows = self._context.targets.pool(run.stage.pool)
        rows = routing.candidates(rows, waiter.customer, run.stage, waiter.excluded, now)
        search = asyncio.create_task(self._successors.find(run, target, rows, waiter))
        try:
            await asyncio.wait({work, search}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            search.cancel()
            await asyncio.wait({search})
            if not search.cancelled():
                run.successor = search.result()

    async def _wait_for_permit(self, run, target):
        """Get a permit for a target with a rate limit for all gateways; wait until it is valid.

        Raise TargetHeldBack if other gateways have the permits. The request waits for a permit
        only if all targets of the pool are limited, else another target can serve it at once.
        """
        if not target.limit.is_limited:
            return
        rows = self._context.targets.pool(run.stage.pool)
        waits = all(row.limit.is_limited for row in rows)
        left = run.run_until - clock.monotonic()
        patience = max(0.0, left * _PERMIT_WAIT_RATIO) if waits else 0.0
        try:
            run.permit = await self._context.permits.take(
                target.life, target.target.data_centre, patience
            )
        except PermitDenied as error:
            self._hold_back(target, "limit", str(error))
        await asyncio.sleep(max(0.0, run.permit.valid_from - clock.monotonic()))

    def _hold_back(self, target, where, why):
        metrics.held_back_total.inc({"pool": target.target.pool, "where": where})
        raise TargetHeldBack(why)

    def _call(self, run, target, now) -> Call:
        row = run.row
        context = self._context
        after = deadlines.minimum_time(context.times, row.pipeline, run.index + 1, now)
        budget = run.run_until - after - now
        return Call(
            target=target.target,
            stage=run.stage,
            attempt_id=attempt_id(row.request_id, run.stage.name, row.attempts_made),
            body=run.body,
            results=run.results,
            priority=row.priority,
            budget=budget,
            repeatable=run.repeatable,
            key=row.key if not run.repeatable else "",
            on_sending=lambda: self._on_sending(run, target),
            on_head=lambda status, headers: self._on_head(run, target, status, headers),
            on_token=lambda index, text: self._on_token(run, target, index, text),
            tokens=run.tokens,
        )

    def _on_sending(self, run, target):
        """Count the attempt as sent, just before its first byte may leave.

        Raise instead if the deadline has passed, for example while the process was suspended, or
        if the target has asked for a backoff or a lower rate since it was chosen.
        """
        if target.availability.is_backing_off(clock.monotonic()):
            self._hold_back(target, "sending", "the target asked for a backoff")
        if not self._context.permits.covers(target.life, run.permit):
            self._hold_back(target, "limit", "no permit within the rate limit for all gateways")
        if clock.monotonic() >= run.run_until:
            raise TargetNotRun("its time ended before it was sent")
        run.row.attempts_sent += 1

    def _on_token(self, run, target, index, text):
        """Forward a token; give up if the remaining ones can't arrive within the deadline."""
        target.heard_at = clock.monotonic()
        run.on_token(index, text)
        if self._learner.will_miss_deadline(run, target, index):
            raise Refusal(problems.TOO_LATE, f"Stage {run.stage.name} is too slow to finish.")

    def _on_head(self, run, target, status, headers):
        target.heard_at = clock.monotonic()
        leaving = headers.get(STATE_HEADER) == "leaving"
        incarnation = headers.get(INCARNATION_HEADER, "")
        if leaving or incarnation:
            report = membership.PresenceReport(
                target.target.name, leaving, incarnation, first_hand=True
            )
            apply_presence(target, report)
        request = run.row.request_id
        apply_backoff(target, status, headers, request)
        permits = self._context.permits
        apply_rate_limit(permits, target, status, headers, run.attempt_started, request)
        if status < _FAILURE_STATUS:
            target.availability.on_answer(clock.monotonic())

    # ---- after a failure ----

    def _check_target_end(self, run, target):
        """Check whether a target that was not leaving ended while it ran a request."""
        if target.state is not TargetState.LIVE:
            return
        name, incarnation = target.target.name, target.incarnation
        # For targets that don't report an incarnation, each end counts as a separate one.
        life = f"{name}@{incarnation}" if incarnation else f"{name}/{run.row.request_id}"

        def evidence():
            return "it has started again" if target.incarnation != incarnation else ""

        watched = TargetIncarnation(life, target.target.address, target.target.pool, evidence)
        self._context.guard.ends.on_connection_broken(watched, run.guarded)

    def _after_failure(self, run, target, error, attempts):
        """Record a failed attempt; return if the stage may be retried, else raise Refusal."""
        now = clock.monotonic()
        if isinstance(error, TargetDoubt) and error.broken:
            self._check_target_end(run, target)
        kind = self._learner.on_failure(run, target, error, now)
        run.excluded.add(target.target.name)
        metrics.attempts_total.inc({"stage": run.stage.name, "outcome": kind.value})
        remaining = run.run_until - now
        # A successor has its token of the budget.
        may_retry = run.successor is not None or retries.may_retry(
            kind, run.repeatable, attempts, self._context.retry_budget, remaining
        )
        decision(
            "attempt-failed",
            request=run.row.request_id,
            stage=run.stage.name,
            target=target.target.name,
            kind=kind.value,
            why=str(error),
            retry=may_retry,
        )
        if may_retry:
            return
        problem = problems.TOO_LATE if remaining <= 0 else problems.STAGE_FAILED
        raise Refusal(problem, f"Stage {run.stage.name}: {error}", 1) from error
