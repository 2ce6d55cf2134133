"""One account of the bytes that a process holds for all its clients. Pure; monotonic seconds.

A limit for each connection does not bound their sum. When the sum exceeds what is there, those give
way that hold most and move least: a large body that stopped goes before one that still comes. Some
room is kept for small requests, which large ones can't take however many there are.
"""

from collections.abc import Iterable
from typing import Protocol

# Ratio of the capacity that large requests may take.
_LARGE_RATIO = 7 / 8
# Holders of more bytes than this are large.
_SMALL_BYTES = 32 * 1024
# Too much is brought down to this ratio of what there may be, so that the holders are not searched
# again for each part that arrives.
_RELIEF_RATIO = 7 / 8
# A holder that has not moved for this long weighs twice its bytes.
_REST_SECONDS = 1.0


class Holder(Protocol):
    """What holds bytes for one client."""

    def give_up(self) -> None:
        """Release the bytes that can be released, and refuse what they belong to."""


class Holding:
    """What one holder holds.

    `releasable_bytes` is the part that goes away when the holder gives up. The rest belongs to
    requests that are being handled.
    """

    __slots__ = ("holder", "held_bytes", "releasable_bytes", "moved_at")

    def __init__(self, holder: Holder):
        self.holder = holder
        self.held_bytes = 0
        self.releasable_bytes = 0
        self.moved_at = 0.0

    def weight(self, now: float) -> float:
        """Return how much the process gains if the holder gives up, rather than another one."""
        return self.releasable_bytes * (1 + max(0.0, now - self.moved_at) / _REST_SECONDS)


class MemoryAccount:
    """Count what all holders hold, and make the heaviest give up while it is too much."""

    def __init__(self, capacity_bytes: float):
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        # Requests and connections that were given up.
        self.given_up = 0
        self._holdings: set[Holding] = set()

    def update(self, holding: Holding, held_bytes: int, releasable_bytes: int) -> None:
        """Set what a holder holds."""
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        holding.releasable_bytes = releasable_bytes
        if held_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)

    @property
    def is_exceeded(self) -> bool:
        """Return whether some holders have to give up."""
        return self.held_bytes > self.capacity_bytes * _LARGE_RATIO

    def relieve(self, now: float) -> None:
        """Make holders give up until there is some room, or until nothing can be released."""
        large = [row for row in self._holdings if row.releasable_bytes > _SMALL_BYTES]
        self._release(large, self.capacity_bytes * _LARGE_RATIO, now)
        if self.held_bytes > self.capacity_bytes:
            self._release(self._holdings, self.capacity_bytes, now)

    def _release(self, holdings, limit_bytes, now):
        excess = self.held_bytes - limit_bytes * _RELIEF_RATIO
        for holding in choose_heaviest(holdings, excess, now):
            self.given_up += 1
            holding.holder.give_up()


def choose_heaviest(holdings: Iterable[Holding], excess: float, now: float) -> list[Holding]:
    """Return the holders that have to give up to release `excess` bytes, the heaviest first."""
    chosen = []
    candidates = [holding for holding in holdings if holding.releasable_bytes]
    candidates.sort(key=lambda holding: holding.weight(now), reverse=True)
    for holding in candidates:
        if excess <= 0:
            break
        chosen.append(holding)
        excess -= holding.releasable_bytes
    return chosen
