"""Update durations, target speeds, circuit breakers, windows and metrics from each attempt."""

from traystall.core import clock, metrics
from traystall.core.exceptions import TargetDoubt, TargetError, TargetFailed, TargetNotRun
from traystall.gateway.adapters.base import Reply
from traystall.gateway.context import GatewayContext
from traystall.gateway.problems import Refusal
from traystall.gateway.stage_run import StageRun
from traystall.gateway.target_notices import apply_presence
from traystall.systems import breakers, deadlines, membership, speeds, windows
from traystall.systems.retries import FailureKind
from traystall.tables.targets import TargetRow


class Learner:
    """Record the results of attempts in the gateway's tables."""

    def __init__(self, context: GatewayContext):
        self._context = context

    def on_success(self, run: StageRun, target: TargetRow, reply: Reply, seconds: float) -> None:
        """Record an attempt with a complete result."""
        now = clock.monotonic()
        # A silence is no sign of how long the work takes.
        if not run.was_silent:
            self._learn_duration(run, target, seconds, now)
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
        """Count the time of an attempt without a result as wasted, unless its tokens are reused."""
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
        """Record a failed attempt; return whether it ran, failed or has an unknown outcome."""
        windows.on_failure(target)
        if isinstance(error, TargetNotRun):
            self._on_not_run(run, target, error, now)
            return FailureKind.NOT_RUN
        if isinstance(error, TargetFailed):
            self._record_failure(target, now)
            return FailureKind.FAILED
        typical = self._times(run, now).quantile(deadlines.TYPICAL)
        elapsed = now - run.attempt_started
        if not run.was_silent:
            speeds.on_overdue(target, elapsed, typical, now)
        # A timeout within the usual duration is no evidence of a failure of the target.
        if not (error.timed_out and speeds.is_within_usual_time(elapsed, typical)):
            self._record_failure(target, now)
        return FailureKind.DOUBT

    def will_miss_deadline(self, run: StageRun, target: TargetRow, index: int) -> bool:
        """Return whether the remaining tokens would miss the deadline at the measured pace."""
        now = clock.monotonic()
        run.pace.on_token(now)
        done = index + 1 - run.resumed_from
        left = run.wanted_tokens - index - 1
        elapsed = run.pace.seconds_per_token * done
        projected = run.pace.seconds_per_token * (done + left)
        times = self._times(run, now)
        if done == deadlines.MIN_TOKENS_OF_EVIDENCE:
            speeds.on_overdue(target, projected, times.quantile(deadlines.TYPICAL), now)
        if not deadlines.will_miss_deadline(elapsed, done, left, run.run_until - now):
            return False
        # Abandoned attempts are recorded too, else the table would hold only fast ones.
        times.record(projected, now)
        return True

    def _on_not_run(self, run, target, error, now):
        if error.sent:
            run.row.attempts_not_run += 1
        if error.leaving:
            report = membership.PresenceReport(target.target.name, True, first_hand=True)
            apply_presence(target, report)
        elif not error.sent:
            self._record_failure(target, now)

    def _record_failure(self, target, now):
        breakers.on_failure(target.breaker, now, self._context.random)

    def _learn_duration(self, run, target, seconds, now):
        times = self._times(run, now)
        limited = self._context.dispatcher.waiting(run.stage.pool) > 0
        windows.on_duration(target, seconds, times.quantile(deadlines.OPTIMISTIC), limited)
        speeds.on_duration(target, seconds, times.quantile(deadlines.TYPICAL), now)
        times.record(seconds, now)

    def _times(self, run, now):
        return self._context.times.of(run.row.pipeline.name, run.stage.name, now)

    def _count_busy(self, run, seconds):
        metrics.busy_seconds_total.add(self._labels(run), seconds)

    def _labels(self, run):
        row = run.row
        return {"customer": row.customer, "pipeline": row.pipeline.name, "stage": run.stage.name}
