"""Bound what cold targets get. Pure; times are monotonic seconds.

A target that has just started, or went cold again, falls over when it gets many
more requests than it bears, from all gateways together. The bound therefore has
to hold in sum without the gateways talking, whatever is cut: whoever does
something for all (places the prompts of a pool) takes one part, and what is
left is dealt out by the target's name, so that a gateway that is on its own
takes its part or none.
"""

import math
from collections import deque

import msgspec

from traystall.systems.rendezvous import rendezvous_order

# Requests count over somewhat more than the second in which they must not be too many: two that
# leave so far apart may still arrive within one: a lost packet takes 0.2 s and more.
WINDOW_SECONDS = 1.25
# The part of the bound for one gateway that acts for all. Two may take themselves for it, on the
# two sides of a cut or while it changes; together they leave a fifth to gateways on their own.
_COORDINATOR_PART = 0.4
# The part of the bound that is dealt out where no gateway acts for all, the rest being kept for
# gateways that nobody knows of yet; and where one does.
_DEALT_PART = 0.9
_LEFT_PART = 0.2


class ColdStartLimit(msgspec.Struct, frozen=True):
    """Allow a cold target `excess` x what its pool declares + `slack` requests in a second."""

    excess: float = 1.0
    slack: float = 0.0

    def bound(self, per_second: float) -> float:
        """Return how many requests all gateways together may send in a second."""
        return per_second * self.excess + self.slack

    def whole_bound(self, per_second: float) -> int:
        """Return the same in whole requests.

        Parts are taken of this: those of 199.99999999999997 are rounded up and add up to 200.
        """
        return math.floor(self.bound(per_second))


def coordinator_allowance(rule: ColdStartLimit, per_second: float) -> int:
    """Return how many a gateway that acts for all may send: what the target bears, or its part."""
    return max(1, int(min(per_second, rule.whole_bound(per_second) * _COORDINATOR_PART)))


def own_allowance(
    rule: ColdStartLimit, per_second: float, target: str, own: str, gateways: list[str], dealt: bool
) -> int:
    """Return how many a gateway may send by itself; the sum over all stays within the bound.

    `dealt` says that no gateway acts for all: the whole bound is dealt out then.
    """
    part = _DEALT_PART if dealt else _LEFT_PART
    whole = int(rule.whole_bound(per_second) * part)
    names = gateways if own in gateways else [*gateways, own]
    share, left = divmod(whole, len(names))
    if not left:
        return share
    return share + (own in rendezvous_order(f"cold {target}", names)[:left])


class RecentRequestCounter:
    """Count what this gateway has sent to each target lately."""

    def __init__(self):
        self._sent: dict[str, deque[float]] = {}

    def count(self, target: str, now: float) -> int:
        """Return how many requests a target got within the window."""
        sent = self._sent.get(target)
        if sent is None:
            return 0
        while sent and now - sent[0] >= WINDOW_SECONDS:
            sent.popleft()
        return len(sent)

    def note(self, target: str, now: float) -> None:
        """Count a request that is about to be sent."""
        self.count(target, now)
        self._sent.setdefault(target, deque()).append(now)

    def retain(self, targets: set[str]) -> None:
        """Forget targets that are gone."""
        for target in self._sent.keys() - targets:
            del self._sent[target]
