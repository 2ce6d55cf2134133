"""Power failures at every step of a write: acknowledged data is not lost, reads are not stale."""

import os
from pathlib import Path

import pytest

from tests.support.group import Breach
from tests.support.power import PowerGroup, PowerHost, lossy_syncs  # noqa: F401 - a fixture
from traystall.core.exceptions import StorageError
from traystall.storage import folder as folder_module
from traystall.storage.folder import DataFolder

SEEDS_PER_CASE = 25
CASES = range(12)
STEPS = 260

pytestmark = pytest.mark.usefixtures("lossy_syncs")


def run_schedules(path: Path, seeds, steps=STEPS, group_class=PowerGroup):
    """Run the schedules of some seeds, each in its own folder."""
    for seed in seeds:
        scratch = path / str(seed)
        scratch.mkdir()
        group = group_class(seed, scratch)
        group.run(steps)
        group.settle()
        for host in group.hosts:
            host.disk.folder.close()


@pytest.mark.parametrize("case", CASES)
def test_nothing_acknowledged_is_lost(tmp_path, case):
    run_schedules(tmp_path, range(case * SEEDS_PER_CASE, (case + 1) * SEEDS_PER_CASE))


# ---- mutation tests: the schedules must detect each deliberate defect ----


def detects_defect(path, group_class=PowerGroup):
    """Return whether any schedule detects the defect."""
    try:
        run_schedules(path, range(1000, 1060), group_class=group_class)
    except (Breach, StorageError):
        return True
    return False


def test_notices_writes_that_are_not_synced(tmp_path, monkeypatch):
    def write_batch(self, steps):
        if steps:
            self._segment.write(folder_module.encode_record(folder_module.pack(_batch(steps))))

    def _batch(steps):
        return folder_module.Batch(steps)

    monkeypatch.setattr(DataFolder, "_write_batch", write_batch)
    assert detects_defect(tmp_path)


def test_notices_a_rename_without_a_sync_of_the_folder(tmp_path, monkeypatch):
    monkeypatch.setattr(DataFolder, "_sync_folder", lambda self: None)
    assert detects_defect(tmp_path)


def test_notices_a_snapshot_that_is_not_synced(tmp_path, monkeypatch):
    def write_file(self, path, data):
        temporary = path.with_suffix(".new")
        temporary.write_bytes(data)
        temporary.replace(path)
        self._sync_folder()

    monkeypatch.setattr(DataFolder, "_write_file", write_file)
    assert detects_defect(tmp_path)


def test_notices_answers_that_leave_before_the_sync(tmp_path):
    class EarlySender(PowerHost):
        def _store(self, ready):
            self.group.send(self, ready.messages_after_sync)
            ready.messages_after_sync = []
            super()._store(ready)

    class EarlySenderGroup(PowerGroup):
        host_class = EarlySender

    assert detects_defect(tmp_path, EarlySenderGroup)


def test_power_is_lost_in_the_middle_of_writes(tmp_path):
    """The schedules cover power failures inside a write and torn tails."""
    seen = {"torn": 0, "inside": 0}
    original = folder_module.DataFolder._truncate_segment

    class Counting(PowerHost):
        def lose_power(self):
            seen["inside"] += self.disk.syncs_left is not None
            super().lose_power()

    class CountingGroup(PowerGroup):
        host_class = Counting

    def cut(self, path, length):
        seen["torn"] += 1
        original(self, path, length)

    folder_module.DataFolder._truncate_segment = cut
    try:
        run_schedules(tmp_path, range(10), group_class=CountingGroup)
    finally:
        folder_module.DataFolder._truncate_segment = original
    assert seen["torn"] > 0 and seen["inside"] > 20
    assert os.listdir(tmp_path)
