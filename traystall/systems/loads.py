"""Measure how much quick work a gateway has at each target, as a running average."""

from traystall.tables.targets import TargetRow

_WEIGHT = 0.1
SAMPLE_SECONDS = 0.1


def sample_quick_load(row: TargetRow, now: float) -> None:
    """Fold the quick work in flight now into its average, at most once a sample time."""
    if now - row.quick_load_at < SAMPLE_SECONDS:
        return
    row.quick_load += _WEIGHT * (row.quick_in_flight - row.quick_load)
    row.quick_load_at = now
