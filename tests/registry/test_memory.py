"""Targets that are remembered on disk: a hint that helps, and never harms."""

import asyncio

import pytest

from traystall.core import clock
from traystall.core.exceptions import DiskFailed
from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.persistence import REMEMBERED_AGE, RegistryPersistence
from traystall.registry.service import RegistryService
from traystall.registry.store import TargetStore


def report(identity, state=RegisteredState.READY, sequence=7):
    return TargetReport(identity, "p", "10.0.0.1:80", "here", state=state, sequence=sequence)


def service():
    return RegistryService(lambda: [])


async def remember(registry, store):
    """Let a memory write down what is there now, and end it."""
    task = asyncio.create_task(RegistryPersistence(registry, store).save_forever())
    while not store.load():
        await asyncio.sleep(0.01)
    task.cancel()


def test_ready_targets_are_known_again_as_ones_heard_of_some_time_ago(tmp_path):
    async def scenario():
        before = service()
        before.report(report("t-1"))
        before.report(report("t-2", RegisteredState.DRAINING))
        before.leave("t-3")
        await remember(before, TargetStore(tmp_path))
        after = service()
        await RegistryPersistence(after, TargetStore(tmp_path)).restore()
        return after.registry.rows()

    rows = asyncio.run(scenario())
    assert [row.identity for row in rows] == ["t-1"], "what leaves is not remembered"
    assert rows[0].is_ready
    assert clock.monotonic() - rows[0].seen_at >= REMEMBERED_AGE


def test_target_that_has_fallen_silent_is_not_remembered(tmp_path):
    async def scenario():
        registry = service()
        registry.report(report("silent"), age=10.0)
        registry.report(report("heard"))
        store = TargetStore(tmp_path)
        await remember(registry, store)
        return store.load()

    assert [found.identity for found in asyncio.run(scenario())] == ["heard"]


def test_what_a_target_says_itself_goes_before_what_is_remembered(tmp_path):
    TargetStore(tmp_path).save([report("t-1", sequence=0)])

    async def scenario():
        registry = service()
        registry.report(report("t-1", RegisteredState.DRAINING, sequence=1))
        await RegistryPersistence(registry, TargetStore(tmp_path)).restore()
        return registry.registry.get("t-1")

    assert not asyncio.run(scenario()).is_ready


@pytest.mark.parametrize("length", [0, 1, 7, 8, 9, 40])
def test_torn_file_is_no_file(tmp_path, length):
    store = TargetStore(tmp_path)
    store.save([report("t-1")])
    path = tmp_path / "targets"
    path.write_bytes(path.read_bytes()[:length])
    assert store.load() == []


def test_every_flipped_byte_is_noticed(tmp_path):
    store = TargetStore(tmp_path)
    store.save([report("t-1")])
    path = tmp_path / "targets"
    whole = path.read_bytes()
    for position in range(len(whole)):
        damaged = bytearray(whole)
        damaged[position] ^= 0x55
        path.write_bytes(damaged)
        assert store.load() == []


def test_missing_file_is_no_error(tmp_path):
    assert TargetStore(tmp_path / "none").load() == []


def test_disk_that_refuses_is_asked_again(tmp_path):
    class Refusing(TargetStore):
        refusals = 2

        def save(self, reports):
            if self.refusals:
                self.refusals -= 1
                raise DiskFailed("The disk is full.")
            super().save(reports)

    async def scenario():
        registry = service()
        registry.report(report("t-1"))
        store = Refusing(tmp_path)
        await remember(registry, store)
        return store.load()

    assert [found.identity for found in asyncio.run(scenario())] == ["t-1"]
