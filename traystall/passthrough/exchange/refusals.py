"""Tell what a request is refused with, and refuse at once what no target can serve in time.

A refusal says when to come back, and 503 only of what has not run and never will.
"""

from traystall.core import clock
from traystall.passthrough.admission.forecast import stage_times
from traystall.passthrough.context import PassContext
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.exceptions import Refusal

# When to come back, in seconds, where nothing better is known: spread between these.
_RETRY_AFTER = (0.2, 0.6)
# The part of the aim that a request may wait until a pool that rests as a whole may be asked.
REST_WAIT_PART = 0.2
# The part of the aim that a request may wait for its turn at least, and the part of its time left
# at the most, where all targets of its pool name a limit.
_TURN_PART = 0.2
_MOST_TURN_PART = 0.4
# The codes of refusals of requests whose targets have all asked for rest, or have all named a limit
# that is used up.
RESTING = "resting"
LIMITED = "limited"
# An operator restores a data centre no sooner than this, in seconds.
PLACE_RETRY_AFTER = 2.0


class Refusals:
    """Refuse requests at one gateway."""

    def __init__(self, context: PassContext):
        self._context = context

    def require_chance(self, passed: PassRequest) -> None:
        """Raise Refusal for what no target could serve in time, before anything is done for it."""
        self._refuse_without_place(passed)
        self._refuse_at_rest(passed)
        self._refuse_beyond_limit(passed)

    def turn_patience(self, passed: PassRequest) -> float:
        """Return how long a request may wait for its turn at a limited target, in seconds.

        It is 0 where another target of its pool takes it at once, else what its aim leaves.
        """
        if self._context.board.total_rate_limit(passed.pool, passed.places) is None:
            return 0.0
        aim = passed.route.aim
        slack = aim - (clock.monotonic() - passed.started) - self.usual_answer(passed)
        return min(max(slack, aim * _TURN_PART), passed.remaining() * _MOST_TURN_PART)

    def usual_answer(self, passed: PassRequest) -> float:
        """Return about how long a target takes to answer, or to begin its stream, in seconds."""
        if passed.route.streamed:
            return self._context.engine_seconds(passed.prompt.seconds())
        return self._context.board.mean_seconds(passed.pool)

    def resting(self, passed: PassRequest, seconds: float) -> Refusal:
        """Return the refusal of a request whose pool can't be asked for so many seconds."""
        turn = self._context.turn_seconds(passed.pool, passed.places)
        if not turn:
            detail = f"All targets of '{passed.pool}' have asked for rest."
            return self.refusal(passed, RESTING, detail, self._context.after_rest(seconds))
        detail = f"What all targets of '{passed.pool}' take is used up."
        seconds = self._context.after_rest(max(seconds, turn))
        return self.refusal(passed, LIMITED, detail, seconds)

    def refusal(
        self, passed: PassRequest, code: str, detail: str, retry_after: float | None = None
    ) -> Refusal:
        """Return what may truthfully be said: 503 only for what has not run and never will."""
        if passed.may_have_run:
            status = 504 if code == "too-late" else 502
            passed.outcome = f"failed-{code}"
            return Refusal(status, code, detail)
        passed.outcome = f"refused-{code}"
        if retry_after is None:
            retry_after = self._context.random.uniform(*_RETRY_AFTER)
        return Refusal(503, code, detail, retry_after)

    def _refuse_without_place(self, passed):
        """Refuse at once what no target may take before an operator changes that."""
        stages = zip(passed.route.stages, passed.piece_counts, strict=True)
        for pool in {passed.pool, *(stage.pool for stage, count in stages if count)}:
            if self._context.lacks_place(pool, passed.places):
                code = "evacuated" if self._context.board.evacuated else "no-place"
                detail = f"No data centre that the request may use has targets of '{pool}'."
                raise self.refusal(passed, code, detail, PLACE_RETRY_AFTER)

    def _refuse_at_rest(self, passed):
        """Refuse at once what would come to its pool while that rests as a whole.

        It can't be served in time, and nobody would gain by its stages or its waiting.
        """
        rest = self._context.backoff_left(passed.pool, passed.places)
        if rest > self._stages_end(passed) + passed.route.aim * REST_WAIT_PART:
            raise self.resting(passed, rest)

    def _refuse_beyond_limit(self, passed):
        """Refuse at once what would come after more than its pool takes within its time.

        All its targets name a limit, and those whose stages are being made go first.
        """
        wait = self._context.limit_wait(passed.pool, passed.places)
        if wait and wait > self._stages_end(passed) + self.turn_patience(passed):
            raise self.resting(passed, wait - self.turn_patience(passed))

    def _stages_end(self, passed) -> float:
        """Return in how many seconds the stages of a request usually end, nothing waiting."""
        usual = self._context.usual_stage_seconds
        stages = passed.route.stages
        times = stage_times(stages, passed.piece_counts, usual, lambda pool, at: 0.0, 0.0)
        return max((ends for _, ends in times), default=0.0)
