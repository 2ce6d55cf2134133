"""Full, failing and torn writes: synced data stays, and pending writes become durable later."""

import contextlib
import random

import pytest

from tests.storage.test_folder import MEMBERS, entry, indexes, open_folder, recover
from traystall.consensus.models import (
    AppendLog,
    HardState,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
    TruncateLog,
)
from traystall.core.exceptions import DiskFailed
from traystall.storage import folder as folder_module


class FailingDisk:
    """Fail operations at random while `failing`; a failed write may leave a torn part behind."""

    def __init__(self, monkeypatch, rng):
        self.failing = False
        self._rng = rng
        self._open, self._fsync = open, folder_module.os.fsync
        monkeypatch.setattr(folder_module, "open", self._wrapped_open, raising=False)
        monkeypatch.setattr(folder_module.os, "fsync", self._checked_fsync)

    def check(self):
        if self.failing and self._rng.random() < 0.7:
            raise OSError(28, "No space left on device")

    def _checked_fsync(self, descriptor):
        self.check()
        return self._fsync(descriptor)

    def _wrapped_open(self, path, mode, **options):
        if "w" in mode or "a" in mode:
            self.check()
        file = self._open(path, mode, **options)
        return _FailingFile(file, self, self._rng) if "a" in mode else file


class _FailingFile:
    def __init__(self, file, disk, rng):
        self._file = file
        self._disk = disk
        self._rng = rng

    def write(self, data):
        if self._disk.failing and self._rng.random() < 0.7:
            self._file.write(data[: self._rng.randrange(len(data))])
            raise OSError(28, "No space left on device")
        return self._file.write(data)

    def fileno(self):
        return self._file.fileno()

    def close(self):
        self._file.close()


def _random_writes(rng, model):
    """Return the next writes, and apply them to a list of (index, term)."""
    last = model[-1][0] if model else 0
    kind = rng.random()
    if kind < 0.7 or last < 5:
        new = [entry(last + n, 1, b"x" * rng.randrange(200)) for n in range(1, 4)]
        model += [(e.index, e.term) for e in new]
        return [AppendLog(new)]
    if kind < 0.85:
        cut = rng.randint(max(2, last - 3), last)
        model[:] = [m for m in model if m[0] < cut] + [(cut, 2)]
        return [TruncateLog(cut), AppendLog([entry(cut, 2)]), SaveHardState(HardState(cut))]
    at = model[len(model) // 2]
    model[:] = [m for m in model if m[0] > at[0]]
    return [SaveSnapshot(Snapshot(at[0], at[1], MEMBERS, b"state"), keep_entries=True)]


@pytest.mark.parametrize("seed", range(40))
def test_pending_writes_become_durable_eventually(tmp_path, monkeypatch, seed):
    rng = random.Random(seed)
    folder, _ = open_folder(tmp_path)
    disk = FailingDisk(monkeypatch, rng)
    model = []
    for _ in range(40):
        writes = _random_writes(rng, model)
        disk.failing = rng.random() < 0.3
        step = lambda writes=writes: folder.write(writes)  # noqa: E731
        for attempt in range(6):
            try:
                step()
                break
            except DiskFailed:
                step = folder.retry
                disk.failing = attempt < 4
        assert not folder._pending
    disk.failing = False
    folder.close()
    recovered = recover(tmp_path)
    assert [(i, recovered.log.term_at(i)) for i in indexes(recovered)] == model


@pytest.mark.parametrize("seed", range(40))
def test_synced_data_survives_a_crash_while_the_disk_fails(tmp_path, monkeypatch, seed):
    rng = random.Random(seed)
    folder, _ = open_folder(tmp_path)
    disk = FailingDisk(monkeypatch, rng)
    synced = 0
    last = 0
    for _ in range(12):
        count = rng.randint(1, 4)
        folder.write([AppendLog([entry(last + n) for n in range(1, count + 1)])])
        last = synced = last + count
    disk.failing = True
    try:
        folder.write([AppendLog([entry(last + n) for n in range(1, 4)])])
        synced = last + 3
    except DiskFailed:
        for _ in range(rng.randrange(4)):
            try:
                folder.retry()
                synced = last + 3
                break
            except DiskFailed:
                pass
    disk.failing = False
    folder.close()
    recovered = recover(tmp_path)
    assert synced <= recovered.log.last_index <= last + 3


@pytest.mark.parametrize("seed", range(40))
def test_writes_added_while_the_disk_fails_become_durable(tmp_path, monkeypatch, seed):
    """Guards against a snapshot that replaces pending writes and loses what they leave."""
    rng = random.Random(seed)
    folder, _ = open_folder(tmp_path)
    disk = FailingDisk(monkeypatch, rng)
    model = []
    for _ in range(20):
        disk.failing = True
        step = lambda writes: folder.write(writes)  # noqa: E731, PLW0108
        for _ in range(rng.randint(1, 5)):
            with contextlib.suppress(DiskFailed):
                step(_random_writes(rng, model))
            step = folder.retry
        disk.failing = False
        folder.retry()
        assert not folder._pending
    folder.close()
    recovered = recover(tmp_path)
    assert [(i, recovered.log.term_at(i)) for i in indexes(recovered)] == model


def test_disk_full_of_log_takes_a_snapshot_and_empties(tmp_path, monkeypatch):
    """Entries that did not fit were tried for good before the snapshot that makes room."""
    folder, _ = open_folder(tmp_path)
    capacity = 4096 + folder.used_bytes
    write = folder_module.os.fsync

    def limited_sync(descriptor):
        if sum(path.stat().st_size for path in tmp_path.iterdir()) > capacity:
            raise OSError(28, "No space left on device")
        write(descriptor)

    monkeypatch.setattr(folder_module.os, "fsync", limited_sync)
    folder.write([AppendLog([entry(1, 1, bytes(3000))])])
    with pytest.raises(DiskFailed):
        folder.write([AppendLog([entry(2, 1, bytes(3000))])])
    folder.retry([SaveSnapshot(Snapshot(2, 1, MEMBERS, b"state"), keep_entries=True)])
    folder.write([AppendLog([entry(3, 1, bytes(3000))])])
    assert folder.used_bytes == sum(path.stat().st_size for path in tmp_path.iterdir())
    folder.close()
    recovered = recover(tmp_path)
    assert recovered.log.snapshot_index == 2
    assert indexes(recovered) == [3]
