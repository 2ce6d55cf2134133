"""Run one stage of a request: wait for a target, make attempts, learn from each."""

import msgspec

from traystall.core import clock, metrics
from traystall.core.exceptions import TargetDoubt, TargetError, TargetFailed, TargetNotRun
from traystall.core.ids import attempt_id
from traystall.core.logs import decision
from traystall.gateway import problems
from traystall.gateway.adapters import kinds
from traystall.gateway.adapters.base import (
    INCARNATION_HEADER,
    LOAD_HEADER,
    STATE_HEADER,
    Call,
    Reply,
)
from traystall.gateway.context import GatewayContext
from traystall.gateway.dispatch import NoCandidate, TooLateToStart
from traystall.gateway.problems import Refusal
from traystall.systems import admission, breakers, deadlines, membership, retries, speeds
from traystall.systems.place import is_allowed
from traystall.systems.queues import Waiter
from traystall.systems.retries import FailureKind
from traystall.tables.entities import Kind
from traystall.tables.requests import RequestRow, StageRecord
from traystall.tables.targets import TargetRow


class StageRun(msgspec.Struct):
    """Hold what one stage's attempts share."""

    row: RequestRow
    index: int
    body: dict
    results: dict
    record: StageRecord
    on_token: object
    run_until: float
    tokens: list[str] = msgspec.field(default_factory=list)
    excluded: set[str] = msgspec.field(default_factory=set)

    @property
    def stage(self):
        """Return the declared stage."""
        return self.row.pipeline.stages[self.index]

    @property
    def repeatable(self) -> bool:
        """Return whether a doubtful attempt may be made again."""
        return self.row.is_repeatable(self.stage)


