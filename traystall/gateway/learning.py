"""Learn from each attempt: times, speeds, breakers, windows, and what was wasted."""

from traystall.core import clock, metrics
from traystall.core.exceptions import TargetDoubt, TargetError, TargetFailed, TargetNotRun
from traystall.gateway.adapters.base import Reply
from traystall.gateway.context import GatewayContext
from traystall.gateway.news import note_presence
from traystall.gateway.problems import Refusal
from traystall.gateway.stage_run import StageRun
from traystall.systems import breakers, deadlines, membership, speeds, windows
from traystall.systems.retries import FailureKind
from traystall.tables.targets import TargetRow


class Learner:
    """Fold what attempts showed into the gateway's tables."""

    def __init__(self, context: GatewayContext):
        self._context = context

    def on_success(self, run: StageRun, target: TargetRow, reply: Reply, seconds: float) -> None:
        """Take in a whole result."""
        now = clock.monotonic()
        times = self._times(run, now)
        limited = self._context.dispatcher.waiting(run.stage.pool) > 0
        windows.on_duration(target, seconds, times.quantile(deadlines.OPTIMISTIC), limited)
        speeds.on_duration(target, seconds, times.quantile(deadlines.TYPICAL), now)
        times.record(seconds, now)
        breakers.on_success(target.breaker)
        self._context.retry_budget.on_success()
        record = run.record
        record.target = target.target.name
        record.data_centre = target.target.data_centre
        record.seconds = seconds
        record.tokens = reply.tokens
        self._count_busy(run, seconds)
        metrics.attempts_total.inc({"stage": run.stage.name, "outcome": "result"})
        if reply.tokens:
            labels = {"customer": run.row.customer, "pipeline": run.row.pipeline.name}
            metrics.tokens_total.add(labels, reply.tokens)

    def on_waste(
        self, run: StageRun, target: TargetRow, error: BaseException, seconds: float
    ) -> None:
        """Count the time of an attempt without a result, unless its tokens are kept."""
        if isinstance(error, Refusal):
            windows.on_queue(target)
        if isinstance(error, TargetNotRun):
            return
        if run.tokens and isinstance(error, TargetDoubt):
            return
        run.record.wasted_seconds += seconds
        self._count_busy(run, seconds)
        metrics.wasted_seconds_total.add(self._labels(run), seconds)

    def on_failure(
        self, run: StageRun, target: TargetRow, error: TargetError, now: float
    ) -> FailureKind:
        """Take in a failed attempt and return what it proves."""
        windows.on_failure(target)
        if isinstance(error, TargetNotRun):
            self._on_not_run(run, target, error, now)
            return FailureKind.NOT_RUN
        if isinstance(error, TargetFailed):
            self._break(target, now)
            return FailureKind.FAILED
        typical = self._times(run, now).quantile(deadlines.TYPICAL)
        elapsed = now - run.attempt_started
        speeds.on_overdue(target, elapsed, typical, now)
        # A deadline that came early says nothing of the target: slowness is not failure.
        if not (error.timed_out and speeds.is_within_usual_time(elapsed, typical)):
            self._break(target, now)
        return FailureKind.DOUBT

    def will_miss_deadline(
        self, run: StageRun, target: TargetRow, started_at: float, index: int
    ) -> bool:
        """Learn from the pace of tokens; return whether the rest can't come in time."""
        now = clock.monotonic()
        elapsed = now - started_at
        done = index + 1 - run.resumed_from
        left = run.wanted_tokens - index - 1
        projected = elapsed / done * (done + left)
        times = self._times(run, now)
        if done == deadlines.MIN_TOKENS_OF_EVIDENCE:
            speeds.on_overdue(target, projected, times.quantile(deadlines.TYPICAL), now)
        if not deadlines.will_miss_deadline(elapsed, done, left, run.run_until - now):
            return False
        # What is given up counts as well: else only the fast ones would be remembered.
        times.record(projected, now)
        return True

    def _on_not_run(self, run, target, error, now):
        if error.sent:
            run.row.attempts_not_run += 1
        if error.leaving:
            report = membership.PresenceReport(target.target.name, True, first_hand=True)
            note_presence(target, report)
        elif not error.sent:
            self._break(target, now)

    def _break(self, target, now):
        breakers.on_failure(target.breaker, now, self._context.random)

    def _times(self, run, now):
        return self._context.times.of(run.row.pipeline.name, run.stage.name, now)

    def _count_busy(self, run, seconds):
        metrics.busy_seconds_total.add(self._labels(run), seconds)

    def _labels(self, run):
        row = run.row
        return {"customer": row.customer, "pipeline": row.pipeline.name, "stage": run.stage.name}
