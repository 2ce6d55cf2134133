"""Classify failed attempts and decide whether a request may be retried. Performs no I/O."""

from enum import StrEnum

import msgspec

from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.exchange.attempt import TargetResponse
from traystall.passthrough.exchange.connection import ResponseHead
from traystall.systems.retry_after import RETRY_AFTER, parse_retry_after

# With less time left than this, no further attempt is made.
MIN_ATTEMPT_SECONDS = 0.02
# Failed connections do not count as attempts, because nothing was sent on them. A request is
# refused after this many.
_MAX_UNREACHABLE_TARGETS = 4
# Status with which a target reports a missing input, next to the header that says that it has not
# run the request.
_INPUTS_LOST_STATUS = 409
# How long a target that is at capacity gets no new work, and the upper bound of the time that the
# target itself asks for.
_FULL_TARGET_PAUSE_SECONDS = 0.05
_MAX_FULL_TARGET_PAUSE_SECONDS = 2.0


class FailureKind(StrEnum):
    """Classify a failed attempt by what it proves about the request.

    UNREACHABLE: no connection was made, so the request was not sent.
    NOT_RUN: the target declares that it has not run the request.
    DOUBT: the request was sent, and it is unknown whether it has run.
    FAILED: the target answered with an error of its own.
    HELD_BACK: the request was not sent, because the target withdrew its availability meanwhile.
    """

    UNREACHABLE = "unreachable"
    NOT_RUN = "not-run"
    DOUBT = "doubt"
    FAILED = "failed"
    HELD_BACK = "held-back"


class Failure(msgspec.Struct, frozen=True):
    """Describe a failed attempt; `answer` is the target's response, if one was received."""

    kind: FailureKind
    reason: str
    response: TargetResponse | None = None


def may_try_again(passed: PassRequest, failure: Failure, unreachable: int) -> bool:
    """Return whether the request may be sent to another target; the retry budget is not checked."""
    if passed.remaining() < MIN_ATTEMPT_SECONDS:
        return False
    if failure.kind is FailureKind.UNREACHABLE:
        return unreachable < _MAX_UNREACHABLE_TARGETS
    if passed.attempts >= passed.route.max_attempts:
        return False
    return failure.kind is FailureKind.NOT_RUN or passed.route.is_safe_to_retry


def lost_inputs(failure: Failure) -> bool:
    """Return whether the target rejected the request because stage results it needs are lost."""
    response = failure.response
    not_run = failure.kind is FailureKind.NOT_RUN and response is not None
    return not_run and response.head.status == _INPUTS_LOST_STATUS


def is_success(head: ResponseHead, names: HeaderNames) -> bool:
    """Return whether a response is a success of the target itself.

    The target signs its responses. A missing signature or a content encoding shows that an
    intermediary produced or altered the response.
    """
    if not 200 <= head.status < 300:
        return False
    return head.get(names.signature) is not None and head.get("Content-Encoding") is None


def pause_after_refusal(head: ResponseHead) -> float:
    """Return how long a target that did not run a request gets no new work, in seconds.

    The pause is for a target without a free slot and is ignored if no other target is left. A
    backoff period that the target asked for is binding and is handled by `TargetNoticeMonitor`.
    """
    seconds = parse_retry_after(head.get_all(RETRY_AFTER), head.get("Date"))
    return min(_MAX_FULL_TARGET_PAUSE_SECONDS, seconds) or _FULL_TARGET_PAUSE_SECONDS
