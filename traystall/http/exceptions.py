"""Errors of client connections.

Each has the `status` that its client gets, and a Retry-After in seconds where one helps.
"""

from traystall.core.exceptions import TraystallError


class HttpError(TraystallError):
    """Base of errors in a received request; no handler has run it."""

    status = 400
    code = "bad-request"
    retry_after: float | None = None


class HeadTooLarge(HttpError):
    """The head exceeds the limit of its connection."""

    status = 431
    code = "head-too-large"

    def __init__(self):
        super().__init__("The head of the request is too large.")


class BodyTooLarge(HttpError):
    """The body exceeds the limit that its reader set."""

    status = 413
    code = "too-large"


class BodyBroken(HttpError):
    """The body is invalid or incomplete."""

    code = "bad-body"


class BodyTimeout(HttpError):
    """The body was not complete in time."""

    status = 408
    code = "body-timeout"

    def __init__(self):
        super().__init__("The body of the request takes too long.")


class MemoryExhausted(HttpError):
    """The process holds all that it may hold for clients, and gives up what this one sent."""

    status = 503
    code = "no-memory"
    # Time in which the other requests of a crowd are given up or answered.
    retry_after = 1.0

    def __init__(self):
        super().__init__("This process has no memory for the request now.")
