"""The directory of gateways: who serves where, with which revision, seen how long ago."""

import zlib
from collections.abc import Iterable

import msgspec

from traystall.tables.changes import REMEMBERED_DROPS, ChangeLog

# A gateway not seen for this many seconds is no longer counted as live.
GATEWAY_TIMEOUT_SECONDS = 5.0


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
    # Whether it knows permits of limited targets.
    lends: bool = False
    # How much it can do beside others, in whatever unit all use; 0 where it doesn't say.
    size: float = 0.0


class DirectoryDelta(msgspec.Struct, frozen=True):
    """Hold the rows that changed since a version, and the identities that are dropped."""

    changed: list[GatewayRow]
    dropped: list[str]


def directory_check(rows: Iterable[GatewayRow]) -> int:
    """Return a checksum of what decisions depend on, the same in any order of the rows."""
    lines = sorted(f"{row.identity} {row.state} {' '.join(row.leaving)}\n" for row in rows)
    return zlib.crc32("".join(lines).encode())


class GatewayTable:
    """Hold gateways by identity; `version` grows when what a neighbour must know changes."""

    def __init__(self, remembered_drops: int = REMEMBERED_DROPS):
        self._changes = ChangeLog(remembered_drops)
        self._rows: dict[str, GatewayRow] = {}
        self._checked = (0, 0)

    @property
    def version(self) -> int:
        """Return the version of what neighbours must know."""
        return self._changes.version

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
            self._changes.change(row.identity)
        self._rows[row.identity] = row

    def live(self, now: float) -> list[GatewayRow]:
        """Return the gateways seen lately, in the order of their names."""
        self.expire(now)
        return sorted(self._rows.values(), key=lambda row: row.identity)

    def is_live(self, identity: str, now: float) -> bool:
        """Return whether the gateway was seen lately."""
        self.expire(now)
        return identity in self._rows

    def since(self, version: int) -> DirectoryDelta | None:
        """Return what changed after `version`, or None if only the whole can tell."""
        found = self._changes.since(version)
        if found is None:
            return None
        changed, dropped = found
        return DirectoryDelta([self._rows[identity] for identity in changed], dropped)

    def check(self) -> int:
        """Return the checksum of the rows that are held."""
        version, check = self._checked
        if version != self.version:
            check = directory_check(self._rows.values())
            self._checked = (self.version, check)
        return check

    def expire(self, now: float) -> None:
        """Drop the gateways that have been silent too long."""
        gone = [row for row in self._rows.values() if now - row.seen_at > GATEWAY_TIMEOUT_SECONDS]
        for row in gone:
            self._drop(row.identity)

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
            self._drop(identity)

    def _drop(self, identity):
        del self._rows[identity]
        self._changes.drop(identity)


def _public(row):
    return (
        row.data_centre,
        row.address,
        row.rpc_address,
        row.state,
        row.leaving,
        row.lends,
        row.size,
    )
