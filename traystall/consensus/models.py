"""Types of the replicated log: members, snapshots, durable writes and a replica's outputs.

Wire messages and log entries are generated thrift classes and not declared here.
"""

from enum import IntEnum, StrEnum

import msgspec

from traystall.core.serialization import pack, unpack


class EntryKind(IntEnum):
    """Name the content type of a log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Role(StrEnum):
    """Name the role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(msgspec.Struct, frozen=True):
    """Hold the protocol's timeouts and intervals in seconds."""

    election_min: float = 1.0
    election_max: float = 2.0
    heartbeat: float = 0.2
    # Fraction by which the clocks of two instances may drift apart during a lease.
    drift: float = 0.1

    @property
    def lease(self) -> float:
        """Return for how many seconds an acknowledged heartbeat extends the leader's lease."""
        return self.election_min * (1 - self.drift)


class MemberRecord(msgspec.Struct, frozen=True):
    """Describe one replica of the group; its identity is its instance and disk incarnation."""

    identity: str
    address: str
    data_centre: str
    voter: bool


class HardState(msgspec.Struct, frozen=True):
    """Hold the term and vote, which are synced before any message that depends on them is sent."""

    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state after the entry `index`, and the members in force there."""

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
    """Collect the outputs of a replica for its driver; see `Replica.take_ready` for the order."""

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
    """Return member records as encoded in a log entry or snapshot chunk."""
    return pack(sorted(members, key=lambda member: member.identity))


def decode_members(data: bytes) -> tuple[MemberRecord, ...]:
    """Return the member records in `data`."""
    return unpack(data, tuple[MemberRecord, ...])
