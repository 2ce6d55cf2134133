"""The data folder of a control daemon: identity, log segments, snapshot.

All operations block; the daemon calls them in an executor, one at a time. A failed write or sync
raises DiskFailed. After a failed fsync, the content of the disk beyond the last successful sync is
unknown. `retry` therefore truncates the segment to its synced length and writes all pending writes
to a new segment. A pending snapshot replaces the pending writes before it: a disk that is full of
log then has to take the snapshot only, and deletes the log.
"""

import contextlib
import errno
import fcntl
import os
from pathlib import Path

import msgspec
import xxhash

from traystall.consensus.log import ReplicaLog
from traystall.consensus.models import (
    AppendLog,
    HardState,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
    TruncateLog,
)
from traystall.core.exceptions import CorruptLog, DiskFailed, StorageError
from traystall.core.ids import new_id
from traystall.core.serialization import pack, unpack
from traystall.rpc.gen.wire.ttypes import LogEntry
from traystall.storage.records import encode_record, scan

SEGMENT_BYTES = 8 * 1024 * 1024
_IDENTITY_FILE = "identity"
_LOCK_FILE = "lock"
_SNAPSHOT_FILE = "snapshot"
_CHECKSUM_BYTES = 8


class Identity(msgspec.Struct, frozen=True):
    """Identify the owner of a data folder; a new folder is a new incarnation."""

    cluster: str
    instance: str
    incarnation: str

    @property
    def name(self) -> str:
        """Return the replica identity."""
        return f"{self.instance}/{self.incarnation}"


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold one log entry in its stored form."""

    index: int
    term: int
    kind: int
    command: bytes


class Batch(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the writes of one record, in order; they are synced together."""

    steps: list["BatchStep"]


