"""Watches of a registry: told at once of targets and of a new revision, by any daemon."""

import asyncio

import pytest

from traystall.quarantine.models import EndedRun, ReportRuns
from traystall.quarantine.state import SuspectTable
from traystall.registry.follower import RegistryFollower
from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.service import WATCH_HOLD_SECONDS, RegistryService
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire.ttypes import RegistryReply, RegistryRequest
from traystall.rpc.server import RpcServer


class Numbered:
    number = 3

    def __call__(self):
        return self.number


def watch_from(service, **fields):
    return service.watch(RegistryRequest(sender="w", **fields))


def test_new_revision_wakes_a_watch_that_waits():
    async def play():
        number = Numbered()
        service = RegistryService(lambda: [], number)
        first = await watch_from(service, epoch="", version=0, number=3)
        waiting = asyncio.create_task(
            watch_from(service, epoch=first.epoch, version=first.version, number=3)
        )
        await asyncio.sleep(0)
        number.number = 4
        service.on_applied()
        async with asyncio.timeout(WATCH_HOLD_SECONDS / 2):
            assert (await waiting).number == 4

    asyncio.run(play())


def test_watcher_of_another_life_gets_everything():
    async def play():
        service = RegistryService(lambda: [])
        service.report(TargetReport("t", "p", "x:1"))
        reply = await watch_from(service, epoch="of another life", version=99, number=0)
        assert [record.identity for record in reply.targets] == ["t"]
        assert set(reply.ages) == {"t"}

    asyncio.run(play())


@pytest.mark.parametrize("silent", [0, 1])
def test_follower_learns_from_any_daemon_while_another_is_silent(silent):
    """One of two daemons accepts links and never answers, as one that was cut off does."""

    async def play():
        number = Numbered()
        service = RegistryService(lambda: [], number)
        service.report(TargetReport("t", "p", "x:1"))

        async def answer(request):
            return await service.watch(request)

        async def never(request):
            await asyncio.sleep(3600)

        handlers = [answer, answer]
        handlers[silent] = never
        servers, addresses = [], []
        for handler in handlers:
            server = RpcServer("127.0.0.1:0", "c", "", handler)
            await server.start()
            servers.append(server)
            port = server._server.sockets[0].getsockname()[1]
            addresses.append(f"127.0.0.1:{port}")
        links = LinkPool(LinkIdentity("c", "gateway", "g"))
        follower = RegistryFollower(links, "g", lambda: addresses)
        seen, told = [], []
        follower.number = lambda: 3
        follower.merge = lambda report, seen_at: seen.append(report.state)
        follower.on_newer_revision = lambda number, address: told.append((number, address))
        task = asyncio.create_task(follower.follow_forever())
        async with asyncio.timeout(5):
            while not seen:
                await asyncio.sleep(0.01)
            service.leave("t")
            number.number = 4
            service.on_applied()
            while RegisteredState.GONE not in seen or not told:
                await asyncio.sleep(0.01)
        task.cancel()
        for server in servers:
            await server.stop()
        await links.close()
        assert told[0] == (4, addresses[1 - silent])

    asyncio.run(play())


def test_revision_that_is_on_its_way_is_not_told_ten_times_a_second():
    """Each reply lists the age of every target: told at once, again and again, it fills links."""

    async def play():
        service = RegistryService(lambda: [], lambda: 4)
        replies, told = [], []

        async def answer(request):
            reply = await service.watch(request)
            replies.append(reply)
            return reply

        server = RpcServer("127.0.0.1:0", "c", "", answer)
        await server.start()
        port = server._server.sockets[0].getsockname()[1]
        links = LinkPool(LinkIdentity("c", "gateway", "g"))
        follower = RegistryFollower(links, "g", lambda: [f"127.0.0.1:{port}"])
        follower.number = lambda: 3
        follower.on_newer_revision = lambda number, address: told.append(number)
        task = asyncio.create_task(follower.follow_forever())
        await asyncio.sleep(1.5 * WATCH_HOLD_SECONDS)
        task.cancel()
        await server.stop()
        await links.close()
        assert told and len(replies) <= 2
        assert follower.newest_revision == 4

    asyncio.run(play())


def test_a_number_that_nobody_tells_any_more_is_forgotten():
    """A group that was restored from a backup counts from a lower number."""
    numbers = iter([9, 3])

    class Link:
        async def call(self, request, timeout):
            await asyncio.sleep(0.01)
            return RegistryReply(epoch="e", version=1, members=[], number=next(numbers, 3))

    class Links:
        def link(self, address):
            return Link()

    async def play():
        follower = RegistryFollower(Links(), "g", lambda: ["a"])
        follower.number = lambda: 3
        following = asyncio.create_task(follower.follow_forever())
        seen = set()
        async with asyncio.timeout(10):
            while not {9, 3} <= seen:
                seen.add(follower.newest_revision)
                await asyncio.sleep(0)
        following.cancel()
        assert follower.newest_revision == 3

    asyncio.run(play())


def end(life):
    return EndedRun(b"digest", "ana", "route", "pool", life, "nothing listens")


def test_suspect_wakes_a_watch_that_waits_and_only_what_is_new_is_told():
    async def play():
        suspects = SuspectTable()
        service = RegistryService(lambda: [], suspects=suspects)
        first = await watch_from(service, epoch="", version=0, number=0, suspects_version=0)
        assert first.suspects.full and not first.suspects.changed
        waiting = asyncio.create_task(
            watch_from(
                service, epoch=first.epoch, version=first.version, number=0, suspects_version=0
            )
        )
        await asyncio.sleep(0)
        suspects.report(ReportRuns((end("life-1"), end("life-2")), (), (), 1.0))
        service.on_applied()
        async with asyncio.timeout(WATCH_HOLD_SECONDS / 2):
            told = (await waiting).suspects
        assert [(one.digest, one.ends) for one in told.changed] == [(b"digest", 2)]
        again = await watch_from(
            service, epoch="", version=0, number=0, suspects_version=told.version
        )
        assert not again.suspects.full and not again.suspects.changed

    asyncio.run(play())


def test_watcher_of_an_earlier_release_is_told_nothing_of_suspects_and_waits_for_none():
    async def play():
        suspects = SuspectTable()
        suspects.report(ReportRuns((end("life-1"), end("life-2")), (), (), 1.0))
        service = RegistryService(lambda: [], suspects=suspects)
        first = await watch_from(service, epoch="", version=0, number=0)
        assert first.suspects is None
        began = asyncio.get_running_loop().time()
        await watch_from(service, epoch=first.epoch, version=first.version, ages_told=0.7)
        assert asyncio.get_running_loop().time() - began > 0.2

    asyncio.run(play())


def test_one_registry_of_an_earlier_release_is_enough_to_report_nothing():
    """It would end the link of whoever sends what it does not know."""
    follower = RegistryFollower(None, "g", lambda: [])
    follower._tells_suspects = {"a": True, "b": True}
    assert follower.all_support_suspects
    follower._tells_suspects["c"] = False
    assert not follower.all_support_suspects
