"""The directory of gateways: their addresses, data centres, revisions and last heartbeats."""

import zlib
from collections.abc import Iterable

import msgspec

from traystall.tables.changes import REMEMBERED_DROPS, ChangeLog

# A gateway without a heartbeat for this many seconds is removed.
GATEWAY_TIMEOUT_SECONDS = 5.0


class GatewayRow(msgspec.Struct):
    """One running gateway; `seen_at` is monotonic seconds of this process."""

    identity: str
    instance: str
    data_centre: str
    address: str
    rpc_address: str
    number: int
    state: str
    seen_at: float
    direct: bool
    # Targets that the gateway knows to be leaving, as name@incarnation.
    leaving: tuple[str, ...] = ()
    # Start time in monotonic seconds of this process.
    started_at: float = float("-inf")
    # The version of the evacuations that the gateway applies.
    evacuation_version: int = 0
    # Whether the gateway supports permits of limited targets.
    lends: bool = False
    # Whether the gateway keeps the origins of streams for others.
    keeps_streams: bool = False
    # Relative capacity in a unit common to all gateways; 0 if not reported.
    size: float = 0.0


class DirectoryDelta(msgspec.Struct, frozen=True):
    """The rows that changed since a version, and the dropped identities."""

    changed: list[GatewayRow]
    dropped: list[str]


def directory_check(rows: Iterable[GatewayRow]) -> int:
    """Return a checksum of the fields that decisions use, independent of the order of rows."""
    lines = sorted(f"{row.identity} {row.state} {' '.join(row.leaving)}\n" for row in rows)
    return zlib.crc32("".join(lines).encode())


class GatewayTable:
    """Gateways by identity; `version` grows when a field that neighbours use changes."""

    def __init__(self, remembered_drops: int = REMEMBERED_DROPS):
        self._changes = ChangeLog(remembered_drops)
        self._rows: dict[str, GatewayRow] = {}
        self._checksum = (0, 0)

    @property
    def version(self) -> int:
        """Return the version of the fields that neighbours use."""
        return self._changes.version

    def put(self, row: GatewayRow) -> None:
        """Store a row unless a more recent one of the same gateway is present."""
        old = self._rows.get(row.identity)
        if old is not None and old.seen_at > row.seen_at:
            return
        if old is not None:
            row.number = max(row.number, old.number)
            row.evacuation_version = max(row.evacuation_version, old.evacuation_version)
        self._drop_older_incarnations(row)
        if old is None or _published_fields(old) != _published_fields(row):
            self._changes.change(row.identity)
        self._rows[row.identity] = row

    def live(self, now: float) -> list[GatewayRow]:
        """Return the gateways with a recent heartbeat, sorted by identity."""
        self.expire(now)
        return sorted(self._rows.values(), key=lambda row: row.identity)

    def is_live(self, identity: str, now: float) -> bool:
        """Return whether the gateway has a recent heartbeat."""
        self.expire(now)
        return identity in self._rows

    def since(self, version: int) -> DirectoryDelta | None:
        """Return the changes after `version`, or None if a full copy is needed."""
        found = self._changes.since(version)
        if found is None:
            return None
        changed, dropped = found
        return DirectoryDelta([self._rows[identity] for identity in changed], dropped)

    def check(self) -> int:
        """Return the checksum of the current rows."""
        version, check = self._checksum
        if version != self.version:
            check = directory_check(self._rows.values())
            self._checksum = (self.version, check)
        return check

    def expire(self, now: float) -> None:
        """Drop the gateways whose last heartbeat is too old."""
        gone = [row for row in self._rows.values() if now - row.seen_at > GATEWAY_TIMEOUT_SECONDS]
        for row in gone:
            self._drop(row.identity)

    def _drop_older_incarnations(self, row):
        """Drop older incarnations of the same instance."""
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


def _published_fields(row):
    return (
        row.data_centre,
        row.address,
        row.rpc_address,
        row.state,
        row.leaving,
        row.lends,
        row.keeps_streams,
        row.size,
    )
