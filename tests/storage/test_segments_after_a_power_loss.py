"""A loss of power may keep any of the segments that a snapshot has just replaced."""

import itertools
import shutil

import pytest

from tests.storage.test_folder import MEMBERS, entry, indexes, open_folder, recover
from traystall.consensus.models import AppendLog, SaveSnapshot, Snapshot, TruncateLog
from traystall.core.exceptions import CorruptLog
from traystall.storage import folder as folder_module

ENTRIES = 6
SNAPSHOT_INDEX = 3
KEPT = [
    kept
    for count in range(ENTRIES + 1)
    for kept in itertools.combinations(range(1, ENTRIES + 1), count)
]


@pytest.mark.parametrize("kept", KEPT, ids=str)
def test_any_of_the_replaced_segments_may_survive(tmp_path, monkeypatch, kept):
    """A segment lost between two that survived left a gap, and the daemon did not start."""
    monkeypatch.setattr(folder_module, "SEGMENT_BYTES", 1)
    data, copies = tmp_path / "data", tmp_path / "copies"
    folder, _ = open_folder(data)
    for index in range(1, ENTRIES + 1):
        folder.write([AppendLog([entry(index)])])
    shutil.copytree(data, copies)
    snapshot = Snapshot(SNAPSHOT_INDEX, 1, MEMBERS, b"state")
    folder.write([SaveSnapshot(snapshot, keep_entries=True)])
    folder.close()
    segments = sorted(copies.glob("log-*.wal"))
    assert len(segments) == ENTRIES
    for number in kept:
        shutil.copy(segments[number - 1], data)
    recovered = recover(data)
    assert recovered.log.snapshot_index == SNAPSHOT_INDEX
    assert indexes(recovered) == list(range(SNAPSHOT_INDEX + 1, ENTRIES + 1))


@pytest.mark.parametrize("truncated_at", [None, 4])
def test_gap_that_no_truncation_removes_is_an_error(tmp_path, monkeypatch, truncated_at):
    """A segment is missing, and no snapshot has replaced it."""
    monkeypatch.setattr(folder_module, "SEGMENT_BYTES", 1)
    folder, _ = open_folder(tmp_path)
    for index in range(1, ENTRIES + 1):
        folder.write([AppendLog([entry(index)])])
    if truncated_at is not None:
        folder.write([TruncateLog(truncated_at)])
    folder.close()
    sorted(tmp_path.glob("log-*.wal"))[1].unlink()
    with pytest.raises(CorruptLog):
        recover(tmp_path)


def test_gap_that_held_a_truncation_is_an_error(tmp_path, monkeypatch):
    """Another truncation at or before the gap says nothing of what the lost segment truncated."""
    monkeypatch.setattr(folder_module, "SEGMENT_BYTES", 1)
    folder, _ = open_folder(tmp_path)
    folder.write([AppendLog([entry(index, 1) for index in (1, 2, 3)])])
    folder.write([TruncateLog(2), AppendLog([entry(index, 2) for index in (2, 3, 4)])])
    folder.write([AppendLog([entry(5, 2)])])
    folder.write([TruncateLog(4), AppendLog([entry(4, 3)])])
    folder.close()
    sorted(tmp_path.glob("log-*.wal"))[1].unlink()
    with pytest.raises(CorruptLog):
        recover(tmp_path)


@pytest.mark.parametrize(
    "kept", [kept for count in range(4) for kept in itertools.combinations((0, 1, 2), count)]
)
def test_any_of_the_replaced_segments_may_survive_a_truncation_among_them(
    tmp_path, monkeypatch, kept
):
    """A lost truncation made the log go back, and the daemon did not start."""
    monkeypatch.setattr(folder_module, "SEGMENT_BYTES", 1)
    data, copies = tmp_path / "data", tmp_path / "copies"
    folder, _ = open_folder(data)
    folder.write([AppendLog([entry(index) for index in range(1, 7)])])
    folder.write([TruncateLog(4)])
    folder.write([AppendLog([entry(index) for index in (4, 5, 6)])])
    shutil.copytree(data, copies)
    folder.write([SaveSnapshot(Snapshot(SNAPSHOT_INDEX, 1, MEMBERS, b"state"), keep_entries=True)])
    folder.close()
    segments = sorted(copies.glob("log-*.wal"))
    for number in kept:
        shutil.copy(segments[number], data)
    assert indexes(recover(data)) == [4, 5, 6]
