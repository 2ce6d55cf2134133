"""Account for the result memory of one worker. Pure; sizes are bytes, times monotonic seconds."""

# Limits and steps of the usable ratio of the declared memory.
_MIN_USABLE_RATIO = 0.5
_SHRINK_FACTOR = 0.93
_GROWTH_STEP = 0.004
# Weight of the newest result in the moving averages.
_MEAN_WEIGHT = 0.03


class ResultMemory:
    """Count the memory in use at one worker.

    Calls in flight count as a whole, results one by one until they are freed or expire.
    """

    def __init__(self):
        # The usable ratio of the declared memory; declared result sizes are only approximate.
        self.share = 1.0
        self._held: dict[str, tuple[int, float, float]] = {}
        # Moving averages of the time that a result is held, and of its size.
        self._mean_held_seconds = 0.0
        self._mean_bytes = 0.0
        self._reserved = 0
        # Memory held by other gateways' results as the worker last reported, and when it expires.
        self._foreign = 0
        self._foreign_until = float("-inf")

    def record_free_bytes(self, free: int, capacity_bytes: int, now: float, lifetime: float) -> int:
        """Record the free memory that the worker reports; return what other gateways hold there."""
        self._foreign = 0
        self._foreign = max(0, capacity_bytes - free - self.used_bytes(now))
        self._foreign_until = now + lifetime
        return self._foreign

    def foreign(self, now: float) -> int:
        """Return the memory that other gateways' results hold, as far as it is known."""
        return self._foreign if now < self._foreign_until else 0

    def reserve(self, size: int) -> None:
        """Reserve memory for a call that is about to start."""
        self._reserved += size

    def unreserve(self, size: int) -> None:
        """Drop the reservation of an ended call; its results are counted one by one."""
        self._reserved -= size

    def hold(self, handle: str, size: int, now: float, lifetime: float) -> None:
        """Count a result until it is freed, or until its lifetime ends and the worker drops it."""
        self._held[handle] = (size, now, now + lifetime)
        self._mean_bytes += _MEAN_WEIGHT * (size - self._mean_bytes)

    def free(self, handle: str, now: float) -> None:
        """Count a result as freed."""
        held = self._held.pop(handle, None)
        if held is not None:
            self._mean_held_seconds += _MEAN_WEIGHT * (now - held[1] - self._mean_held_seconds)

    def rate(self, capacity_bytes: float, call_seconds: float, now: float) -> float:
        """Return how many results per second fit into memory, given how long each one is held."""
        if not self._mean_bytes or not self._mean_held_seconds:
            return float("inf")
        results = max(0.0, capacity_bytes * self.share - self.foreign(now)) / self._mean_bytes
        return results / (self._mean_held_seconds + call_seconds)

    def on_refused(self) -> None:
        """Use less memory, because the worker had less free memory than was counted."""
        self.share = max(_MIN_USABLE_RATIO, self.share * _SHRINK_FACTOR)

    def on_accepted(self) -> None:
        """Use a little more memory again."""
        self.share = min(1.0, self.share + _GROWTH_STEP)

    def used_bytes(self, now: float) -> int:
        """Return the memory in use."""
        expired = [handle for handle, (_, _, expires_at) in self._held.items() if expires_at <= now]
        for handle in expired:
            del self._held[handle]
        own = sum(size for size, _, _ in self._held.values())
        return self._reserved + own + self.foreign(now)
