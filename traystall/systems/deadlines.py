"""Divide a request's deadline over its stages: latest start times and attempt timeouts."""

import msgspec

from traystall.systems.estimates import TimeTable
from traystall.tables.entities import Pipeline

# Quantiles of the measured stage times. Admission refuses a request only if even the optimistic
# time doesn't fit into what is left of its deadline.
OPTIMISTIC = 0.05
TYPICAL = 0.5
LIKELY = 0.75
PESSIMISTIC = 0.99
# Timeout of a repeatable attempt, as a multiple of the pessimistic time.
PATIENCE_FACTOR = 2.0
# A generation is cancelled only if it would miss its deadline even at this fraction of the
# measured time per token.
BEST_CASE_PACE_FACTOR = 0.7
MIN_TOKENS_OF_EVIDENCE = 8
_MIN_PATIENCE_SECONDS = 0.1
# A longer time without a token is a silence of the engine, unless most of its tokens take as long.
_SILENCE_SECONDS = 0.4
_UNKNOWN_PATIENCE_RATIO = 0.5


class TokenPace(msgspec.Struct):
    """Measure the time per token of an attempt that began at `last_at`, without silences."""

    last_at: float
    tokens: int = 0
    seconds: float = 0.0
    silences: int = 0
    silent_seconds: float = 0.0

    def on_token(self, now: float) -> None:
        """Count a token that arrives now."""
        gap = now - self.last_at
        self.last_at = now
        self.tokens += 1
        self.seconds += gap
        if gap >= _SILENCE_SECONDS:
            self.silences += 1
            self.silent_seconds += gap

    @property
    def seconds_per_token(self) -> float:
        """Return the mean time per token."""
        if self.silences * 2 >= self.tokens:
            return self.seconds / max(1, self.tokens)
        return (self.seconds - self.silent_seconds) / (self.tokens - self.silences)


def minimum_time(times: TimeTable, pipeline: Pipeline, from_stage: int, now: float) -> float:
    """Return the minimum time in seconds of the stages from `from_stage` on; 0 if unknown."""
    total = 0.0
    for stage in pipeline.stages[from_stage:]:
        total += times.of(pipeline.name, stage.name, now).quantile(OPTIMISTIC) or 0.0
    return total


def typical_time(times: TimeTable, pipeline: Pipeline, from_stage: int, now: float) -> float:
    """Return the median time in seconds of the stages from `from_stage` on; 0 if unknown."""
    total = 0.0
    for stage in pipeline.stages[from_stage:]:
        total += times.of(pipeline.name, stage.name, now).quantile(TYPICAL) or 0.0
    return total


def likely_time(times: TimeTable, pipeline: Pipeline, from_stage: int, now: float) -> float:
    """Return the time in seconds within which most calls complete the stages; 0 if unknown."""
    seconds = times.of(pipeline.name, pipeline.stages[from_stage].name, now).quantile(LIKELY) or 0.0
    return seconds + typical_time(times, pipeline, from_stage + 1, now)


def latest_start(
    times: TimeTable, pipeline: Pipeline, stage_index: int, deadline: float, now: float
) -> float:
    """Return the time after which a start of the stage is likely to miss the deadline.

    Under overload the queue dispatches work at the last moment that this time
    allows. With an optimistic estimate, most of that work would time out.
    """
    return deadline - likely_time(times, pipeline, stage_index, now)


def patience(
    times: TimeTable, pipeline: Pipeline, stage_index: int, deadline: float, now: float
) -> float:
    """Return the timeout in seconds after which a repeatable attempt moves to another target."""
    remaining = max(0.0, deadline - now)
    stage = pipeline.stages[stage_index]
    known = times.of(pipeline.name, stage.name, now).quantile(PESSIMISTIC)
    if known is None:
        return remaining * _UNKNOWN_PATIENCE_RATIO
    return min(remaining, max(_MIN_PATIENCE_SECONDS, known * PATIENCE_FACTOR))


def will_miss_deadline(elapsed: float, done: int, left: int, remaining: float) -> bool:
    """Return whether `left` more tokens will take longer than `remaining` seconds.

    The estimate uses the pace so far, which includes the time to the first
    token and is therefore too slow early on. It needs a minimum of tokens, and
    at least a fifth of all.
    """
    if done < MIN_TOKENS_OF_EVIDENCE or done < left / 4:
        return False
    return left * (elapsed / done) * BEST_CASE_PACE_FACTOR > remaining
