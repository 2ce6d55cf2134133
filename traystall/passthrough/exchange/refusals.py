"""Admission checks before a request runs, and the refusals that a gateway answers with.

A request that no target can serve in time is refused immediately. A refusal carries a Retry-After
value. Status 503 is used only for requests that have not run and will not run.
"""

from traystall.core import clock
from traystall.passthrough.admission.forecast import stage_times
from traystall.passthrough.context import PassContext
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.exceptions import Refusal

# Default range of Retry-After. The value is drawn at random to spread the retries.
_RETRY_AFTER_RANGE_SECONDS = (0.2, 0.6)
# How long a request may wait for the end of the backoff period of a whole pool, as a ratio of the
# route's latency aim.
MAX_BACKOFF_WAIT_RATIO = 0.2
# How long a request may wait for a permit if all targets of its pool are rate-limited: at least
# this ratio of the latency aim, and at most this ratio of the time left until its deadline.
_MIN_TURN_WAIT_RATIO = 0.2
_MAX_TURN_WAIT_RATIO = 0.4
# Refusal codes for a pool whose targets are all in a backoff period, and for a pool whose targets
# are all rate-limited with the limit used up.
RESTING = "resting"
LIMITED = "limited"
# Refusal code for a request without enough time left.
TOO_LATE = "too-late"
# Refusal code for a pool whose brittle targets have no free place.
BUSY = "busy"
# Retry-After for requests whose data centres are evacuated. An operator does not restore a data
# centre sooner than this.
EVACUATED_RETRY_AFTER_SECONDS = 2.0


class Refusals:
    """Check requests for admission and build refusals at one gateway."""

    def __init__(self, context: PassContext):
        self._context = context

    def require_servable(self, passed: PassRequest) -> None:
        """Raise Refusal if no target could serve the request in time; called before it runs."""
        self._refuse_without_data_centre(passed)
        self._refuse_during_backoff(passed)
        self._refuse_beyond_limit(passed)

    def require_time_for_stream(self, passed: PassRequest) -> None:
        """Raise Refusal for a stream that its deadline would most likely cut off."""
        if not self.has_time_for_stream(passed):
            raise self.refusal(
                passed, TOO_LATE, "A stream usually takes longer than the time left."
            )

    def has_time_for_stream(self, passed: PassRequest) -> bool:
        """Return whether a stream that begins now would most likely end before its deadline."""
        usual = self._context.response_seconds(passed.route.name)
        return passed.remaining() >= passed.seconds_for_response(usual)

    def max_turn_wait(self, passed: PassRequest) -> float:
        """Return how long a request may wait for a permit of a rate-limited target, in seconds.

        The value is 0 if the pool has a target without a rate limit. Otherwise it is the time that
        the latency aim leaves after the usual response time, within the ratios above.
        """
        if self._context.board.total_rate_limit(passed.pool, passed.places) is None:
            return 0.0
        aim = passed.route.aim
        slack = aim - (clock.monotonic() - passed.started) - self.usual_response_seconds(passed)
        return min(
            max(slack, aim * _MIN_TURN_WAIT_RATIO), passed.remaining() * _MAX_TURN_WAIT_RATIO
        )

    def usual_response_seconds(self, passed: PassRequest) -> float:
        """Return the usual time until a response, or until the first event of a stream."""
        if passed.route.streamed:
            return self._context.engine_seconds(passed.prompt.seconds())
        return self._context.board.mean_seconds(passed.pool)

    def backoff_refusal(self, passed: PassRequest, seconds: float) -> Refusal:
        """Return the refusal for a pool that is unavailable for the next `seconds`.

        The cause is a backoff period, a used-up rate limit or brittle targets without a place.
        """
        if self._context.board.is_brittle(passed.pool, passed.places):
            detail = f"No brittle target of '{passed.pool}' has a place for it."
            retry_after = self._context.random.uniform(*_RETRY_AFTER_RANGE_SECONDS)
            retry_after = max(retry_after, self._context.spread_retry_after(seconds))
            return self.refusal(passed, BUSY, detail, retry_after)
        turn = self._context.permit_interval(passed.pool, passed.places)
        if not turn:
            detail = f"All targets of '{passed.pool}' have asked for rest."
            return self.refusal(passed, RESTING, detail, self._context.spread_retry_after(seconds))
        detail = f"What all targets of '{passed.pool}' take is used up."
        seconds = self._context.spread_retry_after(max(seconds, turn))
        return self.refusal(passed, LIMITED, detail, seconds)

    def refusal(
        self, passed: PassRequest, code: str, detail: str, retry_after: float | None = None
    ) -> Refusal:
        """Return a refusal with status 503 if the request has not run, otherwise 502 or 504."""
        if passed.may_have_run:
            status = 504 if code == TOO_LATE else 502
            passed.outcome = f"failed-{code}"
            return Refusal(status, code, detail)
        passed.outcome = f"refused-{code}"
        if retry_after is None:
            retry_after = self._context.random.uniform(*_RETRY_AFTER_RANGE_SECONDS)
        return Refusal(503, code, detail, retry_after)

    def _refuse_without_data_centre(self, passed):
        """Refuse a request if no permitted data centre has targets for it or for its stages.

        Waiting would not help: only an operator's change makes such a request servable.
        """
        stages = zip(passed.route.stages, passed.piece_counts, strict=True)
        for pool in {passed.pool, *(stage.pool for stage, count in stages if count)}:
            if self._context.has_no_eligible_targets(pool, passed.places):
                code = "evacuated" if self._context.board.evacuated else "no-place"
                detail = f"No data centre that the request may use has targets of '{pool}'."
                raise self.refusal(passed, code, detail, EVACUATED_RETRY_AFTER_SECONDS)

    def _refuse_during_backoff(self, passed):
        """Refuse a request that would reach its pool while all targets there are in backoff.

        It can't be served in time, so running its stages or letting it wait would be wasted.
        """
        seconds = self._context.backoff_left(passed.pool, passed.places)
        if seconds > self._usual_stages_seconds(passed) + passed.route.aim * MAX_BACKOFF_WAIT_RATIO:
            raise self.backoff_refusal(passed, seconds)

    def _refuse_beyond_limit(self, passed):
        """Refuse a request whose pool has more requests ahead than its rate limit admits in time.

        This applies if all targets of the pool are rate-limited. Requests whose stages are running
        are ahead of this one.
        """
        wait = self._context.rate_limit_wait(passed.pool, passed.places)
        if wait and wait > self._usual_stages_seconds(passed) + self.max_turn_wait(passed):
            raise self.backoff_refusal(passed, wait - self.max_turn_wait(passed))

    def _usual_stages_seconds(self, passed) -> float:
        """Return how long the stages of a request usually take with empty queues, in seconds."""
        usual = self._context.usual_stage_seconds
        stages = passed.route.stages
        times = stage_times(stages, passed.piece_counts, usual, lambda pool, at: 0.0, 0.0)
        return max((ends for _, ends in times), default=0.0)
