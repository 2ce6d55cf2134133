"""The directory of gateways: who serves where, with which revision, seen how long ago."""

import msgspec

# A gateway not seen for this many seconds is no longer counted as live.
GATEWAY_LIFETIME = 5.0


class GatewayRow(msgspec.Struct):
    """Describe one running gateway; `seen_at` is monotonic seconds of this process."""

    identity: str
    instance: str
    data_centre: str
    address: str
    rpc_address: str
    number: int
    state: str
    seen_at: float
    direct: bool
    # Targets that it knows to be leaving, as name@incarnation.
    leaving: tuple[str, ...] = ()
    # When it started, in monotonic seconds of this process.
    started_at: float = float("-inf")
    # The version of the evacuations that it obeys.
    evacuation_version: int = 0


class GatewayTable:
    """Hold gateways by identity; `version` grows when what a neighbour must know changes."""

    def __init__(self):
        self.version = 1
        self._rows: dict[str, GatewayRow] = {}

    def put(self, row: GatewayRow) -> None:
        """Store a row unless a newer sign of the same gateway is held."""
        old = self._rows.get(row.identity)
        if old is not None and old.seen_at > row.seen_at:
            return
        if old is not None:
            row.number = max(row.number, old.number)
            row.evacuation_version = max(row.evacuation_version, old.evacuation_version)
        self._drop_predecessors(row)
        if old is None or _public(old) != _public(row):
            self.version += 1
        self._rows[row.identity] = row

    def live(self, now: float) -> list[GatewayRow]:
        """Return the gateways seen lately, in the order of their names."""
        self._expire(now)
        return sorted(self._rows.values(), key=lambda row: row.identity)

    def is_live(self, identity: str, now: float) -> bool:
        """Return whether the gateway was seen lately."""
        self._expire(now)
        return identity in self._rows

    def _drop_predecessors(self, row):
        """Forget older incarnations of the same instance."""
        stale = [
            other.identity
            for other in self._rows.values()
            if other.instance == row.instance
            and other.identity != row.identity
            and other.seen_at < row.seen_at
        ]
        for identity in stale:
            del self._rows[identity]
            self.version += 1

    def _expire(self, now):
        gone = [row for row in self._rows.values() if now - row.seen_at > GATEWAY_LIFETIME]
        for row in gone:
            del self._rows[row.identity]
            self.version += 1


def _public(row):
    return (row.data_centre, row.address, row.rpc_address, row.state, row.leaving)
