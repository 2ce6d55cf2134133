"""Predict how long new work of an urgency waits in a queue that serves urgent work first.

Pure; times are monotonic seconds, rates pieces a second.
"""

import msgspec

# Arrivals are averaged over about this long.
_ARRIVAL_SECONDS = 1.5
# What is left for work of an urgency, as a part of all, however much comes that is more urgent.
_MIN_LEFT = 0.08


class ArrivalRate(msgspec.Struct):
    """Measure how fast pieces come; an average that fades."""

    rate: float = 0.0
    at: float = float("-inf")

    def add(self, count: int, now: float) -> None:
        """Count pieces that have come."""
        self.rate = self.at_time(now) + count / _ARRIVAL_SECONDS
        self.at = now

    def at_time(self, now: float) -> float:
        """Return the rate now."""
        if now <= self.at:
            return self.rate
        return self.rate * 2.0 ** (-(now - self.at) / (_ARRIVAL_SECONDS * 0.7))


class WaitForecast:
    """Forecast waits from what has come lately and what is served."""

    def __init__(self):
        self._arrivals: dict[int, ArrivalRate] = {}

    def note(self, priority: int, pieces: int, now: float) -> None:
        """Count pieces of an urgency (0 first) that have come."""
        self._arrivals.setdefault(priority, ArrivalRate()).add(pieces, now)

    def seconds(self, priority: int, ahead: int, served_rate: float, now: float) -> float:
        """Return how long a new piece waits behind `ahead` pieces that go before it."""
        left = self.left_rate(priority, served_rate, now)
        return ahead / left if left > 0 else float("inf")

    def left_rate(self, priority: int, served_rate: float, now: float) -> float:
        """Return how many pieces a second are served of an urgency and of more urgent ones.

        Of the `served_rate`, what comes meanwhile and is more urgent takes its part first.
        """
        urgent = sum(
            rate.at_time(now) for other, rate in self._arrivals.items() if other < priority
        )
        return max(served_rate - urgent, served_rate * _MIN_LEFT)
