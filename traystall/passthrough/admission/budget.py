"""Bound the repeated attempts of a pool, which are a ratio of its requests plus a slack.

The bound holds for the whole system in every time window, without any communication between the
gateways: each gateway counts its own requests and uses only its share of the slack.
"""

from collections import deque

import msgspec

# Shares of the slack that stay unused, for gateways that this gateway does not know of yet.
_RESERVED_GATEWAY_COUNT = 2
# Ratio of the allowance that is used, because the windows of other processes start at other times.
_USED_RATIO = 0.7

# Share of a stage call that each of two gateways counts: the one that needs the results and may
# need them again, and the one that batches the pieces and may send them twice.
STAGE_CALL_SHARE = 0.5


class RepeatBudgetRule(msgspec.Struct, frozen=True):
    """Allow `ratio` x requests + `slack` repeats of a pool in any `window` seconds."""

    ratio: float = 0.2
    window: float = 10.0
    slack: float = 20.0


class RepeatBudget:
    """Count the requests and the repeated attempts of one pool at one gateway."""

    def __init__(self, rule: RepeatBudgetRule):
        self._rule = rule
        # Times of requests with the share of each that this gateway counts, and the sum of these.
        self._requests: deque[tuple[float, float]] = deque()
        self._request_sum = 0.0
        self._repeats: deque[float] = deque()

    def on_request(self, now: float, share: float = 1.0) -> None:
        """Count the first attempt of a request, or the `share` of it that is counted here."""
        self._requests.append((now, share))
        self._request_sum += share
        self._expire(now)

    def try_consume(self, now: float, gateways: int, count: int = 1) -> bool:
        """Count `count` repeats if the budget allows all of them; return whether it does."""
        self._expire(now)
        if len(self._repeats) + count > self.allowance(gateways):
            return False
        self._repeats.extend([now] * count)
        return True

    def give_back(self, counted_at: float, count: int = 1) -> None:
        """Take back `count` repeats that were counted at a time and were not sent."""
        for _ in range(min(count, self._repeats.count(counted_at))):
            self._repeats.remove(counted_at)

    def allowance(self, gateways: int) -> float:
        """Return how many repeats this gateway may send in the current window."""
        slack = self._rule.slack / (max(1, gateways) + _RESERVED_GATEWAY_COUNT)
        return _USED_RATIO * (self._rule.ratio * self._request_sum + slack)

    def _expire(self, now):
        while self._requests and now - self._requests[0][0] > self._rule.window:
            self._request_sum -= self._requests.popleft()[1]
        while self._repeats and now - self._repeats[0] > self._rule.window:
            self._repeats.popleft()
