"""Count the room that results take at their maker. Pure; sizes in bytes, monotonic seconds."""

_MIN_SHARE = 0.5
_SHRINK = 0.93
_GROW = 0.004


class RoomBook:
    """Count what one maker holds: results until they are given up, calls under way as a whole."""

    def __init__(self):
        # The part of the declared room that is used: sizes are told only about.
        self.share = 1.0
        self._held: dict[str, tuple[int, float]] = {}
        self._reserved = 0

    def reserve(self, size: int) -> None:
        """Count a call that is about to begin."""
        self._reserved += size

    def unreserve(self, size: int) -> None:
        """Count a call as ended; its results are held one by one."""
        self._reserved -= size

    def hold(self, handle: str, size: int, until: float) -> None:
        """Count a result, `until` its maker drops it by itself."""
        self._held[handle] = (size, until)

    def free(self, handle: str) -> None:
        """Count a result as given up."""
        self._held.pop(handle, None)

    def on_refused(self) -> None:
        """Use less room: the maker had less left than was counted."""
        self.share = max(_MIN_SHARE, self.share * _SHRINK)

    def on_taken(self) -> None:
        """Use a little more room again."""
        self.share = min(1.0, self.share + _GROW)

    def taken(self, now: float) -> int:
        """Return how much room is taken."""
        over = [handle for handle, (_, until) in self._held.items() if until <= now]
        for handle in over:
            del self._held[handle]
        return self._reserved + sum(size for size, _ in self._held.values())
