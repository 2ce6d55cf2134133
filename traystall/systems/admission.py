"""Refuse at once what can't be finished, and say when to come back."""

import math

import msgspec

from traystall.systems.deadlines import minimum_time, typical_time
from traystall.systems.estimates import TimeTable
from traystall.tables.entities import Pipeline

MIN_RETRY_AFTER = 1
MAX_RETRY_AFTER = 60


class Admission(msgspec.Struct, frozen=True):
    """Say whether to go on; if not, why and after how many seconds to come back."""

    admitted: bool
    why: str = ""
    retry_after: int = MIN_RETRY_AFTER


def admit(times: TimeTable, pipeline: Pipeline, deadline: float, now: float) -> Admission:
    """Refuse only what even the fastest recent calls could not finish in time."""
    least = minimum_time(times, pipeline, 0, now)
    remaining = deadline - now
    if remaining > 0 and least <= remaining:
        return Admission(True)
    why = f"{remaining:.3f} s are left and the stages need {least:.3f} s at least"
    return Admission(False, why, retry_after_seconds(0.0))


def queue_seconds(waiting: int, slots: int, times: TimeTable, pipeline: Pipeline, now) -> float:
    """Return how long a queue of `waiting` requests before `slots` slots takes to drain."""
    per_request = typical_time(times, pipeline, 0, now)
    return waiting * per_request / max(1, slots)


def retry_after_seconds(estimate: float) -> int:
    """Return whole seconds for a Retry-After header from an estimate of recovery."""
    return int(min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, math.ceil(estimate))))
