"""Trials that a gateway grants itself while it can't ask the leader. Pure; monotonic seconds.

A data centre that is cut off goes on serving: a suspect is sent once at a time, and what became of
that decides here until the leader can be asked again.
"""

import msgspec

# After a local trial that ended its target a request is refused for so long, in seconds: most cuts
# are over by then, and the leader decides.
LOCAL_REFUSED_SECONDS = 30.0


class _LocalTrial(msgspec.Struct):
    """Hold what local trials of one request told."""

    is_under_way: bool = False
    refused_until: float = float("-inf")
    # So many ends a whole answer has explained.
    cleared_ends: int = 0


class LocalTrials:
    """Decide on suspects at one gateway; forgotten when the leader answers again."""

    def __init__(self):
        self._trials: dict[bytes, _LocalTrial] = {}

    def is_cleared(self, digest: bytes, ends: int) -> bool:
        """Return whether a request got a whole answer here after so many ends."""
        found = self._trials.get(digest)
        return found is not None and found.cleared_ends >= ends

    def begin(self, digest: bytes, now: float) -> bool:
        """Return whether a request may be sent as a trial now."""
        found = self._trials.setdefault(digest, _LocalTrial())
        if found.is_under_way or now < found.refused_until:
            return False
        found.is_under_way = True
        return True

    def ended(self, digest: bytes, now: float) -> None:
        """Take in that a trial ended its target."""
        found = self._trials.get(digest)
        if found is not None:
            found.refused_until = now + LOCAL_REFUSED_SECONDS

    def served(self, digest: bytes, ends: int) -> None:
        """Take in that a request got a whole answer after so many ends."""
        found = self._trials.get(digest)
        if found is not None:
            found.cleared_ends = ends

    def on_finished(self, digest: bytes) -> None:
        """Take in that a trial is over."""
        found = self._trials.get(digest)
        if found is not None:
            found.is_under_way = False

    def forget(self) -> None:
        """Forget all trials that are over: the leader decides again."""
        self._trials = {name: one for name, one in self._trials.items() if one.is_under_way}
