"""Measure a gateway's quick work at each target as an exponential average."""

from traystall.tables.targets import TargetRow

_WEIGHT = 0.1
SAMPLE_SECONDS = 0.1


def sample_quick_load(row: TargetRow, now: float) -> None:
    """Update the average of quick work in flight, at most once per sample period."""
    if now - row.quick_load_at < SAMPLE_SECONDS:
        return
    row.quick_load += _WEIGHT * (row.quick_in_flight - row.quick_load)
    row.quick_load_at = now
