"""The data folder under torn writes, corruption, full disks and restarts."""

import os
import random

import pytest

from traystall.consensus.models import (
    AppendLog,
    HardState,
    MemberRecord,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
    TruncateLog,
)
from traystall.core.exceptions import CorruptLog, DiskFailed, StorageError
from traystall.rpc.gen.wire.ttypes import LogEntry
from traystall.storage import folder as folder_module
from traystall.storage.folder import DataFolder
from traystall.storage.records import encode_record, scan

MEMBERS = (MemberRecord("a/1", "127.0.0.1:1", "place", True),)


def entry(index, term=1, command=b"command"):
    return LogEntry(index=index, term=term, kind=1, command=command)


def open_folder(path):
    """Return an opened folder and the recovered state."""
    folder = DataFolder(str(path))
    return folder, folder.open("cluster", "a")


def recover(path):
    """Return the state that a restart recovers."""
    folder, recovered = open_folder(path)
    folder.close()
    return recovered


def indexes(recovered):
    log = recovered.log
    return [e.index for e in log.entries_between(log.snapshot_index + 1, log.last_index)]


def test_writes_are_recovered(tmp_path):
    folder, first = open_folder(tmp_path)
    assert (first.hard_state, first.log.last_index) == (HardState(), 0)
    folder.write([SaveHardState(HardState(3, "a/1")), AppendLog([entry(1), entry(2), entry(3, 2)])])
    folder.write([TruncateLog(3), AppendLog([entry(3, 3), entry(4, 3)])])
    folder.close()
    again = recover(tmp_path)
    assert again.hard_state == HardState(3, "a/1")
    assert [again.log.term_at(i) for i in range(1, 5)] == [1, 1, 3, 3]


@pytest.mark.parametrize("keep_entries", [True, False])
def test_entries_written_together_with_a_snapshot_are_kept_once(tmp_path, keep_entries):
    folder, _ = open_folder(tmp_path)
    folder.write([AppendLog([entry(1), entry(2), entry(3)])])
    snapshot = Snapshot(2 if keep_entries else 3, 1, MEMBERS, b"state")
    folder.write([SaveSnapshot(snapshot, keep_entries), AppendLog([entry(4)])])
    folder.write([SaveSnapshot(Snapshot(3, 1, MEMBERS, b"state"), True), AppendLog([entry(5)])])
    folder.close()
    assert indexes(recover(tmp_path)) == [4, 5]


def test_identity_stays_and_a_new_folder_is_a_new_incarnation(tmp_path):
    folder, _ = open_folder(tmp_path / "one")
    name = folder.identity.name
    folder.close()
    again, _ = open_folder(tmp_path / "one")
    assert again.identity.name == name
    other, _ = open_folder(tmp_path / "two")
    assert other.identity.name != name


def test_foreign_folder_and_second_process_are_refused(tmp_path):
    folder, _ = open_folder(tmp_path)
    with pytest.raises(StorageError, match="Another process"):
        open_folder(tmp_path)
    folder.close()
    with pytest.raises(StorageError, match="belongs to instance 'a'"):
        DataFolder(str(tmp_path)).open("cluster", "b")


def test_log_without_identity_is_refused(tmp_path):
    folder, _ = open_folder(tmp_path)
    folder.write([AppendLog([entry(1)])])
    folder.close()
    (tmp_path / "identity").unlink()
    with pytest.raises(CorruptLog, match="no identity"):
        open_folder(tmp_path)


def newest_segment(path):
    return sorted(path.glob("log-*.wal"))[-1]


def test_torn_tail_is_cut_at_every_byte(tmp_path):
    folder, _ = open_folder(tmp_path)
    folder.write([AppendLog([entry(1)])])
    whole = newest_segment(tmp_path).stat().st_size
    folder.write([AppendLog([entry(2), entry(3)])])
    folder.close()
    data = newest_segment(tmp_path).read_bytes()
    for length in range(whole, len(data)):
        newest_segment(tmp_path).write_bytes(data[:length])
        assert indexes(recover(tmp_path)) == [1]
        assert newest_segment(tmp_path).stat().st_size == whole
    newest_segment(tmp_path).write_bytes(data)
    assert indexes(recover(tmp_path)) == [1, 2, 3]


def test_damage_in_the_middle_is_refused_at_every_byte(tmp_path):
    folder, _ = open_folder(tmp_path)
    folder.write([AppendLog([entry(1)])])
    first = newest_segment(tmp_path).stat().st_size
    folder.write([AppendLog([entry(2)])])
    folder.close()
    data = newest_segment(tmp_path).read_bytes()
    for position in range(first):
        damaged = bytearray(data)
        damaged[position] ^= 0x40
        newest_segment(tmp_path).write_bytes(damaged)
        with pytest.raises(CorruptLog, match="replace this member"):
            open_folder(tmp_path)


