"""A disk that is full, fails or tears writes: what was synced stays, what is owed is paid later."""

import random

import pytest

from tests.storage.test_folder import MEMBERS, entry, indexes, opened, reopened
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


class Disk:
    """Refuse operations while `failing`; a refused write may leave a part of itself behind."""

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
        return _File(file, self, self._rng) if "a" in mode else file


class _File:
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
def test_what_is_owed_is_paid_in_the_end(tmp_path, monkeypatch, seed):
    rng = random.Random(seed)
    held, _ = opened(tmp_path)
    disk = Disk(monkeypatch, rng)
    model = []
    for _ in range(40):
        writes = _random_writes(rng, model)
        disk.failing = rng.random() < 0.3
        step = lambda writes=writes: held.write(writes)  # noqa: E731
        for attempt in range(6):
            try:
                step()
                break
            except DiskFailed:
                step = held.retry
                disk.failing = attempt < 4
        assert not held._owed
    disk.failing = False
    held.close()
    recovered = reopened(tmp_path)
    assert [(i, recovered.log.term_at(i)) for i in indexes(recovered)] == model


@pytest.mark.parametrize("seed", range(40))
def test_nothing_synced_is_lost_if_the_process_dies_while_the_disk_fails(
    tmp_path, monkeypatch, seed
):
    rng = random.Random(seed)
    held, _ = opened(tmp_path)
    disk = Disk(monkeypatch, rng)
    synced = 0
    last = 0
    for _ in range(12):
        count = rng.randint(1, 4)
        held.write([AppendLog([entry(last + n) for n in range(1, count + 1)])])
        last = synced = last + count
    disk.failing = True
    try:
        held.write([AppendLog([entry(last + n) for n in range(1, 4)])])
        synced = last + 3
    except DiskFailed:
        for _ in range(rng.randrange(4)):
            try:
                held.retry()
                synced = last + 3
                break
            except DiskFailed:
                pass
    disk.failing = False
    held.close()
    recovered = reopened(tmp_path)
    assert synced <= recovered.log.last_index <= last + 3
