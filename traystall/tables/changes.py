"""Remember at which version each identity last changed, or was dropped, to tell what is new."""

# So many drops are remembered; whoever is further behind is told everything. It is more than twice
# the gateways of the largest site, so that all of them may be replaced between two watches, and
# takes some 100 KB.
REMEMBERED_DROPS = 1024


class ChangeLog:
    """Count versions; `version` grows by one with every change and every drop."""

    def __init__(self, remembered_drops: int = REMEMBERED_DROPS):
        self.version = 1
        self._remembered_drops = remembered_drops
        # What is known since before this version can't be brought up to date.
        self._floor = self.version
        # Both are in the order of their versions, the oldest first.
        self._changed: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def change(self, identity: str) -> None:
        """Note that an identity is new or has changed."""
        self._dropped.pop(identity, None)
        self._changed.pop(identity, None)
        self.version += 1
        self._changed[identity] = self.version

    def drop(self, identity: str) -> None:
        """Note that an identity is no longer held."""
        self._changed.pop(identity, None)
        self._dropped.pop(identity, None)
        self.version += 1
        self._dropped[identity] = self.version
        if len(self._dropped) > self._remembered_drops:
            oldest = next(iter(self._dropped))
            self._floor = self._dropped.pop(oldest)

    def since(self, version: int) -> tuple[list[str], list[str]] | None:
        """Return the identities changed and dropped after `version`; None if that isn't known."""
        if not self._floor <= version <= self.version:
            return None
        return _after(self._changed, version), _after(self._dropped, version)


def _after(versions, version):
    """Return the newest keys, without a look at the many that are older."""
    found = []
    for identity, at in reversed(versions.items()):
        if at <= version:
            break
        found.append(identity)
    return found
