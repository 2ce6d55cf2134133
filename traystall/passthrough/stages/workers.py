"""Targets that make pieces, as the gateway that calls them sees them. Pure; monotonic seconds."""

import msgspec

from traystall.passthrough.stages.room import ResultMemory
from traystall.routes.models import BatchProfile

# A target that takes this many times what it should is left for pressing work.
SLOW_RATIO = 1.6
# Weights of the newest call when it was slower, and when it was faster, than the mean.
_LEARN_SLOWER = 0.6
_LEARN_FASTER = 0.4
# A slow target is tried again this often.
_PROBE_SECONDS = 1.0
# A call that takes so many times what it should is not waited for alone.
_OVERDUE_RATIO = 1.7
_UNSETTLED_RATIO = 2.7
_OVERDUE_SECONDS = 0.06


class Worker(msgspec.Struct, eq=False):
    """Hold one target: calls under way, room taken, and how slow it is."""

    book: ResultMemory = msgspec.field(default_factory=ResultMemory)
    calls: int = 0
    ratio: float = 1.0
    last_began: float = float("-inf")
    # Until when its newest call should be at work.
    busy_until: float = float("-inf")
    # Whether the room that others take here is known, since when, and until when to wait for it.
    is_room_known: bool = False
    asked_at: float = float("-inf")
    wait_until: float = float("-inf")

    def began(self, now: float, size: int, seconds: float) -> None:
        """Count a call whose results may take `size` bytes and that should take `seconds`."""
        self.calls += 1
        self.busy_until = now + seconds * max(1.0, self.ratio)
        self.last_began = now
        self.book.reserve(size)

    def ended(self, size: int) -> None:
        """Count a call as over."""
        self.calls -= 1
        self.book.unreserve(size)

    def wait(self, slots: int, now: float) -> float:
        """Return how long it is still at work before it takes another call, in seconds."""
        return max(0.0, self.busy_until - now) if self.calls >= slots else 0.0

    def update_ratio(self, seconds: float, expected: float) -> None:
        """Learn from how long a call took."""
        found = seconds / max(0.001, expected)
        weight = _LEARN_SLOWER if found > self.ratio else _LEARN_FASTER
        self.ratio += weight * (found - self.ratio)

    def is_worth_calling(
        self, profile: BatchProfile, waiting: int, sound_workers: int, now: float
    ) -> bool:
        """Return whether a call here ends before the sound targets would have come to it."""
        if self.ratio < SLOW_RATIO or not sound_workers:
            return True
        if now - self.last_began > _PROBE_SECONDS:
            return True
        calls_ahead = waiting / (profile.batch * sound_workers)
        return self.ratio < 1 + calls_ahead


def overdue_after(expected: float, settled: bool) -> float:
    """Return after how many seconds a call is overdue, so that its pieces are asked elsewhere.

    Right after another gateway has handed over, a target may still be at work for that one.
    """
    ratio = _OVERDUE_RATIO if settled else _UNSETTLED_RATIO
    return expected * ratio + _OVERDUE_SECONDS
