"""The software versions that targets of each pool had recently. Pure; times are seconds."""


class VersionHistory:
    """When each version was last seen in each pool, and since when the pool is observed."""

    def __init__(self):
        self._observed_since: dict[str, float] = {}
        # By pool and version, when a target of that version was last known.
        self._seen_at: dict[str, dict[str, float]] = {}
        self._present: dict[str, set[str]] = {}

    def note(self, pool: str, version: str, now: float) -> None:
        """Record that a target of a version was known in a pool."""
        self._observed_since.setdefault(pool, now)
        self._seen_at.setdefault(pool, {})[version] = now

    def set_present(self, present: dict[str, set[str]], now: float) -> None:
        """Replace the versions of the targets that are known now, by pool."""
        for pool, versions in (*self._present.items(), *present.items()):
            for version in versions:
                self.note(pool, version, now)
        self._present = present

    def only_version(self, pools: list[str], seconds: float, now: float) -> str | None:
        """Return the version of all targets known in some pools in the last `seconds`.

        Return None if there were several, or if a pool has not been observed for so long.
        """
        found = set()
        for pool in pools:
            if self._observed_since.get(pool, now) > now - seconds:
                return None
            found |= self._present.get(pool, set())
            found |= {v for v, at in self._seen_at[pool].items() if at > now - seconds}
        return found.pop() if len(found) == 1 else None