class BatchStep(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one write of a batch; exactly one field is set."""

    state: HardState | None = None
    truncate: int | None = None
    entries: list[StoredEntry] | None = None


class StoredSnapshot(msgspec.Struct, frozen=True):
    """Hold a snapshot in its stored form.

    Segments with numbers below `first_segment` belong to a log that the snapshot replaced. They are
    ignored, and `hard_state` replaces the hard state that they recorded.
    """

    snapshot: Snapshot
    hard_state: HardState
    first_segment: int


class RecoveredState(msgspec.Struct):
    """Hold the hard state and the log recovered from a data folder."""

    hard_state: HardState
    log: ReplicaLog


class DataFolder:
    """Manage one data folder; call `open` before any `write`.

    `capacity_bytes` is the size of the disk for this folder, 0 if no limit is known.
    """

    def __init__(self, path: str, capacity_bytes: int = 0):
        self._path = Path(path)
        self.capacity_bytes = capacity_bytes
        # The size of all files of the folder.
        self.used_bytes = 0
        self._segment = None
        self._segment_number = 0
        self._segment_bytes = 0
        self._first_segment = 0
        self._hard_state = HardState()
        self._entries: list[StoredEntry] = []
        # The entry that was due while the log is replayed, and the one that came in its place.
        self._gap: tuple[int, int] | None = None
        self._lock = None
        # Writes that are not durable yet; each is replaced by its BatchStep when it is first tried.
        self._pending: list = []
        # Whether a pending snapshot replaces the whole log, so that no older segment counts.
        self._replaces_log = False
        # The segment whose write failed, and its synced length in bytes.
        self._damaged_segment: tuple[Path, int] | None = None
        self.identity: Identity | None = None

    def open(self, cluster: str, instance: str) -> RecoveredState:
        """Return the recovered state; create the folder and its identity if it is new."""
        try:
            self._path.mkdir(parents=True, exist_ok=True)
            self._acquire_lock()
            self.identity = self._load_identity(cluster, instance)
            stored = self._load_snapshot()
            self._replay(stored)
            self._open_segment()
            self._measure_use()
        except OSError as error:
            raise DiskFailed(f"The data folder {self._path} cannot be used: {error}.") from error
        entries = [_to_wire(entry) for entry in self._entries]
        snapshot = stored.snapshot if stored else None
        return RecoveredState(self._hard_state, ReplicaLog(snapshot, entries))

    def write(self, writes) -> None:
        """Make `writes` durable in their order; return only once they are synced.

        After DiskFailed the writes stay pending: call `retry` until it succeeds.
        """
        self._pending += writes
        self._write_pending()

    def retry(self, writes=()) -> None:
        """Try again to make pending writes and `writes` durable.

        Raise DiskFailed if the disk still fails.
        """
        self._pending += writes
        self._fold_pending()
        try:
            self._abandon_damaged_segment()
        except OSError as error:
            raise DiskFailed(f"The disk of {self._path} still fails: {error}.") from error
        self._write_pending()

    def _write_pending(self):
        try:
            while self._pending:
                self._write_next()
        except OSError as error:
            if self._damaged_segment is None:
                self._damaged_segment = (self._current_path(), self._segment_bytes)
            raise DiskFailed(f"A write to {self._path} failed: {error}.") from error

    def _fold_pending(self):
        """Drop the pending writes before the last pending snapshot.

        `_save_snapshot` writes what they leave: the hard state and the entries after the snapshot.
        """
        snapshots = [n for n, write in enumerate(self._pending) if isinstance(write, SaveSnapshot)]
        if not snapshots:
            return
        for write in self._pending[: snapshots[-1]]:
            if isinstance(write, SaveSnapshot):
                self._drop_covered_entries(write)
                self._replaces_log |= not write.keep_entries
            elif not isinstance(write, BatchStep):
                self._to_step(write)
        del self._pending[: snapshots[-1]]

    def _write_next(self):
        if isinstance(self._pending[0], SaveSnapshot):
            self._save_snapshot(self._pending[0])
            del self._pending[0]
            return
        steps = []
        for position, write in enumerate(self._pending):
            if isinstance(write, SaveSnapshot):
                # Writes after a snapshot must not become durable before it is saved.
                break
            if not isinstance(write, BatchStep):
                write = self._pending[position] = self._to_step(write)
            steps.append(write)
        self._write_batch(steps)
        del self._pending[: len(steps)]

    def _abandon_damaged_segment(self):
        """Truncate the segment whose write failed to its synced length, and start a new one."""
        if self._damaged_segment is None:
            return
        path, synced_bytes = self._damaged_segment
        if path.exists():
            self._truncate_segment(path, synced_bytes)
        self._start_segment()
        self._damaged_segment = None

    def _current_path(self):
        return self._path / f"log-{self._segment_number:012d}.wal"

    def close(self) -> None:
        """Close the open files."""
        for file in (self._segment, self._lock):
            if file is not None:
                file.close()

    # ---- identity ----

    def _acquire_lock(self):
        self._lock = open(self._path / _LOCK_FILE, "w")  # noqa: SIM115 - open until close.
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageError(f"Another process uses the data folder {self._path}.") from error

    def _load_identity(self, cluster, instance):
        path = self._path / _IDENTITY_FILE
        if path.exists():
            stored = self._read_identity(path)
            if (stored.cluster, stored.instance) != (cluster, instance):
                raise StorageError(
                    f"The data folder {self._path} belongs to instance '{stored.instance}' of "
                    f"cluster '{stored.cluster}', not to '{instance}' of '{cluster}'."
                )
            return stored
        if self._segments() or (self._path / _SNAPSHOT_FILE).exists():
            raise CorruptLog(f"{self._path} holds a log but no identity; it can't be trusted.")
        identity = Identity(cluster, instance, new_id())
        self._write_file(path, msgspec.json.encode(identity))
        return identity

    def _read_identity(self, path):
        try:
            return msgspec.json.decode(path.read_bytes(), type=Identity)
        except msgspec.DecodeError as error:
            raise CorruptLog(f"{path} can't be read: {error}.") from error

    # ---- log ----

    def _segments(self):
        return sorted(self._path.glob("log-*.wal"))

    def _replay(self, stored):
        base = stored.snapshot.index if stored else 0
        first_segment = self._first_segment = stored.first_segment if stored else 0
        self._hard_state = stored.hard_state if stored else HardState()
        segments = self._segments()
        for path in segments:
            self._segment_number = _segment_number(path)
            if self._segment_number < first_segment:
                continue
            data = path.read_bytes()
            is_last = path == segments[-1]
            result = scan(data, path.name, is_last)
            if result.valid_bytes < len(data):
                self._truncate_segment(path, result.valid_bytes)
            for payload in result.payloads:
                self._replay_batch(unpack(payload, Batch), base)
        if self._gap is not None:
            missing, found = self._gap
            raise CorruptLog(f"The log in {self._path} goes from entry {missing - 1} to {found}.")

    def _truncate_segment(self, path, length):
        with open(path, "r+b") as segment:
            segment.truncate(length)
            os.fsync(segment.fileno())

    def _replay_batch(self, batch, base):
        for step in batch.steps:
            if step.state is not None:
                self._hard_state = step.state
            if step.truncate is not None:
                self._entries = [e for e in self._entries if e.index < step.truncate]
                if step.truncate == base + 1:
                    # All that came before is void. A snapshot writes this, and replaces the
                    # segments before, of which any may be left.
                    self._gap = None
            for entry in step.entries or ():
                if entry.index > base and self._gap is None:
                    self._replay_entry(entry, base)

    def _replay_entry(self, entry, base):
        """Append an entry; one out of order is an error unless the log is truncated as a whole."""
        expected = self._entries[-1].index + 1 if self._entries else base + 1
        if entry.index != expected:
            self._gap = (expected, entry.index)
            return
        self._entries.append(entry)

    def _open_segment(self):
        segments = self._segments()
        if not segments or self._segment_number < self._first_segment:
            self._segment_number = max(self._segment_number, self._first_segment - 1)
            self._start_segment()
            return
        self._segment = open(segments[-1], "ab", buffering=0)  # noqa: SIM115 - open until close.
        self._segment_bytes = segments[-1].stat().st_size

    def _to_step(self, write):
        if isinstance(write, SaveHardState):
            self._hard_state = write.state
            return BatchStep(state=write.state)
        if isinstance(write, TruncateLog):
            self._entries = [e for e in self._entries if e.index < write.index]
            return BatchStep(truncate=write.index)
        assert isinstance(write, AppendLog)
        entries = [_to_stored(entry) for entry in write.entries]
        self._entries.extend(entries)
        return BatchStep(entries=entries)

    def _write_batch(self, steps):
        if not steps:
            return
        if self._segment_bytes >= SEGMENT_BYTES:
            self._start_segment()
        record = encode_record(pack(Batch(steps)))
        if self._segment.write(record) != len(record):
            raise OSError(errno.ENOSPC, "The disk took only a part of a record.")
        os.fsync(self._segment.fileno())
        self._segment_bytes += len(record)
        self.used_bytes += len(record)

    def _start_segment(self):
        if self._segment is not None:
            # The file is unbuffered, so closing it can't write the rest of a failed write. Errors
            # are ignored since nothing more is written to it.
            with contextlib.suppress(OSError):
                self._segment.close()
        self._segment_number += 1
        self._segment = open(self._current_path(), "ab", buffering=0)  # noqa: SIM115 - open until close.
        self._segment_bytes = 0
        self._sync_folder()

    # ---- snapshots ----

    def _save_snapshot(self, write):
        """Write the snapshot, then a new segment with the remaining state; delete old segments."""
        snapshot = write.snapshot
        self._drop_covered_entries(write)
        self._replaces_log |= not write.keep_entries
        first_segment = self._segment_number + 1 if self._replaces_log else 0
        data = pack(StoredSnapshot(snapshot, self._hard_state, first_segment))
        checksum = xxhash.xxh64_digest(data)
        self._write_file(self._path / _SNAPSHOT_FILE, checksum + data)
        old = self._segments()
        self._start_segment()
        self._write_batch(self._steps_carried_over(snapshot))
        for path in old:
            path.unlink(missing_ok=True)
        self._sync_folder()
        self._replaces_log = False
        self._measure_use()

    def _drop_covered_entries(self, write):
        if write.keep_entries:
            self._entries = [e for e in self._entries if e.index > write.snapshot.index]
        else:
            self._entries = []

    def _steps_carried_over(self, snapshot):
        """Return steps that restore the state regardless of the content of older segments."""
        return [
            BatchStep(state=self._hard_state),
            BatchStep(truncate=snapshot.index + 1),
            BatchStep(entries=list(self._entries)),
        ]

    def _load_snapshot(self):
        path = self._path / _SNAPSHOT_FILE
        if not path.exists():
            return None
        data = path.read_bytes()
        if xxhash.xxh64_digest(data[_CHECKSUM_BYTES:]) != data[:_CHECKSUM_BYTES]:
            raise CorruptLog(
                f"{path.name} has a bad checksum. This disk can't be trusted: move its data "
                "folder away and replace this member (see the repair page)."
            )
        return unpack(data[_CHECKSUM_BYTES:], StoredSnapshot)

    # ---- files ----

    def _write_file(self, path, data):
        """Replace the content of `path` atomically: a crash leaves the old or the new content."""
        temporary = path.with_suffix(".new")
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            # An incomplete file would take room on a full disk.
            with contextlib.suppress(OSError):
                temporary.unlink(missing_ok=True)
            raise
        temporary.replace(path)
        self._sync_folder()

    def _measure_use(self):
        with os.scandir(self._path) as files:
            self.used_bytes = sum(file.stat().st_size for file in files if file.is_file())

    def _sync_folder(self):
        descriptor = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _segment_number(path):
    return int(path.stem.removeprefix("log-"))


def _to_stored(entry):
    return StoredEntry(entry.index, entry.term, entry.kind, entry.command or b"")


def _to_wire(entry):
    return LogEntry(index=entry.index, term=entry.term, kind=entry.kind, command=entry.command)
