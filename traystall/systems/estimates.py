"""Estimate stage times as quantiles over a sliding window.

Times are stored in HDR histograms of microseconds. Two histograms alternate, so
that samples older than two windows are discarded.
"""

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2
WINDOW_SECONDS = 30.0
# Number of samples below which no estimate is returned.
MIN_SAMPLES = 8


class StageTimes:
    """Recent times of one stage of one pipeline."""

    def __init__(self, now: float):
        self._current = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        self._previous = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        self._rotated_at = now
        self._cached: dict[float, tuple[int, float]] = {}

    def record(self, seconds: float, now: float) -> None:
        """Add one observed time."""
        if now - self._rotated_at > WINDOW_SECONDS:
            self._current, self._previous = self._previous, self._current
            self._current.reset()
            self._rotated_at = now
            self._cached.clear()
        self._current.record_value(max(_LOWEST_US, min(_HIGHEST_US, int(seconds * 1e6))))

    @property
    def samples(self) -> int:
        """Return the number of recorded times in the window."""
        return self._current.total_count + self._previous.total_count

    def quantile(self, fraction: float) -> float | None:
        """Return the quantile `fraction` of the times in seconds, or None if unknown."""
        count = self.samples
        if count < MIN_SAMPLES:
            return None
        cached = self._cached.get(fraction)
        # A quantile scans the whole histogram: recompute it once 5 in 100 samples are new.
        if cached is not None and count < cached[0] * 1.05:
            return cached[1]
        value = self._compute(fraction)
        self._cached[fraction] = (count, value)
        return value

    def _compute(self, fraction):
        fuller = max(self._current, self._previous, key=lambda h: h.total_count)
        recent = self._current if self._current.total_count >= MIN_SAMPLES else fuller
        return recent.get_value_at_percentile(fraction * 100) / 1e6


class TimeTable:
    """Stage times by pipeline and stage, created on first use."""

    def __init__(self):
        self._rows: dict[tuple[str, str], StageTimes] = {}

    def of(self, pipeline: str, stage: str, now: float) -> StageTimes:
        """Return the times of one stage."""
        key = (pipeline, stage)
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = StageTimes(now)
        return row
