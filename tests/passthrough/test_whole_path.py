"""The whole path without the platform: control daemons, gateways, targets that register themselves.

Everything speaks the product's own form: bundles' entities, /v1/targets, its own headers.
"""

import asyncio

import aiohttp

from tests.support.control_group import ControlGroup
from tests.support.emulator.runner import Runner
from tests.support.pass_gateway import start_pass_gateway
from traystall.core.serialization import pack
from traystall.passthrough.dialect import HeaderNames
from traystall.routes.models import (
    BatchProfile,
    EngineProfile,
    KeyedCustomer,
    Pool,
    Route,
    Split,
    StagePlan,
)
from traystall.rpc.gen.wire.ttypes import EvacuateRequest, StatusRequest

HOST = "shop.example"
KEY = "key-1"
STAGED = {"Traystall-Pieces": "5,3", "Traystall-Piece-Key": "pk"}


def entities(pool="plain"):
    """Return a configuration: a plain route to `pool`, a streamed one with two stages."""
    rows = {
        "route/plain": Route("plain", HOST, "/plain/", (Split(pool),), True, timeout=5.0, aim=1.0),
        "route/staged": Route(
            "staged",
            HOST,
            "/staged/",
            (Split("engine"),),
            streamed=True,
            timeout=5.0,
            aim=2.0,
            stages=(StagePlan("batches", (), 10), StagePlan("batches", (0,), 10)),
        ),
        "pool/plain": Pool("plain"),
        "pool/other": Pool("other"),
        "pool/engine": Pool("engine", engine=EngineProfile(64, 100_000)),
        "pool/batches": Pool(
            "batches", batches=BatchProfile(1, 2, 4, room_bytes=1e6, result_lifetime=4.0)
        ),
        "keyed_customer/ana": KeyedCustomer("ana", (KEY,), None, ("here",)),
    }
    return {key: pack(row) for key, row in rows.items()}


class Site:
    """Hold control daemons, two gateways and targets; callers and targets speak HTTP to them."""

    def __init__(self, root):
        self.group = ControlGroup(root)
        self.gateways = []
        self.runners = []

    async def start(self):
        await asyncio.gather(*(self.group.start(name, founding=True) for name in "abc"))
        await self.group.until(lambda: self.group.live_voters() == {"a", "b", "c"})
        self.session = aiohttp.ClientSession()
        for number in range(2):
            await self._start_gateway(number)

    async def _start_gateway(self, number):
        gateway = await start_pass_gateway(f"gateway-{number}", self.group.addresses.values())
        self.gateways.append(gateway)

    async def add(self, pool, **options):
        runner = await Runner(f"{pool}-{len(self.runners)}", **options).start()
        self.runners.append(runner)
        await self.report(runner, pool)
        return runner

    async def report(self, runner, pool, state="ready", sequence=1, at="a"):
        body = {
            "pool": pool,
            "address": runner.address,
            "data_centre": "here",
            "slots": 4,
            "state": state,
            "sequence": sequence,
        }
        url = f"http://{self.group.http[at]}/v1/targets/{runner.identity}"
        async with self.session.put(url, json=body) as response:
            assert response.status == 200

    async def call(self, number, path, **headers):
        names = HeaderNames()
        sent = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            names.request_id: f"{path} {number} {len(headers)}",
        }
        url = f"http://{self.gateways[number].settings.listen}{path}"
        async with self.session.post(url, data=b"hello", headers=sent | headers) as response:
            return response.status, await response.read()

    async def until_all(self, path, status, body=None):
        """Return once every gateway answers so."""

        async def settled():
            answers = [await self.call(number, path) for number in range(len(self.gateways))]
            return all(s == status and body in (None, b) for s, b in answers)

        async with asyncio.timeout(20):
            while not await settled():
                await asyncio.sleep(0.05)

    async def stop(self):
        await self.session.close()
        for gateway in self.gateways:
            await gateway.stop()
        for runner in self.runners:
            await runner.stop()
        await self.group.stop_all()


def play(tmp_path, story):
    async def bounded():
        site = Site(tmp_path)
        try:
            async with asyncio.timeout(90):
                await site.start()
                await story(site)
        finally:
            await site.stop()

    asyncio.run(bounded())


def test_requests_of_every_kind_are_served_at_every_gateway(tmp_path):
    async def story(site):
        assert (await site.call(0, "/plain/x"))[0] == 503
        await site.group.apply_entities("a", 1, entities())
        await site.add("plain")
        await site.add("engine", events=4)
        await site.add("batches", batch=4)
        await site.until_all("/plain/x", 200)
        for number in range(2):
            status, body = await site.call(number, "/staged/x", **STAGED)
            assert (status, body.count(b"id: ")) == (200, 4)
        assert (await site.call(1, "/none/"))[0] == 404

    play(tmp_path, story)


