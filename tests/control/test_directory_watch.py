"""When a watch is answered: news of the directory is gathered, all else isn't kept waiting."""

import asyncio

import pytest

from tests.support.directory_site import CONTROL, ControlNode, Site, listed
from traystall.control.directory import GATHER_SECONDS
from traystall.control.subscribers import WATCH_HOLD, Subscribers
from traystall.core import clock
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.rpc.gen.wire.ttypes import GatewayRecord, WatchRequest

# What a machine busy with other tests may add, in seconds.
_SLACK = 0.15


def record(name, state="serving", **fields):
    return GatewayRecord(
        identity=f"{name}/1", instance=name, state=state, number=0, age=0.0, **fields
    )


class Daemon:
    """Subscribers of one control daemon, with a watcher that knows its directory."""

    def __init__(self):
        self.node = ControlNode()
        self.subscribers = Subscribers(self.node, None, CONTROL)

    async def first(self):
        """Return the watcher's first reply."""
        return await self.subscribers.watch(WatchRequest(gateway=record("watcher")))

    def watch(self, known, **fields):
        """Begin a watch that knows what a reply told; return the reply and how long it took."""
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
        """Hear of a gateway from another control daemon."""
        self.subscribers._note(record(name, state), direct=False)


def play(scene):
    async def run():
        daemon = Daemon()
        return await scene(daemon, await daemon.first())

    return asyncio.run(run())


def test_first_watch_is_answered_at_once_and_whole():
    async def scene(daemon, known):
        assert [r.identity for r in known.directory] == ["watcher/1"]
        reply, seconds = await daemon.watch(known, directory_epoch="of another life")
        assert reply.directory is not None and seconds < _SLACK

    play(scene)


def test_burst_of_changes_is_one_reply():
    async def scene(daemon, known):
        watching = daemon.watch(known)
        for number in range(5):
            await asyncio.sleep(GATHER_SECONDS / 10)
            daemon.put(f"g{number}")
        reply, seconds = await watching
        assert len(reply.directory_changed) == 5
        assert GATHER_SECONDS <= seconds < GATHER_SECONDS + _SLACK

    play(scene)


def test_change_after_a_quiet_while_is_told_at_once():
    async def scene(daemon, known):
        watching = daemon.watch(known)
        await asyncio.sleep(GATHER_SECONDS * 1.5)
        daemon.put("g", "draining")
        reply, seconds = await watching
        assert [r.state for r in reply.directory_changed] == ["draining"]
        assert seconds < GATHER_SECONDS * 1.5 + _SLACK

    play(scene)


@pytest.mark.parametrize("fields", [{}, {"directory_epoch": None}], ids=["new", "old"])
def test_gateway_that_drains_is_told_no_later_than_it_takes_to_gather(fields):
    async def scene(daemon, known):
        if fields:
            fields["directory_version"] = known.directory_version
        watching = daemon.watch(known, **fields)
        await asyncio.sleep(0)
        daemon.put("g", "draining")
        reply, seconds = await watching
        told = reply.directory if fields else reply.directory_changed
        assert told[0].state == "draining"
        assert GATHER_SECONDS <= seconds < GATHER_SECONDS + _SLACK

    play(scene)


def revise(node):
    node.state.catalog.number = 1


def evacuate(node):
    node.state.evacuations.places = EvacuatedDataCentres(1, frozenset({"a"}))


@pytest.mark.parametrize("change", [revise, evacuate])
def test_revision_and_evacuation_do_not_wait_for_the_directory(change):
    async def scene(daemon, known):
        watching = daemon.watch(known)
        await asyncio.sleep(GATHER_SECONDS / 10)
        daemon.put("g")
        change(daemon.node)
        daemon.node.applied()
        reply, seconds = await watching
        assert seconds < GATHER_SECONDS / 2
        # What is new in the directory by then goes along.
        assert len(reply.directory_changed) == 1

    play(scene)


def test_watch_without_news_is_held():
    async def scene(daemon, known):
        reply, seconds = await daemon.watch(known)
        assert WATCH_HOLD <= seconds < WATCH_HOLD + _SLACK
        assert reply.directory is None and reply.directory_changed is None

    play(scene)


def test_watch_without_the_directory_is_not_answered_for_it():
    async def scene(daemon, known):
        watching = daemon.watch(known, without_directory=True)
        await asyncio.sleep(0)
        daemon.put("g")
        reply, seconds = await watching
        assert seconds >= WATCH_HOLD
        assert reply.directory is None and reply.directory_changed is None

    play(scene)


def test_gateways_list_each_other_again_after_a_restart_of_the_control_daemon():
    async def scene():
        site = Site(12)
        await site.settle(5.0)
        site.subscribers = Subscribers(site.node, None, CONTROL)
        ended = site.gateways.pop()
        await ended.stop()
        await site.settle(5.0)
        assert all(ended.identity not in listed(gateway) for gateway in site.gateways)
        await site.stop()

    asyncio.run(scene())
