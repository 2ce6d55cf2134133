"""Change log: the version at which each identity was last changed or dropped."""

# Number of remembered drops; a subscriber that is further behind receives a full copy. It is more
# than twice the gateways of the largest site, so that all of them can be replaced between two
# watches, and takes about 100 KB.
REMEMBERED_DROPS = 1024


class ChangeLog:
    """Log of changed and dropped identities; each of them increases `version` by one."""

    def __init__(self, remembered_drops: int = REMEMBERED_DROPS):
        self.version = 1
        self._remembered_drops = remembered_drops
        # Subscribers at an older version can't be updated by changes alone.
        self._floor = self.version
        # Both are sorted by version, oldest first.
        self._changed: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def change(self, identity: str) -> None:
        """Record that an identity was added or changed."""
        self._dropped.pop(identity, None)
        self._changed.pop(identity, None)
        self.version += 1
        self._changed[identity] = self.version

    def drop(self, identity: str) -> None:
        """Record that an identity was removed."""
        self._changed.pop(identity, None)
        self._dropped.pop(identity, None)
        self.version += 1
        self._dropped[identity] = self.version
        if len(self._dropped) > self._remembered_drops:
            oldest = next(iter(self._dropped))
            self._floor = self._dropped.pop(oldest)

    def since(self, version: int) -> tuple[list[str], list[str]] | None:
        """Return the identities changed and dropped after `version`; None if it is out of range."""
        if not self._floor <= version <= self.version:
            return None
        return _after(self._changed, version), _after(self._dropped, version)


def _after(versions, version):
    """Return the keys after `version`, newest first, without a scan of the older ones."""
    found = []
    for identity, at in reversed(versions.items()):
        if at <= version:
            break
        found.append(identity)
    return found
