"""Estimate each target's service time relative to its pool, as an exponential average."""

from traystall.tables.targets import TargetRow

_WEIGHT = 0.4
# An overdue attempt has a greater weight than a completed one: its final time may be far longer.
_OVERDUE_WEIGHT = 0.8
_MIN_RATIO = 0.25
_MAX_RATIO = 20.0
# The excess ratio of a slow target without work is halved once in this time.
RECOVERY_SECONDS = 10.0
# Overdue attempts below this ratio are ignored as normal variation.
OVERDUE_RATIO = 1.5
# A target that sends no response for this many typical times counts as failed.
FAILED_RATIO = 3.0


def on_duration(row: TargetRow, seconds: float, typical: float | None, now: float) -> None:
    """Update the ratio with a completed attempt; `typical` is the stage's median time."""
    if typical:
        _update_ratio(row, seconds / typical, _WEIGHT, now)


def on_overdue(row: TargetRow, elapsed: float, typical: float | None, now: float) -> None:
    """Update the ratio with an attempt still running after `elapsed` seconds, a lower bound."""
    if typical and elapsed / typical > max(row.service_ratio, OVERDUE_RATIO):
        _update_ratio(row, elapsed / typical, _OVERDUE_WEIGHT, now)


def is_within_usual_time(elapsed: float, typical: float | None) -> bool:
    """Return whether the elapsed time is still within the range of a healthy target."""
    return typical is not None and elapsed <= typical * FAILED_RATIO


def decay(row: TargetRow, now: float) -> None:
    """Lower the ratio of an unused slow target, so that it receives work again."""
    if row.service_ratio > 1.0 and now - row.ratio_at > RECOVERY_SECONDS:
        row.service_ratio = 1.0 + (row.service_ratio - 1.0) / 2
        row.ratio_at = now


def _update_ratio(row, ratio, weight, now):
    bounded = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
    row.service_ratio += weight * (bounded - row.service_ratio)
    row.ratio_at = now
