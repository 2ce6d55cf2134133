"""The in-memory view of a replica's log: a snapshot point and the entries around it."""

from traystall.consensus.models import EntryKind, MemberRecord, Snapshot, decode_members

# What an entry takes in memory beside its command.
_ENTRY_OVERHEAD_BYTES = 512


class ReplicaLog:
    """Hold the entries after a snapshot and some before it, and look them up by index.

    Entries that the snapshot covers are retained so that a follower that is slightly behind gets
    these instead of the whole snapshot. They are held in memory only.
    """

    def __init__(self, snapshot: Snapshot | None = None, entries=()):
        self.snapshot = snapshot
        self._entries = list(entries)
        # The index and the term of the entry before the first retained one.
        self._base_index = snapshot.index if snapshot else 0
        self._base_term = snapshot.term if snapshot else 0
        self._member_changes: list[tuple[int, tuple[MemberRecord, ...]]] = []
        for entry in self._entries:
            self._record_members(entry)

    @property
    def snapshot_index(self) -> int:
        """Return the index that the snapshot covers, 0 without one."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def first_index(self) -> int:
        """Return the index of the oldest entry that is retained or comes next."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self.term_at(self.last_index)

    @property
    def members(self) -> tuple[MemberRecord, ...]:
        """Return the newest members in the log, committed or not."""
        if self._member_changes:
            return self._member_changes[-1][1]
        return self.snapshot.members if self.snapshot else ()

    @property
    def members_index(self) -> int:
        """Return the index of the entry that set the newest members."""
        return self._member_changes[-1][0] if self._member_changes else self.snapshot_index

    def members_at(self, index: int) -> tuple[MemberRecord, ...]:
        """Return the members in force at `index`."""
        in_force = self.snapshot.members if self.snapshot else ()
        for changed_at, members in self._member_changes:
            if changed_at <= index:
                in_force = members
        return in_force

    def term_at(self, index: int) -> int:
        """Return the term of the entry at `index`, or -1 if this log does not contain it."""
        if index == 0:
            return 0
        if index == self._base_index:
            return self._base_term
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return -1

    def slice(self, first: int, max_entries: int, max_bytes: int) -> list:
        """Return entries from `first` on within both limits, but at least one if there is any."""
        start = first - self.first_index
        chosen = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += entry_bytes(entry)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def entries_between(self, first: int, last: int) -> list:
        """Return the entries from `first` to `last`, both included."""
        base = self.first_index
        return self._entries[first - base : last - base + 1]

    def bytes_after(self, index: int) -> int:
        """Return the size in bytes of the commands of the entries after `index`."""
        return sum(entry_bytes(entry) for entry in self._entries[index - self._base_index :])

    def append(self, entry) -> None:
        """Append one entry; its index must be the next one."""
        assert entry.index == self.last_index + 1
        self._entries.append(entry)
        self._record_members(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self._entries[index - self.first_index :]
        while self._member_changes and self._member_changes[-1][0] >= index:
            self._member_changes.pop()

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index after the snapshot with the same term as the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot, retained_bytes: int = 0) -> None:
        """Replace the entries up to the snapshot's index by the snapshot.

        The newest of these entries are retained, up to `retained_bytes` of memory in total.
        """
        dropped = snapshot.index - self._base_index
        while dropped:
            retained_bytes -= entry_bytes(self._entries[dropped - 1]) + _ENTRY_OVERHEAD_BYTES
            if retained_bytes < 0:
                break
            dropped -= 1
        if dropped:
            self._base_index += dropped
            self._base_term = self._entries[dropped - 1].term
            del self._entries[:dropped]
        self.snapshot = snapshot
        self._member_changes = [
            change for change in self._member_changes if change[0] > snapshot.index
        ]

    def reset(self, snapshot: Snapshot) -> None:
        """Drop every entry and start after `snapshot`."""
        self.snapshot = snapshot
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries = []
        self._member_changes = []

    def _record_members(self, entry):
        if entry.kind == EntryKind.MEMBERS:
            self._member_changes.append((entry.index, decode_members(entry.command)))


def entry_bytes(entry) -> int:
    """Return the size in bytes of an entry's command."""
    return len(entry.command or b"")
