"""Bound what is sent again: a fraction of the requests, and this gateway's part of a slack.

The bound holds for the whole system in every window, without the gateways
talking: each counts its own requests and takes only its part of the slack.
"""

from collections import deque

import msgspec

# Parts of the slack that are left untouched, for gateways that nobody knows of yet.
_SPARE_GATEWAYS = 2
# The share of the allowance that is used: windows of other processes begin at other times.
_SAFETY = 0.7


class RepeatBudgetRule(msgspec.Struct, frozen=True):
    """Allow `ratio` x requests + `slack` repeats of a pool in any `window` seconds."""

    ratio: float = 0.2
    window: float = 10.0
    slack: float = 20.0


class RepeatBudget:
    """Count the requests and repeats of one pool at one gateway."""

    def __init__(self, rule: RepeatBudgetRule):
        self._rule = rule
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a first sending."""
        self._requests.append(now)
        self._expire(now)

    def try_consume(self, now: float, gateways: int, count: int = 1) -> bool:
        """Count repeats if they are allowed; return whether they are."""
        self._expire(now)
        if len(self._repeats) + count > self.allowance(gateways):
            return False
        self._repeats.extend([now] * count)
        return True

    def allowance(self, gateways: int) -> float:
        """Return how many repeats this gateway may have in a window now."""
        slack = self._rule.slack / (max(1, gateways) + _SPARE_GATEWAYS)
        return _SAFETY * (self._rule.ratio * len(self._requests) + slack)

    def _expire(self, now):
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._rule.window:
                times.popleft()
