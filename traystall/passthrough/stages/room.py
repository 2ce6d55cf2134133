"""Count the room that results take at their worker. Pure; sizes in bytes, monotonic seconds."""

_MIN_USABLE_RATIO = 0.5
_SHRINK_FACTOR = 0.93
_GROWTH_STEP = 0.004
# Weight of the newest result in the means.
_MEAN_WEIGHT = 0.03


class RoomBook:
    """Count what one worker holds: results until they are given up, calls under way as a whole."""

    def __init__(self):
        # The part of the declared room that is used: sizes are told only about.
        self.share = 1.0
        self._held: dict[str, tuple[int, float, float]] = {}
        # How long a result is held, and how large it is, as means.
        self._mean_held_seconds = 0.0
        self._mean_bytes = 0.0
        self._reserved = 0
        # What others hold here, as the worker told, and when that is surely over.
        self._foreign = 0
        self._foreign_until = float("-inf")

    def note_free(self, free: int, capacity_bytes: int, now: float, lifetime: float) -> int:
        """Take in how much room the worker says it has left; return what others hold here."""
        self._foreign = 0
        self._foreign = max(0, capacity_bytes - free - self.taken(now))
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
        self._mean_bytes += _MEAN_WEIGHT * (size - self._mean_bytes)

    def free(self, handle: str, now: float) -> None:
        """Count a result as given up."""
        held = self._held.pop(handle, None)
        if held is not None:
            self._mean_held_seconds += _MEAN_WEIGHT * (now - held[1] - self._mean_held_seconds)

    def rate(self, capacity_bytes: float, call_seconds: float, now: float) -> float:
        """Return how many results a second the room allows, for how long each is held."""
        if not self._mean_bytes or not self._mean_held_seconds:
            return float("inf")
        results = max(0.0, capacity_bytes * self.share - self.foreign(now)) / self._mean_bytes
        return results / (self._mean_held_seconds + call_seconds)

    def on_refused(self) -> None:
        """Use less room: the worker had less left than was counted."""
        self.share = max(_MIN_USABLE_RATIO, self.share * _SHRINK_FACTOR)

    def on_taken(self) -> None:
        """Use a little more room again."""
        self.share = min(1.0, self.share + _GROWTH_STEP)

    def taken(self, now: float) -> int:
        """Return how much room is taken."""
        over = [handle for handle, (_, _, until) in self._held.items() if until <= now]
        for handle in over:
            del self._held[handle]
        own = sum(size for size, _, _ in self._held.values())
        return self._reserved + own + self.foreign(now)
