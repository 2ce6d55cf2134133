"""Rate limits for targets in a cold start. Performs no I/O; times are monotonic seconds.

A target that has just started, or has become cold again, fails if it gets many more requests from
all gateways together than it can handle. The sum over all gateways therefore has to stay within a
bound without coordination, also during a network partition. A gateway that acts for all others, as
the placer of a pool's prompts does, gets one share of the bound. The remainder is divided among the
gateways by rendezvous hashing on the target's name, so that a gateway that acts on its own knows
its share, which may be 0.
"""

import math
from collections import deque

import msgspec

from traystall.systems.rendezvous import rendezvous_order

# Requests are counted over slightly more than the one second of the bound. Two requests sent this
# far apart may still arrive within one second, because a lost packet adds 0.2 s or more.
WINDOW_SECONDS = 1.25
# Share of the bound for a gateway that acts for all. Two gateways may act at the same time, on both
# sides of a network partition or during a change; together they leave a fifth of the bound to
# gateways that act on their own.
_COORDINATOR_RATIO = 0.4
# Share of the bound that is divided among all gateways if no gateway acts for all. The remainder is
# reserved for gateways that are not yet in the directory.
_DIVIDED_RATIO = 0.9
# Share of the bound that is divided among all gateways if one of them acts for all.
_DIVIDED_RATIO_WITH_COORDINATOR = 0.2


class ColdStartLimit(msgspec.Struct, frozen=True):
    """Bound the requests per second to a cold target: `excess` x the pool's rate + `slack`."""

    excess: float = 1.0
    slack: float = 0.0

    def bound(self, per_second: float) -> float:
        """Return how many requests per second all gateways together may send."""
        return per_second * self.excess + self.slack

    def whole_bound(self, per_second: float) -> int:
        """Return the bound in whole requests; shares are computed from this value.

        Shares of a fractional bound can exceed it: those of 199.99999999999997 are rounded up by
        floating-point multiplication and add up to 200.
        """
        return math.floor(self.bound(per_second))


def coordinator_allowance(rule: ColdStartLimit, per_second: float) -> int:
    """Return how many requests a gateway that acts for all may send to a cold target.

    The value is the rate that the pool declares, or the coordinator's share if that is less.
    """
    return max(1, int(min(per_second, rule.whole_bound(per_second) * _COORDINATOR_RATIO)))


def gateway_allowance(
    rule: ColdStartLimit,
    per_second: float,
    target: str,
    own: str,
    gateways: list[str],
    divides_all: bool,
) -> int:
    """Return how many requests a gateway may send on its own to a cold target.

    The sum over all gateways stays within the bound. `divides_all` tells that no gateway acts for
    all, so that the gateways divide the whole bound among them.
    """
    ratio = _DIVIDED_RATIO if divides_all else _DIVIDED_RATIO_WITH_COORDINATOR
    whole = int(rule.whole_bound(per_second) * ratio)
    names = gateways if own in gateways else [*gateways, own]
    share, left = divmod(whole, len(names))
    if not left:
        return share
    return share + (own in rendezvous_order(f"cold {target}", names)[:left])


class RecentRequestCounter:
    """Count the requests that this gateway has sent to each target within the window."""

    def __init__(self):
        self._sent: dict[str, deque[float]] = {}

    def count(self, target: str, now: float) -> int:
        """Return how many requests were sent to a target within the window."""
        sent = self._sent.get(target)
        if sent is None:
            return 0
        while sent and now - sent[0] >= WINDOW_SECONDS:
            sent.popleft()
        return len(sent)

    def record(self, target: str, now: float) -> None:
        """Record a request that is about to be sent."""
        self.count(target, now)
        self._sent.setdefault(target, deque()).append(now)

    def retain(self, targets: set[str]) -> None:
        """Remove all targets that are not in `targets`."""
        for target in self._sent.keys() - targets:
            del self._sent[target]
