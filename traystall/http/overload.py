"""Decide which new connections to close unread while the event loop has more work than it can do.

Pure; times are monotonic seconds. A periodic tick shows whether the loop keeps up. Once it does
not, the lowest rate of connections is admitted after a late tick, and a limited rate after one on
time: a mere stop and go would admit a whole backlog each time. A process that is behind although
few connections come closes none.
"""

# Interval of the ticks. An overloaded loop runs each of them late.
TICK_SECONDS = 0.01
# A tick that is late by at most this much shows that the loop keeps up.
_ON_TIME_SECONDS = 0.05
# The loop is overloaded once ticks in a row were late by so much together. Several are needed: a
# process that was suspended runs a single tick late.
_OVERLOAD_SECONDS = 0.3
_MIN_LATE_TICKS = 3
# Factors of the rate on entry, at a late tick, and in each second with ticks on time.
_ENTRY_FACTOR = 0.5
_LATE_FACTOR = 0.85
_RISE_PER_SECOND = 4.0
# Lowest limit, which is about what a small gateway gets without a flood.
MIN_RATE_PER_SECOND = 20.0
# Shortest time between two reductions: admitted requests cause work for some time.
_REDUCTION_INTERVAL_SECONDS = 0.5
# The limit ends after this time without a connection that it closed.
_CALM_SECONDS = 2.0
# The rate of admitted connections is averaged over about this time.
_AVERAGE_SECONDS = 0.5


class LoadShedder:
    """Admit new connections at the rate that the event loop can bear."""

    def __init__(self):
        self._ticked_at: float | None = None
        self._late_ticks = 0
        self._late_seconds = 0.0
        self._admitted = 0
        self._mean_rate = 0.0
        # Connections that may be admitted a second, None without a limit, and those left now.
        self._rate: float | None = None
        self._left = 0.0
        self._closed_at = float("-inf")
        self._reduced_at = float("-inf")

    @property
    def is_limiting(self) -> bool:
        """Return whether new connections are admitted at a limited rate."""
        return self._rate is not None

    def admit(self, now: float) -> bool:
        """Return whether to read from a new connection."""
        if self._rate is None or self._left >= 1.0:
            self._left -= 1.0
            self._admitted += 1
            return True
        self._closed_at = now
        return False

    def on_tick(self, now: float) -> None:
        """Update the limit; the next tick is due `TICK_SECONDS` later."""
        elapsed = TICK_SECONDS if self._ticked_at is None else max(1e-6, now - self._ticked_at)
        self._ticked_at = now
        lateness = elapsed - TICK_SECONDS
        weight = min(1.0, elapsed / _AVERAGE_SECONDS)
        self._mean_rate += weight * (self._admitted / elapsed - self._mean_rate)
        self._admitted = 0
        if lateness > _ON_TIME_SECONDS:
            self._on_late_tick(lateness, elapsed, now)
        else:
            self._on_timely_tick(elapsed)
        if self._rate is not None and now - self._closed_at > _CALM_SECONDS:
            self._rate = None

    def _on_timely_tick(self, elapsed):
        self._late_ticks, self._late_seconds = 0, 0.0
        if self._rate is not None:
            self._rate *= _RISE_PER_SECOND**elapsed
            self._earn(self._rate * elapsed)

    def _on_late_tick(self, lateness, elapsed, now):
        self._late_ticks += 1
        self._late_seconds += lateness
        if self._rate is not None:
            self._earn(MIN_RATE_PER_SECOND * elapsed)
            if now - self._reduced_at >= _REDUCTION_INTERVAL_SECONDS:
                self._reduce(self._rate * _LATE_FACTOR, now)
        elif self._is_flooded():
            self._left, self._closed_at = 0.0, now
            self._reduce(self._mean_rate * _ENTRY_FACTOR, now)

    def _is_flooded(self):
        if self._late_ticks < _MIN_LATE_TICKS or self._late_seconds < _OVERLOAD_SECONDS:
            return False
        return self._mean_rate > MIN_RATE_PER_SECOND

    def _earn(self, count):
        """Allow so many connections until the next tick, beside one that was left."""
        self._left = min(1.0, max(0.0, self._left)) + count

    def _reduce(self, rate, now):
        self._rate = max(MIN_RATE_PER_SECOND, rate)
        self._reduced_at = now
