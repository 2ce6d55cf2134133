"""Choose the gateways that hold the origin of a stream. Pure.

Each gateway computes the holders from its own directory by rendezvous hashing. The hash is over
instances, so that a gateway that restarts holds the same origins as before.
"""

from traystall.systems.rendezvous import rendezvous_order
from traystall.tables.gateways import GatewayRow

# Streams are grouped by their digest, so that the order of the gateways is computed once for each
# group and directory.
GROUPS = 256
# Holders in the data centre of the gateway that began the stream, and in others. The loss of one
# gateway in each data centre, or of all other data centres, leaves a holder.
_OWN_HOLDERS = 2
_OTHER_HOLDERS = 2
# Gateways of each data centre that are asked for an origin.
_ASKED_IN_DATA_CENTRE = 2


def group_of(digest: bytes) -> int:
    """Return the group of a stream."""
    return digest[0] % GROUPS


class HolderRanking:
    """Rank gateways as holders by their data centres; the rankings are cached for a directory."""

    def __init__(self):
        self._identities: tuple[str, ...] = ()
        self._rankings: dict[int, dict[str, list[GatewayRow]]] = {}
        self._rows: list[GatewayRow] = []

    def update(self, rows: list[GatewayRow]) -> None:
        """Use the directory `rows` from now on."""
        newest: dict[str, GatewayRow] = {}
        for row in rows:
            known = newest.get(row.instance)
            if row.keeps_streams and (known is None or row.started_at > known.started_at):
                newest[row.instance] = row
        identities = tuple(sorted(row.identity for row in newest.values()))
        if identities != self._identities:
            self._identities = identities
            self._rows = list(newest.values())
            self._rankings.clear()

    def holders(self, group: int, data_centre: str) -> list[GatewayRow]:
        """Return the gateways that hold the origins of streams that began in a data centre."""
        ranking = self._ranking(group)
        own = ranking.get(data_centre, [])[:_OWN_HOLDERS]
        others = [rows[0] for name, rows in ranking.items() if name != data_centre]
        return own + others[:_OTHER_HOLDERS]

    def candidates(self, group: int) -> list[GatewayRow]:
        """Return the gateways that may hold the origins of a group, wherever the streams began."""
        return [row for rows in self._ranking(group).values() for row in self._asked(rows)]

    def may_hold(self, group: int, identity: str) -> bool:
        """Return whether a gateway is a candidate for the origins of a group."""
        return any(row.identity == identity for row in self.candidates(group))

    def _asked(self, rows):
        return rows[:_ASKED_IN_DATA_CENTRE]

    def _ranking(self, group) -> dict[str, list[GatewayRow]]:
        """Return the gateways by data centre; data centres and gateways are in hash order."""
        found = self._rankings.get(group)
        if found is None:
            by_instance = {row.instance: row for row in self._rows}
            ranking: dict[str, list[GatewayRow]] = {}
            key = f"stream {group}"
            for name in rendezvous_order(key, sorted({row.data_centre for row in self._rows})):
                ranking[name] = []
            for instance in rendezvous_order(key, sorted(by_instance)):
                row = by_instance[instance]
                ranking[row.data_centre].append(row)
            found = self._rankings[group] = ranking
        return found
