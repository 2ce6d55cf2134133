"""The in-memory view of a replica's log: a snapshot point and the entries after it."""

from traystall.consensus.models import EntryKind, MemberRecord, Snapshot, decode_members


class ReplicaLog:
    """Hold the entries after a snapshot, and look them up by index."""

    def __init__(self, snapshot: Snapshot | None = None, entries=()):
        self.snapshot = snapshot
        self._entries = list(entries)
        self._member_changes: list[tuple[int, tuple[MemberRecord, ...]]] = []
        for entry in self._entries:
            self._record_members(entry)

    @property
    def snapshot_index(self) -> int:
        """Return the index that the snapshot covers, 0 without one."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.snapshot_index + len(self._entries)

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
        if index == self.snapshot_index:
            return self.snapshot.term
        position = index - self.snapshot_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return -1

    def slice(self, first: int, max_entries: int, max_bytes: int) -> list:
        """Return entries from `first` on within both limits, but at least one if there is any."""
        start = first - self.snapshot_index - 1
        chosen = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.command or b"")
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def entries_between(self, first: int, last: int) -> list:
        """Return the entries from `first` to `last`, both included."""
        base = self.snapshot_index + 1
        return self._entries[first - base : last - base + 1]

    def append(self, entry) -> None:
        """Append one entry; its index must be the next one."""
        assert entry.index == self.last_index + 1
        self._entries.append(entry)
        self._record_members(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self._entries[index - self.snapshot_index - 1 :]
        while self._member_changes and self._member_changes[-1][0] >= index:
            self._member_changes.pop()

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index after the snapshot with the same term as the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        keep = self._entries[snapshot.index - self.snapshot_index :]
        self.snapshot = snapshot
        self._entries = keep
        self._member_changes = [
            change for change in self._member_changes if change[0] > snapshot.index
        ]

    def reset(self, snapshot: Snapshot) -> None:
        """Drop every entry and start after `snapshot`."""
        self.snapshot = snapshot
        self._entries = []
        self._member_changes = []

    def _record_members(self, entry):
        if entry.kind == EntryKind.MEMBERS:
            self._member_changes.append((entry.index, decode_members(entry.command)))
