"""Read the limit that a target names for all gateways together. Pure."""

import math
from collections.abc import Iterable

import msgspec

# The header of targets that speak traystall's own form.
LIMIT = "Traystall-Limit"
# A target whose limit is lower gets so many requests a second all the same: only an answer can tell
# that it takes more again.
MIN_PER_SECOND = 0.1


class LimitWord(msgspec.Struct, frozen=True):
    """Hold what an answer says: how many requests a second, or any number (None)."""

    per_second: float | None


ANY_NUMBER = LimitWord(None)


def read_limit(values: Iterable[str]) -> LimitWord | None:
    """Return what the values of an answer's header say, or None if they can't be read.

    No value and `inf` say that any number is taken. Of several values the lowest holds. What is
    negative, nan, empty, text or written with a comma says nothing: what was known stays.
    """
    found = list(values)
    if not found:
        return ANY_NUMBER
    numbers = [number for value in found if (number := _number(value.strip())) is not None]
    if not numbers:
        return None
    lowest = min(numbers)
    return ANY_NUMBER if math.isinf(lowest) else LimitWord(max(MIN_PER_SECOND, lowest))


def _number(text):
    try:
        number = float(text) if "_" not in text else -1.0
    except ValueError:
        return None
    return number if number >= 0 else None
