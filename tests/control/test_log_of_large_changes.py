"""Large changes in quick succession neither fill the disks nor make anything unreadable."""

import asyncio
import os

import pytest

from tests.support.control_group import ControlGroup
from traystall.catalog.state import MAX_KEPT_DELTA_BYTES
from traystall.control import room
from traystall.core import metrics
from traystall.core.exceptions import RpcError, RpcRefused
from traystall.storage import folder as folder_module

MEGABYTE = 1_000_000


def folder_bytes(root):
    return sum(path.stat().st_size for path in root.rglob("*") if path.is_file())


async def started(group):
    await asyncio.gather(*(group.start(name, founding=True) for name in "abc"))
    await group.until(lambda: group.leader() is not None)
    return group.leader()


def name_of(daemon):
    return daemon.node.replica.identity.split("/")[0]


async def apply_until_taken(group, number, entities):
    """Send a change as the operator does: again, until it is acknowledged."""
    for _ in range(20):
        for name in list(group.daemons):
            try:
                reply = await group.apply_entities(name, number, entities)
            except RpcError:
                continue
            assert reply.current >= number
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"{number} was not acknowledged.")


def test_many_large_changes_do_not_fill_the_disks(tmp_path):
    """The log was dropped by its number of entries alone and grew by each large change."""

    async def scenario():
        group = ControlGroup(tmp_path, flags={"disk-megabytes": "64"})
        try:
            await started(group)
            for number in range(1, 81):
                await apply_until_taken(group, number, {"k": os.urandom(MEGABYTE)})
            assert (await group.read("a"))[0] == 80
            page = metrics.render_metrics([])[0].decode()
            assert "traystall_disk_used_bytes" in page and "traystall_log_bytes" in page
            for name, daemon in group.daemons.items():
                assert folder_bytes(tmp_path / name) < 20 * MEGABYTE, name
                log = daemon.node.replica.log
                assert log.bytes_after(log.first_index - 1) <= 3 * room.MIN_LOG_BYTES
                assert daemon.node.state.catalog._kept_bytes <= MAX_KEPT_DELTA_BYTES
            await asyncio.gather(*(group.stop(name) for name in "abc"))
            await asyncio.gather(*(group.start(name) for name in "abc"))
            await group.until(lambda: group.leader() is not None)
            assert (await group.read("b"))[0] == 80
        finally:
            await group.stop_all()

    asyncio.run(asyncio.wait_for(scenario(), 120))


def test_change_without_room_is_refused_and_the_rest_stays_readable(tmp_path):
    """A change that the disk can't keep was acknowledged or left the group without a leader."""

    async def scenario():
        group = ControlGroup(tmp_path, flags={"disk-megabytes": "20"})
        try:
            leader = await started(group)
            await apply_until_taken(group, 1, {"k": os.urandom(MEGABYTE)})
            with pytest.raises(RpcRefused, match="no-room"):
                await group.apply_entities(name_of(leader), 2, {"k": os.urandom(9 * MEGABYTE)})
            assert (await group.read("a"))[0] == 1
            await apply_until_taken(group, 3, {"k": os.urandom(MEGABYTE)})
            assert (await group.read("c"))[0] == 3
        finally:
            await group.stop_all()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_configuration_is_read_while_every_disk_is_full(tmp_path, monkeypatch):
    """Followers that wait for their disks confirmed no heartbeat, so the leader lost its lease."""
    full = False
    sync = os.fsync

    def checked_sync(descriptor):
        if full:
            raise OSError(28, "No space left on device")
        sync(descriptor)

    async def scenario():
        nonlocal full
        monkeypatch.setattr(folder_module.os, "fsync", checked_sync)
        group = ControlGroup(tmp_path)
        try:
            leader = await started(group)
            await apply_until_taken(group, 1, {"k": b"first"})
            full = True
            with pytest.raises(RpcError):
                await group.apply_entities(name_of(leader), 2, {"k": b"second"}, seconds=1.0)
            for _ in range(30):
                assert await group.read(name_of(leader)) == (1, b"first")
                await asyncio.sleep(0.1)
            full = False
            await apply_until_taken(group, 3, {"k": b"third"})
            assert await group.read("a") == (3, b"third")
        finally:
            full = False
            await group.stop_all()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_replica_stopped_during_many_large_changes_catches_up(tmp_path):
    """A replica needs whole snapshots while new ones are taken; this may not cost a term."""

    async def scenario():
        group = ControlGroup(tmp_path, flags={"disk-megabytes": "64"})
        try:
            leader = await started(group)
            term = leader.node.replica.term
            stopped = next(name for name, d in group.daemons.items() if d is not leader)
            await group.stop(stopped)
            for number in range(1, 21):
                await apply_until_taken(group, number, {"k": os.urandom(MEGABYTE)})
            returned = await group.start(stopped)
            for number in range(21, 41):
                await apply_until_taken(group, number, {"k": os.urandom(MEGABYTE)})
            await group.until(lambda: returned.node.state.catalog.number == 40)
            assert leader.node.replica.term == term
        finally:
            await group.stop_all()

    asyncio.run(asyncio.wait_for(scenario(), 120))
