"""Read what a target asks for by Retry-After. Pure."""

import math
from collections.abc import Iterable
from email.utils import parsedate_to_datetime

RETRY_AFTER = "Retry-After"
# Status of an answer by which a target turns a request away and may ask for rest.
SERVICE_UNAVAILABLE = 503
# A longer rest is not honoured, in seconds. The longest event that the stated aim names lasts
# minutes (regions that lose each other): an hour holds it, and bounds what a wrong figure costs.
LONGEST_REST_SECONDS = 3600.0


def parse_retry_after(values: Iterable[str], date: str | None = None) -> float:
    """Return the rest that the values of Retry-After ask for, in seconds; 0 for none.

    Of several the longest holds. A date counts from `date`, the answer's own, by the clock that
    wrote both; without one it asks for nothing, like text, nan and what is not above 0.
    """
    longest = max((_seconds(value.strip(), date) for value in values), default=0.0)
    return min(longest, LONGEST_REST_SECONDS)


def _seconds(value, date):
    try:
        seconds = float(value) if "_" not in value else 0.0
    except ValueError:
        seconds = _seconds_between(date, value)
    return seconds if seconds > 0 and not math.isnan(seconds) else 0.0


def _seconds_between(date, value):
    try:
        return (parsedate_to_datetime(value) - parsedate_to_datetime(date or "")).total_seconds()
    except (TypeError, ValueError):
        return 0.0
