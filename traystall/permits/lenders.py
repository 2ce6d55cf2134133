"""Select the gateways that grant a target's permits. Pure; times are monotonic seconds.

Rendezvous hashing gives all gateways the same two lenders for a target without communication. They
are in the target's data centre if it has gateways, so that a partitioned data centre continues by
itself. Views of the membership differ for some time, so a gateway grants only the share that it
held in all its views during that time. Two gateways never grant the full limit at once.
"""

from collections.abc import Iterable

import msgspec

from traystall.systems.permits import FIRST_LENDER_SHARE, SECOND_LENDER_SHARE
from traystall.systems.rendezvous import rendezvous_order
from traystall.tables.gateways import GatewayRow

# Upper bound of the time in which views of the membership differ: control daemons notify each other
# and their gateways within two seconds, and a gateway that stops grants no more permits.
SETTLE_SECONDS = 5.0
_LENDER_COUNT = 2


class _MembershipView(msgspec.Struct):
    """The possible lenders since a time, as pairs of name and data centre."""

    since: float
    members: tuple[tuple[str, str], ...]
    lenders_by_target: dict[tuple[str, str], list[str]] = {}

    def lenders_for(self, life, data_centre):
        found = self.lenders_by_target.get((life, data_centre))
        if found is None:
            names = [name for name, location in self.members if location == data_centre]
            names = names or [name for name, _ in self.members]
            found = rendezvous_order(f"limit {life}", names)[:_LENDER_COUNT]
            self.lenders_by_target[life, data_centre] = found
        return found


class LenderRanking:
    """Rank the gateways, and compute the share of a limit that this one may grant."""

    def __init__(self, own: str, settle_seconds: float = SETTLE_SECONDS):
        self._own = own
        self._settle_seconds = settle_seconds
        self._views: list[_MembershipView] = []

    def note(self, rows: Iterable[GatewayRow], now: float) -> None:
        """Update the membership; with an empty directory this gateway is the only member."""
        rows = list(rows)
        eligible = [row for row in rows if row.state == "serving" and row.lends]
        members = tuple(sorted((row.identity, row.data_centre) for row in eligible))
        if not rows:
            members = ((self._own, ""),)
        if not self._views or self._views[-1].members != members:
            self._views.append(_MembershipView(now, members))
        self._remove_old_views(now)

    def lenders(self, life: str, data_centre: str) -> list[str]:
        """Return the names of the two lenders in the order of their rank."""
        return self._views[-1].lenders_for(life, data_centre) if self._views else []

    def part(self, life: str, data_centre: str, now: float) -> float:
        """Return the share of the limit that this gateway may grant now.

        It is the share that its rank gave it in every view of the last `settle_seconds`.
        """
        self._remove_old_views(now)
        if not self._views or self._views[0].since > now - self._settle_seconds:
            return 0.0
        rankings = [view.lenders_for(life, data_centre) for view in self._views]
        if all(ranking[:1] == [self._own] for ranking in rankings):
            return FIRST_LENDER_SHARE
        return SECOND_LENDER_SHARE if all(self._own in ranking for ranking in rankings) else 0.0

    def settled_at(self, life: str, data_centre: str) -> float | None:
        """Return since when this gateway grants a share, or from when on if the members stay.

        Return None if it is no lender in the current view.
        """
        since = None
        for view in reversed(self._views):
            if self._own not in view.lenders_for(life, data_centre):
                break
            since = view.since
        return None if since is None else since + self._settle_seconds

    def _remove_old_views(self, now):
        """Remove views that were replaced before the last `settle_seconds`."""
        while len(self._views) > 1 and self._views[1].since <= now - self._settle_seconds:
            self._views.pop(0)
