"""Learn how much longer the stages of a kind take than was forecast. Pure; seconds.

Load: chains whose time is nearly all taken by their own calls. A forecast adds up what is ahead in
each queue; what it leaves out (the rest of running calls, calls fuller than the mean one,
hand-overs, work that comes meanwhile) is a tenth of a second a stage, which is a third of what
such a chain may wait. Let in by the bare forecast, most of a rush is served a little late, and in
its place others could have been served in time.
"""

import msgspec

# This part of a kind's requests should take no longer than is said: a late answer is worth
# less to its caller than coming back, and a forecast for nearly all would leave pools idle.
_SURE_PART = 0.95
# Of what a request may wait, so much at the most is kept for errors: a tight kind would else be
# refused by its errors alone where next to nothing waits.
_MOST_OF_SLACK = 0.65
# How far one request moves what is added, in seconds: some ten tell it within a tenth of a second.
_STEP_SECONDS = 0.03
# What is added at the least and at the most.
_LEAST_SECONDS, _MOST_SECONDS = -0.3, 1.0
# What is added fades by half in this time, in seconds, without news: else one that lets nobody in
# would stay.
_HALF_SECONDS = 3.0


class ForecastError(msgspec.Struct):
    """Hold what is added to the forecasts of one kind, and when a request last told."""

    seconds: float = 0.0
    at: float = float("-inf")

    def learn(self, found: float, now: float) -> None:
        """Learn from a request that took `found` seconds longer than was forecast for it."""
        self.seconds = self.at_time(now)
        above = found > self.seconds
        self.seconds += _STEP_SECONDS * (_SURE_PART if above else _SURE_PART - 1.0)
        self.seconds = min(_MOST_SECONDS, max(_LEAST_SECONDS, self.seconds))
        self.at = now

    def for_slack(self, slack: float, now: float) -> float:
        """Return what is added for a request that may wait `slack` seconds."""
        return min(self.at_time(now), max(0.0, slack) * _MOST_OF_SLACK)

    def at_time(self, now: float) -> float:
        """Return what is added now, in seconds."""
        if now <= self.at or not self.seconds:
            return self.seconds
        return self.seconds * 0.5 ** ((now - self.at) / _HALF_SECONDS)
