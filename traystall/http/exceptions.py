"""Errors of client connections."""

from traystall.core.exceptions import TraystallError


class HttpError(TraystallError):
    """Base of errors in a received request."""


class BodyTooLarge(HttpError):
    """The body exceeds the limit that its reader set."""


class BodyBroken(HttpError):
    """The body is invalid or incomplete."""
