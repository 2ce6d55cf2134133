"""Learn how much longer the stages of a route take than forecast.

The module does no I/O; times are seconds. Example: the calls of a route's stages take nearly all
of its latency goal. A forecast adds up the work ahead in each queue and leaves out the rest of
the running calls, calls larger than the average, the time between stages and the work that arrives
later. These add a tenth of a second for each stage, a third of the time that such a request may
wait. Without the correction most requests of a load peak finish slightly late, in place of other
requests that could finish in time.
"""

import msgspec

# Quantile of the forecast errors that the correction covers. Late responses are worth less to a
# caller than a retry, while a forecast that covers nearly all errors leaves pools idle.
_COVERED_QUANTILE = 0.95
# Largest ratio of a request's slack that the correction may use. Without this bound a route with
# little slack is refused by its correction alone while the queues are nearly empty.
_MAX_SLACK_RATIO = 0.65
# Change of the correction for one request. With this step an error of a tenth of a second is
# learned from some ten requests.
_STEP_SECONDS = 0.03
_MIN_SECONDS, _MAX_SECONDS = -0.3, 1.0
# Half-life of the correction while no request ends. Without the decay a correction that admits no
# request is never corrected itself.
_HALF_LIFE_SECONDS = 3.0


class ForecastCorrection(msgspec.Struct):
    """Hold the correction added to the forecasts of one route, and the time of its last update."""

    seconds: float = 0.0
    at: float = float("-inf")

    def learn(self, found: float, now: float) -> None:
        """Learn from a request that took `found` seconds longer than its bare forecast."""
        self.seconds = self.at_time(now)
        above = found > self.seconds
        self.seconds += _STEP_SECONDS * (_COVERED_QUANTILE if above else _COVERED_QUANTILE - 1.0)
        self.seconds = min(_MAX_SECONDS, max(_MIN_SECONDS, self.seconds))
        self.at = now

    def for_slack(self, slack: float, now: float) -> float:
        """Return the correction for a request that may wait `slack` seconds."""
        return min(self.at_time(now), max(0.0, slack) * _MAX_SLACK_RATIO)

    def at_time(self, now: float) -> float:
        """Return the correction at a time, in seconds."""
        if now <= self.at or not self.seconds:
            return self.seconds
        return self.seconds * 0.5 ** ((now - self.at) / _HALF_LIFE_SECONDS)
