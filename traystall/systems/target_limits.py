"""Read the limit that a target names for all gateways together. Pure."""

import math
from collections.abc import Iterable

import msgspec

# The header of targets that speak traystall's own form.
LIMIT_HEADER = "Traystall-Limit"
# A target whose limit is lower gets so many requests a second all the same: only an answer can tell
# that it takes more again.
LEAST_PER_SECOND = 0.1


class AnnouncedLimit(msgspec.Struct, frozen=True):
    """Hold what an answer says: how many requests a second, or any number (None)."""

    per_second: float | None


UNLIMITED = AnnouncedLimit(None)


def parse_limit(values: Iterable[str]) -> AnnouncedLimit | None:
    """Return what the values of an answer's header say, or None if they can't be read.

    No value and `inf` say that any number is taken. Of several values the lowest holds. What is
    negative, nan, empty, text or written with a comma says nothing: what was known stays.
    """
    found = list(values)
    if not found:
        return UNLIMITED
    numbers = [number for value in found if (number := _number(value.strip())) is not None]
    if not numbers:
        return None
    lowest = min(numbers)
    return UNLIMITED if math.isinf(lowest) else AnnouncedLimit(max(LEAST_PER_SECOND, lowest))


def _number(text):
    try:
        number = float(text) if "_" not in text else -1.0
    except ValueError:
        return None
    return number if number >= 0 else None
