"""What a failed attempt proves, and what may be done after it. Pure but for the target's record."""

from enum import StrEnum

import msgspec

from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.exchange.attempt import Answer
from traystall.passthrough.exchange.connection import ResponseHead
from traystall.systems.retry_after import RETRY_AFTER, parse_retry_after

# Less time than this, in seconds, is not enough for another attempt.
MIN_SECONDS = 0.02
# Connections that did not come up are tried elsewhere this often; nothing was sent on them.
_MAX_UNREACHABLE = 4
# The status of a target that misses an input, beside its word that it has not run the request.
_INPUTS_LOST = 409
# How long a target that is full is avoided, in seconds, and at the most if it says so.
_FULL_SECONDS = 0.05
_MAX_FULL_SECONDS = 2.0


class FailureKind(StrEnum):
    """Say what a failed attempt proves."""

    UNREACHABLE = "unreachable"
    NOT_RUN = "not-run"
    DOUBT = "doubt"
    FAILED = "failed"
    # Nothing was sent since the target has asked for that meanwhile.
    HELD_BACK = "held-back"


class Failure(msgspec.Struct, frozen=True):
    """Hold how an attempt failed; `answer` is the target's own, where it gave one."""

    kind: FailureKind
    reason: str
    answer: Answer | None = None


def may_try_again(passed: PassRequest, failure: Failure, unreachable: int) -> bool:
    """Return whether another target may get the request, leaving the budget aside."""
    if passed.remaining() < MIN_SECONDS:
        return False
    if failure.kind is FailureKind.UNREACHABLE:
        return unreachable < _MAX_UNREACHABLE
    if passed.attempts >= passed.route.max_attempts:
        return False
    return failure.kind is FailureKind.NOT_RUN or passed.route.is_safe_to_retry


def lost_inputs(failure: Failure) -> bool:
    """Return whether a target has not run a request because results it reads are lost."""
    answer = failure.answer
    not_run = failure.kind is FailureKind.NOT_RUN and answer is not None
    return not_run and answer.head.status == _INPUTS_LOST


def is_success(head: ResponseHead, names: HeaderNames) -> bool:
    """Return whether a head is a target's own success: signed, and not encoded on the way."""
    if not 200 <= head.status < 300:
        return False
    return head.get(names.signature) is not None and head.get("Content-Encoding") is None


def pause_after_refusal(head: ResponseHead) -> float:
    """Return how long a target that did not run a request is avoided, in seconds.

    This is for want of a slot and may be overruled; a rest that it asked for is kept elsewhere.
    """
    seconds = parse_retry_after(head.get_all(RETRY_AFTER), head.get("Date"))
    return min(_MAX_FULL_SECONDS, seconds) or _FULL_SECONDS
