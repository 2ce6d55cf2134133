"""Count the room that results take at their worker. Pure; sizes in bytes, monotonic seconds."""

_MIN_SHARE = 0.5
_SHRINK = 0.93
_GROW = 0.004
# Weight of the newest result in the means.
_LEARNING = 0.03


class ResultMemory:
    """Count what one worker holds: results until they are given up, calls under way as a whole."""

    def __init__(self):
        # The part of the declared room that is used: sizes are told only about.
        self.share = 1.0
        self._held: dict[str, tuple[int, float, float]] = {}
        # How long a result is held, and how large it is, as means.
        self._held_seconds = 0.0
        self._mean_bytes = 0.0
        self._reserved = 0
        # What others hold here, as the worker told, and when that is surely over.
        self._foreign = 0
        self._foreign_until = float("-inf")

    def record_free_bytes(self, free: int, room: int, now: float, lifetime: float) -> int:
        """Take in how much room the worker says it has left; return what others hold here."""
        self._foreign = 0
        self._foreign = max(0, room - free - self.taken(now))
        self._foreign_until = now + lifetime
        return self._foreign

    def foreign(self, now: float) -> int:
        """Return how much room others take here, as far as it was told."""
        return self._foreign if now < self._foreign_until else 0

    def reserve(self, size: int) -> None:
        """Count a call that is about to begin."""
        self._reserved += size

    def unreserve(self, size: int) -> None:
        """Count a call as ended; its results are held one by one."""
        self._reserved -= size

    def hold(self, handle: str, size: int, now: float, lifetime: float) -> None:
        """Count a result; after its lifetime its worker drops it by itself."""
        self._held[handle] = (size, now, now + lifetime)
        self._mean_bytes += _LEARNING * (size - self._mean_bytes)

    def free(self, handle: str, now: float) -> None:
        """Count a result as given up."""
        held = self._held.pop(handle, None)
        if held is not None:
            self._held_seconds += _LEARNING * (now - held[1] - self._held_seconds)

    def rate(self, room: float, call_seconds: float, now: float) -> float:
        """Return how many results a second the room allows, for how long each is held."""
        if not self._mean_bytes or not self._held_seconds:
            return float("inf")
        results = max(0.0, room * self.share - self.foreign(now)) / self._mean_bytes
        return results / (self._held_seconds + call_seconds)

    def on_refused(self) -> None:
        """Use less room: the worker had less left than was counted."""
        self.share = max(_MIN_SHARE, self.share * _SHRINK)

    def on_accepted(self) -> None:
        """Use a little more room again."""
        self.share = min(1.0, self.share + _GROW)

    def taken(self, now: float) -> int:
        """Return how much room is taken."""
        over = [handle for handle, (_, _, until) in self._held.items() if until <= now]
        for handle in over:
            del self._held[handle]
        own = sum(size for size, _, _ in self._held.values())
        return self._reserved + own + self.foreign(now)
