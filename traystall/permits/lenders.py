"""Which gateways lend the requests that a target takes. Pure; times are monotonic seconds.

All gateways rank the same two for a target without talking, near it if there are any, so that a
data centre that is cut off goes on by itself. Views of the membership differ for a while, so a
gateway lends only what it was ranked for all that while: at no time do two lend the whole.
"""

from collections.abc import Iterable

import msgspec

from traystall.systems.permits import FIRST_PART, SECOND_PART
from traystall.systems.rendezvous import rendezvous_order
from traystall.tables.gateways import GatewayRow

# Views of who serves differ no longer than this, in seconds: control daemons tell each other and
# their gateways within two, and a gateway that stops lends nothing from then on.
SETTLE_SECONDS = 5.0
_LENDERS = 2


class _View(msgspec.Struct):
    """Hold who could lend from a moment on: name and data centre of each."""

    since: float
    members: tuple[tuple[str, str], ...]
    orders: dict[tuple[str, str], list[str]] = {}

    def order(self, life, data_centre):
        found = self.orders.get((life, data_centre))
        if found is None:
            names = [name for name, place in self.members if place == data_centre]
            names = names or [name for name, _ in self.members]
            found = rendezvous_order(f"limit {life}", names)[:_LENDERS]
            self.orders[life, data_centre] = found
        return found


class LenderRanking:
    """Rank the gateways, and tell what this one may lend."""

    def __init__(self, own: str, settle_seconds: float = SETTLE_SECONDS):
        self._own = own
        self._settle_seconds = settle_seconds
        self._views: list[_View] = []

    def note(self, rows: Iterable[GatewayRow], now: float) -> None:
        """Take in who serves now; without any directory this gateway is on its own."""
        rows = list(rows)
        able = [row for row in rows if row.state == "serving" and row.lends]
        members = tuple(sorted((row.identity, row.data_centre) for row in able))
        if not rows:
            members = ((self._own, ""),)
        if not self._views or self._views[-1].members != members:
            self._views.append(_View(now, members))
        self._forget(now)

    def lenders(self, life: str, data_centre: str) -> list[str]:
        """Return the names of the two that lend, the first one first."""
        return self._views[-1].order(life, data_centre) if self._views else []

    def part(self, life: str, data_centre: str, now: float) -> float:
        """Return the part of the limit that this gateway may lend now.

        What it was ranked for in every view since `settle_seconds` ago counts.
        """
        self._forget(now)
        if not self._views or self._views[0].since > now - self._settle_seconds:
            return 0.0
        orders = [view.order(life, data_centre) for view in self._views]
        if all(order[:1] == [self._own] for order in orders):
            return FIRST_PART
        return SECOND_PART if all(self._own in order for order in orders) else 0.0

    def _forget(self, now):
        """Forget views that another one has replaced so long ago that they don't count."""
        while len(self._views) > 1 and self._views[1].since <= now - self._settle_seconds:
            self._views.pop(0)
