"""A bundle whose transfer to the leader takes longer than a call timeout is sent and appended once.

Guards against a follower that sends a large bundle to the leader again each second. The copies
queue on the link, and the configuration is never confirmed.
"""

import asyncio

import pytest

from tests.support.control_group import ControlGroup, free_address
from tests.support.slow_relay import SlowRelay

MBIT = 1e6 / 8


async def started(group, relay):
    """Start three initial members, each behind a relay, and return the leader."""
    for name in "abc":
        group.listening[name] = free_address()
        await relay.add(group.addresses[name], group.listening[name])
    await asyncio.gather(*(group.start(name, founding=True) for name in "abc"))
    await group.until(lambda: group.leader() is not None)
    return group.leader()


def large_entries(daemon, size):
    log = daemon.node.replica.log
    entries = log.entries_between(log.snapshot_index + 1, log.last_index)
    return sum(len(entry.command or b"") > size for entry in entries)


@pytest.mark.parametrize(("kilobytes", "mbit"), [(600, 5), (1200, 10), (1000, 5)])
def test_bundle_given_to_a_follower_is_sent_and_appended_once(tmp_path, kilobytes, mbit):
    async def scenario():
        group, relay = ControlGroup(tmp_path), SlowRelay(mbit * MBIT)
        try:
            leader = await started(group, relay)
            follower = next(name for name, d in group.daemons.items() if d is not leader)
            size = kilobytes * 1000
            entities = {"k": bytes(size)}
            pending = asyncio.create_task(group.apply_entities(follower, 5, entities, seconds=15.0))
            reply = await pending
            assert (reply.outcome, reply.current) == ("accepted", 5)
            assert large_entries(leader, size // 2) == 1
            carried = relay.carried[group.listening[leader.node.replica.identity.split("/")[0]]]
            assert carried < 1.3 * size
        finally:
            await group.stop_all()
            await relay.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_bundle_repeated_while_it_is_in_progress_is_appended_once(tmp_path):
    """Operators repeat requests that are not confirmed in time, at any daemon."""

    async def scenario():
        group, relay = ControlGroup(tmp_path), SlowRelay(5 * MBIT)
        try:
            leader = await started(group, relay)
            name = leader.node.replica.identity.split("/")[0]
            entities = {"k": bytes(600_000)}
            pending = [
                asyncio.create_task(group.apply_entities(name, 5, entities, seconds=10.0))
                for _ in range(3)
            ]
            replies = await asyncio.gather(*pending)
            assert {(reply.outcome, reply.current) for reply in replies} == {("accepted", 5)}
            assert large_entries(leader, 300_000) == 1
        finally:
            await group.stop_all()
            await relay.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))
