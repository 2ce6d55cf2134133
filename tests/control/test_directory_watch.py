"""Timing of watch replies: directory changes are batched, all other updates are sent at once."""

import asyncio

import pytest

from tests.support.directory_site import CONTROL, ControlNode, Site, listed
from traystall.control.directory import BATCH_SECONDS
from traystall.control.subscribers import WATCH_HOLD_SECONDS, Subscribers
from traystall.core import clock
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.rpc.gen.wire.ttypes import GatewayRecord, WatchRequest

# Tolerance for delays on a machine that runs other tests.
_SLACK_SECONDS = 0.15


def record(name, state="serving", **fields):
    return GatewayRecord(
        identity=f"{name}/1", instance=name, state=state, number=0, age=0.0, **fields
    )


class Daemon:
    """The subscribers of one control daemon and a watcher."""

    def __init__(self):
        self.node = ControlNode()
        self.subscribers = Subscribers(self.node, None, CONTROL)

    async def first(self):
        """Return the watcher's first reply."""
        return await self.subscribers.watch(WatchRequest(gateway=record("watcher")))

    def watch(self, known, **fields):
        """Start a watch based on an earlier reply; return a task for the reply and its duration."""
        request = WatchRequest(
            gateway=record("watcher"),
            digest=known.digest,
            directory_version=0,
            directory_epoch=known.directory_epoch,
            directory_known=known.directory_version,
        )
        for name, value in fields.items():
            setattr(request, name, value)

        async def timed():
            began = clock.monotonic()
            reply = await self.subscribers.watch(request)
            return reply, clock.monotonic() - began

        return asyncio.create_task(timed())

    def put(self, name, state="serving"):
        """Add a gateway as reported by another control daemon."""
        self.subscribers._record_gateway(record(name, state), direct=False)


def run_scenario(scenario):
    async def run():
        daemon = Daemon()
        return await scenario(daemon, await daemon.first())

    return asyncio.run(run())


def test_first_watch_gets_the_whole_directory_at_once():
    async def scenario(daemon, known):
        assert [r.identity for r in known.directory] == ["watcher/1"]
        reply, seconds = await daemon.watch(known, directory_epoch="of another incarnation")
        assert reply.directory is not None and seconds < _SLACK_SECONDS

    run_scenario(scenario)


def test_burst_of_changes_is_one_reply():
    async def scenario(daemon, known):
        watching = daemon.watch(known)
        for number in range(5):
            await asyncio.sleep(BATCH_SECONDS / 10)
            daemon.put(f"g{number}")
        reply, seconds = await watching
        assert len(reply.directory_changed) == 5
        assert BATCH_SECONDS <= seconds < BATCH_SECONDS + _SLACK_SECONDS

    run_scenario(scenario)


def test_change_after_the_batch_time_is_reported_at_once():
    async def scenario(daemon, known):
        watching = daemon.watch(known)
        await asyncio.sleep(BATCH_SECONDS * 1.5)
        daemon.put("g", "draining")
        reply, seconds = await watching
        assert [r.state for r in reply.directory_changed] == ["draining"]
        assert seconds < BATCH_SECONDS * 1.5 + _SLACK_SECONDS

    run_scenario(scenario)


@pytest.mark.parametrize("fields", [{}, {"directory_epoch": None}], ids=["new", "old"])
def test_draining_gateway_is_reported_within_the_batch_time(fields):
    async def scenario(daemon, known):
        if fields:
            fields["directory_version"] = known.directory_version
        watching = daemon.watch(known, **fields)
        await asyncio.sleep(0)
        daemon.put("g", "draining")
        reply, seconds = await watching
        updates = reply.directory if fields else reply.directory_changed
        assert updates[0].state == "draining"
        assert BATCH_SECONDS <= seconds < BATCH_SECONDS + _SLACK_SECONDS

    run_scenario(scenario)


def revise(node):
    node.state.catalog.number = 1


def evacuate(node):
    node.state.evacuations.places = EvacuatedDataCentres(1, frozenset({"a"}))


@pytest.mark.parametrize("change", [revise, evacuate])
def test_revision_and_evacuation_do_not_wait_for_the_directory(change):
    async def scenario(daemon, known):
        watching = daemon.watch(known)
        await asyncio.sleep(BATCH_SECONDS / 10)
        daemon.put("g")
        change(daemon.node)
        daemon.node.applied()
        reply, seconds = await watching
        assert seconds < BATCH_SECONDS / 2
        # The reply also contains the directory changes up to then.
        assert len(reply.directory_changed) == 1

    run_scenario(scenario)


def test_watch_without_updates_is_held():
    async def scenario(daemon, known):
        reply, seconds = await daemon.watch(known)
        assert WATCH_HOLD_SECONDS <= seconds < WATCH_HOLD_SECONDS + _SLACK_SECONDS
        assert reply.directory is None and reply.directory_changed is None

    run_scenario(scenario)


def test_watch_without_the_directory_is_not_answered_for_it():
    async def scenario(daemon, known):
        watching = daemon.watch(known, without_directory=True)
        await asyncio.sleep(0)
        daemon.put("g")
        reply, seconds = await watching
        assert seconds >= WATCH_HOLD_SECONDS
        assert reply.directory is None and reply.directory_changed is None

    run_scenario(scenario)


def test_gateways_list_each_other_again_after_a_restart_of_the_control_daemon():
    async def scenario():
        site = Site(12)
        await site.settle(5.0)
        site.subscribers = Subscribers(site.node, None, CONTROL)
        ended = site.gateways.pop()
        await ended.stop()
        await site.settle(5.0)
        assert all(ended.identity not in listed(gateway) for gateway in site.gateways)
        await site.stop()

    asyncio.run(scenario())
