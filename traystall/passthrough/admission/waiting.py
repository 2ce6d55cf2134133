"""Forecast how long new work waits in a queue that serves work by priority.

The module does no I/O; times are monotonic seconds, rates are pieces per second. Priority 0 is the
most urgent one.
"""

import msgspec

# Arrivals are averaged over about this time.
_ARRIVAL_SECONDS = 1.5
# Smallest ratio of a pool's rate that remains for a priority, at any rate of more urgent arrivals.
_MIN_AVAILABLE_RATIO = 0.08


class ArrivalRate(msgspec.Struct):
    """Measure the rate at which pieces arrive, as an average with exponential decay."""

    rate: float = 0.0
    at: float = float("-inf")

    def add(self, count: int, now: float) -> None:
        """Count pieces that arrive now."""
        self.rate = self.at_time(now) + count / _ARRIVAL_SECONDS
        self.at = now

    def at_time(self, now: float) -> float:
        """Return the rate at a time."""
        if now <= self.at:
            return self.rate
        return self.rate * 2.0 ** (-(now - self.at) / (_ARRIVAL_SECONDS * 0.7))


class WaitForecast:
    """Forecast waits from the recent arrivals by priority and the rate of the pool."""

    def __init__(self):
        self._arrivals: dict[int, ArrivalRate] = {}

    def record(self, priority: int, pieces: int, now: float) -> None:
        """Count pieces of a priority that arrive now."""
        self._arrivals.setdefault(priority, ArrivalRate()).add(pieces, now)

    def seconds(self, priority: int, ahead: int, served_rate: float, now: float) -> float:
        """Return how long a new piece waits behind `ahead` pieces, in seconds."""
        left = self.available_rate(priority, served_rate, now)
        return ahead / left if left > 0 else float("inf")

    def available_rate(self, priority: int, served_rate: float, now: float) -> float:
        """Return the rate at which a queue up to and including a priority drains.

        New arrivals that are more urgent use their share of the `served_rate` first.
        """
        urgent = sum(
            rate.at_time(now) for other, rate in self._arrivals.items() if other < priority
        )
        return max(served_rate - urgent, served_rate * _MIN_AVAILABLE_RATIO)