def test_damaged_snapshot_is_refused(tmp_path):
    folder, _ = open_folder(tmp_path)
    folder.write([AppendLog([entry(1), entry(2)])])
    folder.write([SaveSnapshot(Snapshot(2, 1, MEMBERS, b"state"), keep_entries=True)])
    folder.close()
    data = bytearray((tmp_path / "snapshot").read_bytes())
    data[-1] ^= 1
    (tmp_path / "snapshot").write_bytes(data)
    with pytest.raises(CorruptLog):
        open_folder(tmp_path)


class _SimulatedCrash(Exception):
    """Simulate a crash of the process."""


@pytest.mark.parametrize("keep", [True, False])
def test_crash_at_each_step_of_a_snapshot(tmp_path, monkeypatch, keep):
    """Crash before each file operation: recovery returns the old or the new state, no mixture."""
    steps = 0
    while True:
        path = tmp_path / f"{keep}{steps}"
        folder, _ = open_folder(path)
        folder.write([SaveHardState(HardState(2, "b/1")), AppendLog([entry(i) for i in (1, 2, 3)])])
        index = 2 if keep else 10
        snapshot = Snapshot(index, 1 if keep else 5, MEMBERS, b"state")
        with monkeypatch.context() as patch:
            crash_after(patch, steps)
            try:
                folder.write([SaveSnapshot(snapshot, keep_entries=keep)])
                finished = True
            except _SimulatedCrash:
                finished = False
        folder.close()
        again = recover(path)
        assert again.hard_state == HardState(2, "b/1")
        old = again.log.snapshot is None
        assert indexes(again) == ([1, 2, 3] if old else [3] if keep else [])
        if finished:
            assert not old
            assert steps > 3
            return
        steps += 1


def crash_after(patch, steps):
    """Raise _SimulatedCrash at the file operation after the first `steps` ones."""
    left = [steps]

    def guarded(original):
        def call(*words, **named):
            if left[0] == 0:
                raise _SimulatedCrash
            left[0] -= 1
            return original(*words, **named)

        return call

    patch.setattr(folder_module.os, "fsync", guarded(os.fsync))
    patch.setattr(folder_module.Path, "replace", guarded(folder_module.Path.replace))
    patch.setattr(folder_module.Path, "unlink", guarded(folder_module.Path.unlink))


@pytest.mark.parametrize("error", [OSError(28, "No space left"), OSError(5, "I/O error")])
def test_failed_sync_is_fatal(tmp_path, monkeypatch, error):
    folder, _ = open_folder(tmp_path)

    def fail(_):
        raise error

    monkeypatch.setattr(folder_module.os, "fsync", fail)
    with pytest.raises(DiskFailed, match=str(tmp_path)):
        folder.write([AppendLog([entry(1)])])


def test_disk_use_stays_bounded(tmp_path):
    """10,000 changes with periodic snapshots leave less than 400,000 bytes on disk."""
    folder, _ = open_folder(tmp_path)
    for index in range(1, 10_001, 100):
        folder.write([AppendLog([entry(i, 1, b"x" * 200) for i in range(index, index + 100)])])
        if index % 1000 == 901:
            newest = Snapshot(index + 50, 1, MEMBERS, b"s" * 1000)
            folder.write([SaveSnapshot(newest, keep_entries=True)])
    folder.close()
    assert sum(f.stat().st_size for f in tmp_path.iterdir()) < 400_000
    assert recover(tmp_path).log.last_index == 10_000


def test_random_writes_and_restarts_match_a_list(tmp_path):
    """Compare the folder with a list as its model, over random writes and restarts."""
    rng = random.Random(7)
    folder, _ = open_folder(tmp_path)
    model: list[tuple[int, int]] = []
    base, term = 0, 1
    for _ in range(150):
        action = rng.random()
        last = base + len(model)
        if action < 0.6:
            new = [entry(last + n, term) for n in range(1, rng.randint(2, 5))]
            folder.write([AppendLog(new)])
            model += [(e.index, e.term) for e in new]
        elif action < 0.75 and model:
            cut = rng.randint(base + 1, last)
            term += 1
            folder.write([TruncateLog(cut), AppendLog([entry(cut, term)])])
            model = [m for m in model if m[0] < cut] + [(cut, term)]
        elif action < 0.85 and model:
            at = rng.randint(base + 1, last)
            at_term = dict(model)[at]
            folder.write([SaveSnapshot(Snapshot(at, at_term, MEMBERS, b""), keep_entries=True)])
            model, base = [m for m in model if m[0] > at], at
        else:
            folder.close()
            folder, recovered = open_folder(tmp_path)
            found = [(i, recovered.log.term_at(i)) for i in indexes(recovered)]
            assert found == model


def test_scan_distinguishes_a_torn_tail_from_damage():
    one, two = encode_record(b"one"), encode_record(b"two")
    assert scan(one + two[:-1], "log", True).payloads == [b"one"]
    with pytest.raises(CorruptLog):
        scan(one[:-1] + two, "log", True)
    with pytest.raises(CorruptLog):
        scan(one + two[:-1], "log", False)
