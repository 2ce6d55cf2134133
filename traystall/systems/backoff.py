"""Exponential backoff. Performs no I/O."""

# Largest exponent; it keeps the power within the range of a float.
_MAX_EXPONENT = 64


def backoff_seconds(first: float, longest: float, count: int) -> float:
    """Return the period after `count` earlier ones: `first`, doubled by each, up to `longest`."""
    return min(longest, first * 2 ** min(count, _MAX_EXPONENT))
