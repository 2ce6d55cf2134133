"""Learn how long a target takes compared with others that run the same stage."""

from traystall.tables.targets import TargetRow

_WEIGHT = 0.4
# An attempt that is overdue says more than one that ended: it may take much longer still.
_OVERDUE_WEIGHT = 0.8
_MIN_RATIO = 0.25
_MAX_RATIO = 20.0
# A slow target that gets no work is believed to recover by half in this time.
RECOVERY_SECONDS = 10.0
# Less than this is no news: any attempt may take a little longer than usual.
OVERDUE_RATIO = 1.5
# A target silent for this many typical times counts as failed.
FAILED_RATIO = 3.0


def on_duration(row: TargetRow, seconds: float, typical: float | None, now: float) -> None:
    """Take in one observed time, given the typical one of the same stage."""
    if typical:
        _fold(row, seconds / typical, _WEIGHT, now)


def on_overdue(row: TargetRow, elapsed: float, typical: float | None, now: float) -> None:
    """Take in that an attempt has taken `elapsed` and is not done: a lower bound only."""
    if typical and elapsed / typical > max(row.service_ratio, OVERDUE_RATIO):
        _fold(row, elapsed / typical, _OVERDUE_WEIGHT, now)


def is_within_usual_time(elapsed: float, typical: float | None) -> bool:
    """Return whether a target that has not answered yet may still be quite well."""
    return typical is not None and elapsed <= typical * FAILED_RATIO


def decay(row: TargetRow, now: float) -> None:
    """Let the ratio of an unused slow target drift back, so that it is tried again."""
    if row.service_ratio > 1.0 and now - row.ratio_at > RECOVERY_SECONDS:
        row.service_ratio = 1.0 + (row.service_ratio - 1.0) / 2
        row.ratio_at = now


def _fold(row, ratio, weight, now):
    bounded = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
    row.service_ratio += weight * (bounded - row.service_ratio)
    row.ratio_at = now
