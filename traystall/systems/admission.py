"""Admission control: refuse requests that can't meet their deadline, with a Retry-After."""

import math

import msgspec

from traystall.systems.deadlines import minimum_time, typical_time
from traystall.systems.estimates import TimeTable
from traystall.tables.entities import Pipeline

MIN_RETRY_AFTER_SECONDS = 1
MAX_RETRY_AFTER_SECONDS = 60


class Admission(msgspec.Struct, frozen=True):
    """The decision on a request; if not admitted, why and after how many seconds to retry."""

    admitted: bool
    why: str = ""
    retry_after: int = MIN_RETRY_AFTER_SECONDS


def admit(times: TimeTable, pipeline: Pipeline, deadline: float, now: float) -> Admission:
    """Refuse a request only if even the fastest recent calls would miss its deadline."""
    minimum = minimum_time(times, pipeline, 0, now)
    remaining = deadline - now
    if remaining > 0 and minimum <= remaining:
        return Admission(True)
    why = f"{remaining:.3f} s are left and the stages need {minimum:.3f} s at least"
    return Admission(False, why, retry_after_seconds(0.0))


def queue_seconds(waiting: int, slots: int, times: TimeTable, pipeline: Pipeline, now) -> float:
    """Return the seconds in which `slots` slots drain a queue of `waiting` requests."""
    per_request = typical_time(times, pipeline, 0, now)
    return waiting * per_request / max(1, slots)


def retry_after_seconds(estimate: float) -> int:
    """Return an estimated recovery time as whole seconds for a Retry-After header."""
    return int(min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, math.ceil(estimate))))
