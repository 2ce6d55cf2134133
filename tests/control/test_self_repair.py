"""Automatic repair of the control group: wiped disks, replaced instances, a second loss."""

import asyncio

import pytest

from tests.support.control_group import ControlGroup
from traystall.core.exceptions import RpcError

# Delay of messages in a daemon on an overloaded machine.
_MESSAGE_DELAY_SECONDS = 0.1


def run_scenario(tmp_path, scenario, seconds=60):
    async def bounded():
        group = ControlGroup(tmp_path)
        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(group.start(name, founding=True) for name in "abc"))
                await group.until(lambda: group.live_voters() == {"a", "b", "c"})
                await scenario(group)
        finally:
            await group.stop_all()

    asyncio.run(bounded())


def test_wiped_members_come_back_one_after_the_other(tmp_path):
    """Each member loses its disk in turn: acknowledged data is kept and reads stay correct."""

    async def scenario(group):
        for number, name in enumerate("abcab", start=1):
            await group.apply(name, number * 3, b"%d" % number)
            await group.stop(name, wipe=True)
            await group.start(name)
            await group.until(lambda: group.live_voters() == {"a", "b", "c"})
            assert len(group.voters()) == 3
            for reader in "abc":
                assert await group.read(reader) in (None, (number * 3, b"%d" % number))

    run_scenario(tmp_path, scenario)


async def replace_each_founder(group):
    """Replace each initial member by a newcomer in turn, then stop one more."""
    await group.apply("a", 5, b"five")
    lost = "abcd"
    for name, newcomer in zip("abc", "def", strict=True):
        await group.stop(name)
        await group.start(newcomer)
        lost = lost.replace(name, "")
        await group.until(lambda: group.live_voters() == set(group.daemons))
        await group.until(lambda: len(group.voters()) == 3)
    assert await group.read("f") == (5, b"five")
    await group.apply("d", 6, b"six")
    await group.stop("e")
    await group.until(lambda: group.leader() is not None)
    assert await group.read("d") == (6, b"six")


def test_empty_newcomer_replaces_a_lost_member(tmp_path):
    run_scenario(tmp_path, replace_each_founder)


def test_newcomer_joins_while_membership_changes_are_delayed(tmp_path):
    """A change that only the leader holds is not committed: another loss may stop the group."""

    async def scenario(group):
        group.delay_member_changes(_MESSAGE_DELAY_SECONDS)
        await replace_each_founder(group)

    run_scenario(tmp_path, scenario)


def test_stopped_member_is_not_removed(tmp_path):
    async def scenario(group):
        await group.stop("c")
        await group.apply("a", 2, b"two")
        await asyncio.sleep(2.5)
        assert len(group.voters()) == 3
        await group.start("c")
        await group.until(lambda: group.live_voters() == {"a", "b", "c"})

    run_scenario(tmp_path, scenario)


def test_equal_and_lower_numbers_are_acknowledged_and_change_nothing(tmp_path):
    async def scenario(group):
        await group.apply("a", 7, b"seven")
        for name, number in (("b", 7), ("c", 3), ("a", 1)):
            reply = await group.apply(name, number, b"other")
            assert (reply.outcome, reply.current) == ("accepted", 7)
        assert await group.read("b") == (7, b"seven")

    run_scenario(tmp_path, scenario)


def test_minority_accepts_no_writes_and_answers_no_reads(tmp_path):
    async def scenario(group):
        await group.apply("a", 1, b"one")
        await group.stop("a")
        await group.stop("b")
        assert await group.read("c") is None
        with pytest.raises(RpcError):
            await group.apply("c", 2, b"two")

    run_scenario(tmp_path, scenario)


def test_all_killed_at_once_lose_nothing(tmp_path):
    async def scenario(group):
        for number in range(1, 6):
            await group.apply("abc"[number % 3], number, b"%d" % number)
            for name in "abc":
                await group.stop(name)
            await asyncio.gather(*(group.start(name) for name in "abc"))
            await group.until(lambda: group.leader() is not None)
            assert await group.read("a") == (number, b"%d" % number)

    run_scenario(tmp_path, scenario)
