"""Errors of a caller's connection."""

from traystall.core.exceptions import TraystallError


class HttpError(TraystallError):
    """Be the base of what is wrong with a request as it came."""


class BodyTooLarge(HttpError):
    """Report a body over the limit that its reader set."""


class BodyBroken(HttpError):
    """Report a body that can't be read or that its caller never finished."""
