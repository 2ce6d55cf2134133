"""The control daemons that a gateway knows, by what the daemons tell of their group. Pure.

A single daemon may be wrong: one whose disk was lost knows no members until it is let in again, and
one that is cut off from the group lists members that were replaced long ago. If its list replaced
all others, the gateway would lose the live daemons for good.
"""

# A daemon that no list has named for this time is dropped.
_RETENTION_SECONDS = 60.0


class ControlDirectory:
    """Addresses of control daemons: the configured ones, and those that daemons have listed.

    `data_centre` is that of the gateway, whose daemons come first. Times are monotonic seconds.
    """

    def __init__(self, data_centre: str, configured: list[str]):
        self._data_centre = data_centre
        self._configured = list(configured)
        # The last list that named any member, in the order of preference.
        self._newest: list[str] = []
        self._listed_at: dict[str, float] = {}

    def set_configured(self, addresses: list[str]) -> None:
        """Replace the configured addresses."""
        self._configured = list(addresses)

    def update(self, members: list[tuple[str, str]], now: float) -> None:
        """Take one daemon's list of (address, data centre); an empty one says nothing."""
        if not members:
            return
        local = [address for address, place in members if place == self._data_centre]
        self._newest = list(dict.fromkeys([*local, *(address for address, _ in members)]))
        self._listed_at |= dict.fromkeys(self._newest, now)
        for address, listed_at in list(self._listed_at.items()):
            if now - listed_at > _RETENTION_SECONDS:
                del self._listed_at[address]

    def addresses(self) -> list[str]:
        """Return the members of the newest list, then the configured and the others."""
        preferred = self._newest or self._configured
        known = self._listed_at.keys() | self._configured
        return [*preferred, *sorted(known - set(preferred))]