class StageRunner:
    """Run stages against the gateway's targets."""

    def __init__(self, context: GatewayContext):
        self._context = context

    async def run(self, run: StageRun) -> Reply:
        """Return the stage's whole result, or raise Refusal."""
        attempts = 0
        while True:
            target = await self._acquire(run)
            attempts += 1
            try:
                return await self._attempt(run, target)
            except TargetError as error:
                self._after_failure(run, target, error, attempts)

    # ---- before an attempt ----

    async def _acquire(self, run) -> TargetRow:
        customer = self.require_place(run.row)
        row, stage = run.row, run.stage
        now = clock.monotonic()
        waiter = Waiter(
            request_id=row.request_id,
            customer=customer,
            stage=stage,
            priority=row.priority,
            deadline=row.deadline,
            latest_start=deadlines.latest_start(
                self._context.times, row.pipeline, run.index, run.run_until, now
            ),
            excluded=self._usable_exclusions(run, customer),
            since=now,
        )
        try:
            return await self._context.dispatcher.acquire(waiter)
        except NoCandidate as error:
            raise Refusal(problems.NO_TARGET, f"Stage {stage.name}: {error}", 2) from error
        except TooLateToStart as error:
            waiting = self._retry_after(row, stage)
            raise Refusal(problems.TOO_LATE, f"Stage {stage.name}: {error}", waiting) from error
        finally:
            run.record.queued_seconds += clock.monotonic() - now

    def _usable_exclusions(self, run, customer):
        """Leave out targets that failed this stage, unless nothing else is left."""
        rows = self._context.targets.pool(run.stage.pool)
        allowed = {row.target.name for row in rows if is_allowed(customer, row.target.data_centre)}
        if allowed <= run.excluded:
            run.excluded.clear()
        return frozenset(run.excluded)

    def require_place(self, row):
        """Return the customer as the newest revision declares it; refuse if it left this place."""
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

    async def _attempt(self, run, target: TargetRow) -> Reply:
        row = run.row
        row.attempts_made += 1
        run.record.attempts += 1
        started = clock.monotonic()
        try:
            reply = await kinds.run(self._context.http, self._call(run, target, started))
            self._succeed(run, target, reply, clock.monotonic() - started)
            return reply
        except BaseException as error:
            self._count_waste(run, error, clock.monotonic() - started)
            raise
        finally:
            breakers.on_abandoned(target.breaker)
            self._context.dispatcher.release(target, row.priority)

    def _call(self, run, target, now) -> Call:
        row = run.row
        context = self._context
        after = deadlines.least_time(context.times, row.pipeline, run.index + 1, now)
        budget = run.run_until - after - now
        if run.repeatable and run.stage.kind is not Kind.ENGINE:
            budget = min(
                budget,
                deadlines.patience(context.times, row.pipeline, run.index, row.deadline, now),
            )
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
            on_sending=lambda: self._on_sending(row),
            on_headers=lambda headers: self._on_headers(target, headers),
            on_token=run.on_token,
            tokens=run.tokens,
        )

    def _on_sending(self, row):
        row.attempts_sent += 1

    def _on_headers(self, target, headers):
        leaving = headers.get(STATE_HEADER) == "leaving"
        incarnation = headers.get(INCARNATION_HEADER, "")
        if leaving or incarnation:
            report = membership.PresenceReport(
                target.target.name, leaving, incarnation, first_hand=True
            )
            note_presence(target, report)
        load = headers.get(LOAD_HEADER)
        if load and load.isdigit():
            target.load.running = int(load)
            target.load.at = clock.monotonic()

    def _succeed(self, run, target, reply, seconds):
        now = clock.monotonic()
        row = run.row
        times = self._context.times.of(row.pipeline.name, run.stage.name, now)
        speeds.on_time(target, seconds, times.quantile(deadlines.TYPICAL), now)
        times.record(seconds, now)
        breakers.on_success(target.breaker)
        self._context.retry_budget.on_success()
        record = run.record
        record.target = target.target.name
        record.data_centre = target.target.data_centre
        record.seconds = seconds
        record.tokens = reply.tokens
        labels = {"customer": row.customer, "pipeline": row.pipeline.name, "stage": run.stage.name}
        metrics.busy_seconds_total.add(labels, seconds)
        metrics.attempts_total.inc({"stage": run.stage.name, "outcome": "result"})
        if reply.tokens:
            metrics.tokens_total.add(
                {"customer": row.customer, "pipeline": row.pipeline.name}, reply.tokens
            )

    def _count_waste(self, run, error, seconds):
        if isinstance(error, TargetNotRun):
            return
        # What an engine streamed is kept and resumed from, so it is not wasted.
        if run.tokens and isinstance(error, TargetDoubt):
            return
        run.record.wasted_seconds += seconds
        row = run.row
        labels = {"customer": row.customer, "pipeline": row.pipeline.name, "stage": run.stage.name}
        metrics.busy_seconds_total.add(labels, seconds)
        metrics.wasted_seconds_total.add(labels, seconds)

    # ---- after a failure ----

    def _after_failure(self, run, target, error, attempts):
        """Learn from a failed attempt; return to try again, or raise Refusal."""
        now = clock.monotonic()
        kind = self._learn(run, target, error, now)
        run.excluded.add(target.target.name)
        metrics.attempts_total.inc({"stage": run.stage.name, "outcome": kind.value})
        remaining = run.run_until - now
        again = retries.may_retry(
            kind, run.repeatable, attempts, self._context.retry_budget, remaining
        )
        decision(
            "attempt-failed",
            request=run.row.request_id,
            stage=run.stage.name,
            target=target.target.name,
            kind=kind.value,
            why=str(error),
            retry=again,
        )
        if again:
            return
        problem = problems.TOO_LATE if remaining <= 0 else problems.STAGE_FAILED
        raise Refusal(problem, f"Stage {run.stage.name}: {error}", 1) from error

    def _learn(self, run, target, error, now) -> FailureKind:
        if isinstance(error, TargetNotRun):
            return self._learn_not_run(run, target, error, now)
        times = self._context.times.of(run.row.pipeline.name, run.stage.name, now)
        if isinstance(error, TargetFailed):
            breakers.on_failure(target.breaker, now, self._context.random)
            return FailureKind.FAILED
        if error.args and "in time" in str(error):
            typical = times.quantile(deadlines.TYPICAL)
            elapsed = (typical or 0.0) * deadlines.PATIENCE_FACTOR * 2
            speeds.on_overdue(target, elapsed, typical, now)
        breakers.on_failure(target.breaker, now, self._context.random)
        return FailureKind.DOUBT

    def _learn_not_run(self, run, target, error, now):
        if error.sent:
            run.row.attempts_not_run += 1
        if error.leaving:
            report = membership.PresenceReport(target.target.name, True, first_hand=True)
            note_presence(target, report)
        elif error.retry_after is not None:
            target.not_before = now + error.retry_after
        elif not error.sent:
            breakers.on_failure(target.breaker, now, self._context.random)
        return FailureKind.NOT_RUN


def note_presence(target: TargetRow, report: membership.PresenceReport) -> None:
    """Take in a report of a target's presence and log it if it changed anything."""
    if membership.on_report(target, report):
        decision(
            "presence",
            target=report.target,
            leaving=report.leaving,
            incarnation=report.incarnation,
            first_hand=report.first_hand,
        )
