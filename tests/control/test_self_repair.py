"""A group that mends itself: wiped disks, replaced instances, a second loss after the first."""

import asyncio

import pytest

from tests.support.control_group import ControlGroup
from traystall.core.exceptions import RpcError

# How long a message may wait in a daemon that a busy machine holds up, in seconds.
_BUSY_SECONDS = 0.1


def play(tmp_path, story, seconds=60):
    async def bounded():
        group = ControlGroup(tmp_path)
        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(group.start(name, founding=True) for name in "abc"))
                await group.until(lambda: group.live_voters() == {"a", "b", "c"})
                await story(group)
        finally:
            await group.stop_all()

    asyncio.run(bounded())


def test_wiped_members_come_back_one_after_the_other(tmp_path):
    """Each loses its disk in turn: nothing acknowledged is lost, and reads stay right."""

    async def story(group):
        for number, name in enumerate("abcab", start=1):
            await group.apply(name, number * 3, b"%d" % number)
            await group.stop(name, wipe=True)
            await group.start(name)
            await group.until(lambda: group.live_voters() == {"a", "b", "c"})
            assert len(group.voters()) == 3
            for reader in "abc":
                assert await group.read(reader) in (None, (number * 3, b"%d" % number))

    play(tmp_path, story)


async def replace_each_founder(group):
    """Stop each founder in turn and start a newcomer, then lose one more."""
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


def test_empty_newcomer_takes_the_place_of_a_lost_member(tmp_path):
    play(tmp_path, replace_each_founder)


def test_newcomer_takes_a_place_while_changes_of_members_are_slow_on_their_way(tmp_path):
    """A change that only the leader holds is no repair yet: a loss then may stop the group."""

    async def story(group):
        group.delay_member_changes(_BUSY_SECONDS)
        await replace_each_founder(group)

    play(tmp_path, story)


def test_cut_off_member_is_not_taken_out(tmp_path):
    async def story(group):
        await group.stop("c")
        await group.apply("a", 2, b"two")
        await asyncio.sleep(2.5)
        assert len(group.voters()) == 3
        await group.start("c")
        await group.until(lambda: group.live_voters() == {"a", "b", "c"})

    play(tmp_path, story)


def test_equal_and_lower_numbers_are_acknowledged_and_change_nothing(tmp_path):
    async def story(group):
        await group.apply("a", 7, b"seven")
        for name, number in (("b", 7), ("c", 3), ("a", 1)):
            reply = await group.apply(name, number, b"other")
            assert (reply.outcome, reply.current) == ("accepted", 7)
        assert await group.read("b") == (7, b"seven")

    play(tmp_path, story)


def test_minority_neither_takes_nor_tells(tmp_path):
    async def story(group):
        await group.apply("a", 1, b"one")
        await group.stop("a")
        await group.stop("b")
        assert await group.read("c") is None
        with pytest.raises(RpcError):
            await group.apply("c", 2, b"two")

    play(tmp_path, story)


def test_all_killed_at_once_lose_nothing(tmp_path):
    async def story(group):
        for number in range(1, 6):
            await group.apply("abc"[number % 3], number, b"%d" % number)
            for name in "abc":
                await group.stop(name)
            await asyncio.gather(*(group.start(name) for name in "abc"))
            await group.until(lambda: group.leader() is not None)
            assert await group.read("a") == (number, b"%d" % number)

    play(tmp_path, story)
