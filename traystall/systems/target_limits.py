"""Parse the rate limit that a target announces for all gateways together. Pure."""

import math
from collections.abc import Iterable

import msgspec

# Header of targets that use traystall's own dialect.
LIMIT_HEADER = "Traystall-Limit"
# Lower limits are raised to this rate: only a response can announce that the limit has risen.
MIN_PER_SECOND = 0.1


class AnnouncedLimit(msgspec.Struct, frozen=True):
    """The limit that a response announces, in requests a second; None means no limit."""

    per_second: float | None


UNLIMITED = AnnouncedLimit(None)


def parse_limit(values: Iterable[str]) -> AnnouncedLimit | None:
    """Return the limit in the values of a response's header, or None if they are invalid.

    No value and `inf` mean no limit. The lowest of several values applies. Negative numbers, nan,
    empty values, text and numbers with a comma are invalid, and the known limit stays.
    """
    found = list(values)
    if not found:
        return UNLIMITED
    numbers = [number for value in found if (number := _number(value.strip())) is not None]
    if not numbers:
        return None
    lowest = min(numbers)
    return UNLIMITED if math.isinf(lowest) else AnnouncedLimit(max(MIN_PER_SECOND, lowest))


def _number(text):
    try:
        number = float(text) if "_" not in text else -1.0
    except ValueError:
        return None
    return number if number >= 0 else None
