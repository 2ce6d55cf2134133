"""Targets saved on disk are a hint: they help after a restart, and corrupt files do no harm."""

import asyncio

import pytest

from traystall.core import clock
from traystall.core.exceptions import DiskFailed
from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.persistence import RESTORED_AGE_SECONDS, RegistryPersistence
from traystall.registry.service import RegistryService
from traystall.registry.store import TargetStore


def report(identity, state=RegisteredState.READY, sequence=7):
    return TargetReport(identity, "p", "10.0.0.1:80", "here", state=state, sequence=sequence)


def service():
    return RegistryService(lambda: [])


async def save_once(registry, store):
    """Save the registry's targets once."""
    task = asyncio.create_task(RegistryPersistence(registry, store).save_forever())
    while not store.load():
        await asyncio.sleep(0.01)
    task.cancel()


def test_ready_targets_are_restored_with_an_old_report(tmp_path):
    async def scenario():
        before = service()
        before.report(report("t-1"))
        before.report(report("t-2", RegisteredState.DRAINING))
        before.leave("t-3")
        await save_once(before, TargetStore(tmp_path))
        after = service()
        await RegistryPersistence(after, TargetStore(tmp_path)).restore()
        return after.registry.rows()

    rows = asyncio.run(scenario())
    assert [row.identity for row in rows] == ["t-1"], "leaving targets are not saved"
    assert rows[0].is_ready
    assert clock.monotonic() - rows[0].seen_at >= RESTORED_AGE_SECONDS


def test_silent_target_is_not_saved(tmp_path):
    async def scenario():
        registry = service()
        registry.report(report("silent"), age=10.0)
        registry.report(report("heard"))
        store = TargetStore(tmp_path)
        await save_once(registry, store)
        return store.load()

    assert [found.identity for found in asyncio.run(scenario())] == ["heard"]


def test_report_of_a_target_overrides_the_stored_one(tmp_path):
    TargetStore(tmp_path).save([report("t-1", sequence=0)])

    async def scenario():
        registry = service()
        registry.report(report("t-1", RegisteredState.DRAINING, sequence=1))
        await RegistryPersistence(registry, TargetStore(tmp_path)).restore()
        return registry.registry.get("t-1")

    assert not asyncio.run(scenario()).is_ready


@pytest.mark.parametrize("length", [0, 1, 7, 8, 9, 40])
def test_truncated_file_is_ignored(tmp_path, length):
    store = TargetStore(tmp_path)
    store.save([report("t-1")])
    path = tmp_path / "targets"
    path.write_bytes(path.read_bytes()[:length])
    assert store.load() == []


def test_corrupt_byte_is_detected_at_every_position(tmp_path):
    store = TargetStore(tmp_path)
    store.save([report("t-1")])
    path = tmp_path / "targets"
    whole = path.read_bytes()
    for position in range(len(whole)):
        damaged = bytearray(whole)
        damaged[position] ^= 0x55
        path.write_bytes(damaged)
        assert store.load() == []


def test_missing_file_holds_no_targets(tmp_path):
    assert TargetStore(tmp_path / "none").load() == []


def test_failed_save_is_retried(tmp_path):
    class FailingStore(TargetStore):
        failures_left = 2

        def save(self, reports):
            if self.failures_left:
                self.failures_left -= 1
                raise DiskFailed("The disk is full.")
            super().save(reports)

    async def scenario():
        registry = service()
        registry.report(report("t-1"))
        store = FailingStore(tmp_path)
        await save_once(registry, store)
        return store.load()

    assert [found.identity for found in asyncio.run(scenario())] == ["t-1"]
