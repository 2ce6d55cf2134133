"""Typed records of the replicated log: members, snapshots, durable writes, outputs.

Wire messages and log entries are the generated thrift classes; what never
leaves the process is declared here.
"""

from enum import IntEnum, StrEnum

import msgspec

from traystall.core.serialization import pack, unpack


class EntryKind(IntEnum):
    """Say what a log entry carries."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Role(StrEnum):
    """Name the part that a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(msgspec.Struct, frozen=True):
    """Hold the protocol's times in seconds on the monotonic clock."""

    election_min: float = 1.0
    election_max: float = 2.0
    heartbeat: float = 0.2
    # Fraction by which clocks of two instances may drift apart during one lease.
    drift: float = 0.1

    @property
    def lease(self) -> float:
        """Return how long an acknowledged heartbeat keeps the leader's lease."""
        return self.election_min * (1 - self.drift)


class MemberRecord(msgspec.Struct, frozen=True):
    """Describe one replica of the group; identity is instance and disk incarnation."""

    identity: str
    address: str
    data_centre: str
    voter: bool


class HardState(msgspec.Struct, frozen=True):
    """Hold what must be synced before any message that depends on it."""

    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state after `index`, and the members in force there."""

    index: int
    term: int
    members: tuple[MemberRecord, ...]
    data: bytes


class SaveHardState(msgspec.Struct, frozen=True):
    """Ask storage to save term and vote."""

    state: HardState


class TruncateLog(msgspec.Struct, frozen=True):
    """Ask storage to drop the entries from `index` on."""

    index: int


class AppendLog(msgspec.Struct, frozen=True):
    """Ask storage to append `entries`."""

    entries: list


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Ask storage to replace the log up to the snapshot's index by the snapshot."""

    snapshot: Snapshot
    keep_entries: bool


class Ready(msgspec.Struct):
    """Collect what the driver must do, in this order: see `take_ready`."""

    messages: list = msgspec.field(default_factory=list)
    writes: list = msgspec.field(default_factory=list)
    messages_after_sync: list = msgspec.field(default_factory=list)
    restore: Snapshot | None = None
    committed: list = msgspec.field(default_factory=list)

    def __bool__(self):
        return bool(
            self.messages
            or self.writes
            or self.messages_after_sync
            or self.restore
            or self.committed
        )


def encode_members(members) -> bytes:
    """Return the log form of a collection of member records."""
    return pack(sorted(members, key=lambda member: member.identity))


def decode_members(data: bytes) -> tuple[MemberRecord, ...]:
    """Return the member records in `data`."""
    return unpack(data, tuple[MemberRecord, ...])
