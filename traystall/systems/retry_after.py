"""Parse the backoff period that a target requests with Retry-After. Pure."""

import math
from collections.abc import Iterable
from email.utils import parsedate_to_datetime

RETRY_AFTER = "Retry-After"
# Status of a response that rejects a request and may request a backoff period.
SERVICE_UNAVAILABLE = 503
# Longer periods are capped. The longest event in the design goals, a network partition between
# regions, lasts minutes; one hour covers it and limits the cost of a wrong value.
MAX_BACKOFF_SECONDS = 3600.0


def parse_retry_after(values: Iterable[str], date: str | None = None) -> float:
    """Return the backoff period in seconds that the values of Retry-After request; 0 for none.

    The longest of several values applies. An HTTP date is relative to `date`, the response's Date
    header, since the same clock wrote both. A date without it, text, nan and values not above 0
    request nothing.
    """
    longest = max((_seconds(value.strip(), date) for value in values), default=0.0)
    return min(longest, MAX_BACKOFF_SECONDS)


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
