"""Split one deadline over stages: latest start, patience with an attempt."""

from traystall.systems.estimates import TimeTable
from traystall.tables.entities import Pipeline

# A stage is hopeless when less is left than nearly every call needs at least.
OPTIMISTIC = 0.05
TYPICAL = 0.5
LIKELY = 0.75
PESSIMISTIC = 0.99
# Patience with a repeatable attempt, as a multiple of the pessimistic time.
PATIENCE_FACTOR = 2.0
# A generation is given up only if it would be late even at a somewhat better pace.
HOPELESS_MARGIN = 0.7
MIN_TOKENS_OF_EVIDENCE = 8
_MIN_PATIENCE = 0.1
_UNKNOWN_PATIENCE_SHARE = 0.5


def minimum_time(times: TimeTable, pipeline: Pipeline, from_stage: int, now: float) -> float:
    """Return the least seconds that the stages from `from_stage` on can need; 0 if unknown."""
    total = 0.0
    for stage in pipeline.stages[from_stage:]:
        total += times.of(pipeline.name, stage.name, now).quantile(OPTIMISTIC) or 0.0
    return total


def typical_time(times: TimeTable, pipeline: Pipeline, from_stage: int, now: float) -> float:
    """Return the seconds that the stages from `from_stage` on usually need; 0 if unknown."""
    total = 0.0
    for stage in pipeline.stages[from_stage:]:
        total += times.of(pipeline.name, stage.name, now).quantile(TYPICAL) or 0.0
    return total


def likely_time(times: TimeTable, pipeline: Pipeline, from_stage: int, now: float) -> float:
    """Return the seconds in which most calls get through the stages; 0 if unknown."""
    seconds = times.of(pipeline.name, pipeline.stages[from_stage].name, now).quantile(LIKELY) or 0.0
    return seconds + typical_time(times, pipeline, from_stage + 1, now)


def latest_start(
    times: TimeTable, pipeline: Pipeline, stage_index: int, deadline: float, now: float
) -> float:
    """Return the time after which starting the stage will most likely miss the deadline.

    Under overload the queue hands out work at the last moment that this allows,
    so an optimistic time here would start mostly work that fails.
    """
    return deadline - likely_time(times, pipeline, stage_index, now)


def patience(
    times: TimeTable, pipeline: Pipeline, stage_index: int, deadline: float, now: float
) -> float:
    """Return how many seconds to wait for a repeatable attempt before trying another target."""
    remaining = max(0.0, deadline - now)
    stage = pipeline.stages[stage_index]
    known = times.of(pipeline.name, stage.name, now).quantile(PESSIMISTIC)
    if known is None:
        return remaining * _UNKNOWN_PATIENCE_SHARE
    return min(remaining, max(_MIN_PATIENCE, known * PATIENCE_FACTOR))


def will_miss_deadline(elapsed: float, done: int, left: int, remaining: float) -> bool:
    """Return whether `left` more tokens can't come in `remaining` seconds at the pace so far.

    The pace counts the wait before the first token, so early on it says too
    much: only a good part of the tokens is evidence.
    """
    if done < MIN_TOKENS_OF_EVIDENCE or done < left / 4:
        return False
    return left * (elapsed / done) * HOPELESS_MARGIN > remaining
