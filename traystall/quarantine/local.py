"""Trials that a gateway grants itself while the leader is unreachable.

A data centre behind a network partition keeps serving. It runs one trial of a suspect at a time and
decides by the outcomes of its own trials until the leader is reachable again. The code does no I/O;
times are monotonic seconds.
"""

import msgspec

# How long a request is refused after a local trial ended its target. Most partitions are shorter,
# and the leader decides afterwards.
_LOCAL_REFUSAL_SECONDS = 30.0


class _LocalTrial(msgspec.Struct):
    """The outcome of the local trials of one request."""

    is_running: bool = False
    refused_until: float = float("-inf")
    # Number of ends before the last complete response.
    cleared_ends: int = 0


class LocalTrials:
    """Decide on suspects at one gateway until the leader responds again."""

    def __init__(self):
        self._trials: dict[bytes, _LocalTrial] = {}

    def is_cleared(self, digest: bytes, ends: int) -> bool:
        """Return whether a request received a complete response here after at least `ends` ends."""
        found = self._trials.get(digest)
        return found is not None and found.cleared_ends >= ends

    def try_begin(self, digest: bytes, now: float) -> bool:
        """Start a trial of a request; return False if it is refused or another one is running."""
        found = self._trials.setdefault(digest, _LocalTrial())
        if found.is_running or now < found.refused_until:
            return False
        found.is_running = True
        return True

    def ended(self, digest: bytes, now: float) -> None:
        """Record that a trial ended its target."""
        found = self._trials.get(digest)
        if found is not None:
            found.refused_until = now + _LOCAL_REFUSAL_SECONDS

    def served(self, digest: bytes, ends: int) -> None:
        """Record that a request received a complete response after `ends` ends."""
        found = self._trials.get(digest)
        if found is not None:
            found.cleared_ends = ends

    def on_finished(self, digest: bytes) -> None:
        """Record that a trial has finished."""
        found = self._trials.get(digest)
        if found is not None:
            found.is_running = False

    def forget(self) -> None:
        """Drop all finished trials, since the leader decides again."""
        self._trials = {name: one for name, one in self._trials.items() if one.is_running}