def test_leaving_targets_get_nothing_more_wherever_they_said_so(tmp_path):
    async def story(site):
        await site.group.apply_entities("a", 1, entities())
        first = await site.add("plain")
        await site.until_all("/plain/x", 200)
        second = await site.add("plain")
        await site.report(first, "plain", state="draining", sequence=2, at="b")
        async with asyncio.timeout(20):
            while any(
                [v.identity for v in g.gateway_context.board.pool("plain")] != [second.identity]
                for g in site.gateways
            ):
                await asyncio.sleep(0.02)
        await site.report(first, "plain", state="ready", sequence=1, at="c")
        await asyncio.sleep(0.3)
        before = len(first.runs)
        for turn in range(10):
            assert (await site.call(turn % 2, "/plain/x"))[0] == 200
        assert len(first.runs) == before

    play(tmp_path, story)


def test_new_revision_is_in_force_everywhere_with_the_leader_lost(tmp_path):
    async def story(site):
        await site.group.apply_entities("a", 1, entities())
        await site.add("plain")
        other = await site.add("other")
        await site.until_all("/plain/x", 200)
        leader = next(name for name, d in site.group.daemons.items() if d is site.group.leader())
        await site.group.stop(leader)
        survivor = next(iter(site.group.daemons))
        await site.group.apply_entities(survivor, 2, entities(pool="other"))
        async with asyncio.timeout(20):
            while any(g.gateway_context.index.number < 2 for g in site.gateways):
                await asyncio.sleep(0.02)
        for number in range(2):
            assert (await site.call(number, "/plain/x"))[0] == 200
        assert len(other.runs) == 2

    play(tmp_path, story)


def test_unreadable_report_is_refused_with_its_fault(tmp_path):
    async def story(site):
        url = f"http://{site.group.http['a']}/v1/targets/t"
        for body in (b"{", b"{}", b'{"pool": "p", "address": "x", "state": "dancing"}'):
            async with site.session.put(url, data=body) as response:
                assert response.status == 400
                assert "can't be read" in (await response.json())["error"]

    play(tmp_path, story)


async def order(site, name, evacuated, place="here"):
    request = EvacuateRequest(data_centre=place, evacuated=evacuated, operator="ana")
    return await site.group.daemons[name].leader.call(request, 5.0)


def test_evacuation_is_in_force_at_every_gateway_also_at_one_that_starts_later(tmp_path):
    async def story(site):
        await site.group.apply_entities("a", 1, entities())
        plain = await site.add("plain")
        await site.until_all("/plain/x", 200)
        await order(site, "b", True)
        await site.until_all("/plain/x", 503)
        await site._start_gateway(2)
        await site.until_all("/plain/x", 503)
        ran = len(plain.runs)
        assert (await site.call(2, "/plain/x"))[1] == b"evacuated\n"
        assert len(plain.runs) == ran
        status = await site.group.daemons["a"].leader.call(StatusRequest(), 2.0)
        assert {g.evacuation_version for g in status.gateways} == {1}
        await order(site, "c", False)
        await site.until_all("/plain/x", 200)

    play(tmp_path, story)


def test_evacuation_reaches_gateways_with_the_leader_lost(tmp_path):
    async def story(site):
        await site.group.apply_entities("a", 1, entities())
        await site.add("plain")
        await site.until_all("/plain/x", 200)
        leader = next(name for name, d in site.group.daemons.items() if d is site.group.leader())
        await site.group.stop(leader)
        await order(site, next(iter(site.group.daemons)), True)
        await site.until_all("/plain/x", 503)

    play(tmp_path, story)


def test_gateway_that_knows_it_is_behind_denies_nothing_for_good(tmp_path):
    """A newer revision may have the route or the key; what is in force already is served."""

    async def story(site):
        await site.group.apply_entities("a", 1, entities())
        await site.add("plain")
        await site.until_all("/plain/x", 200)
        assert (await site.call(0, "/none/"))[0] == 404
        assert (await site.call(0, "/plain/x", Authorization="Token k"))[0] == 401
        site.gateways[0].gateway_context.registry._told_numbers["elsewhere"] = 2
        assert await site.call(0, "/none/") == (503, b"behind\n")
        assert await site.call(0, "/plain/x", Authorization="Token k") == (503, b"behind\n")
        assert (await site.call(0, "/plain/x"))[0] == 200
        await site.group.apply_entities("a", 2, entities(pool="other"))
        async with asyncio.timeout(20):
            while site.gateways[0].gateway_context.index.number < 2:
                await asyncio.sleep(0.02)
        assert (await site.call(0, "/none/"))[0] == 404

    play(tmp_path, story)
