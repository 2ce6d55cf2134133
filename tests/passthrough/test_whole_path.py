"""Test control daemons, gateways and registered targets together, without the platform."""

import asyncio

from tests.support.site import STAGED, entities, play
from traystall.rpc.gen.wire.ttypes import EvacuateRequest, StatusRequest


def test_every_gateway_serves_requests_of_every_route(tmp_path):
    async def scenario(site):
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

    play(tmp_path, scenario)


def test_draining_target_gets_no_requests_from_any_gateway(tmp_path):
    async def scenario(site):
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

    play(tmp_path, scenario)


def test_new_revision_reaches_all_gateways_after_the_leader_is_lost(tmp_path):
    async def scenario(site):
        await site.group.apply_entities("a", 1, entities())
        await site.add("plain")
        other = await site.add("other")
        await site.until_all("/plain/x", 200)
        leader = next(name for name, d in site.group.daemons.items() if d is site.group.leader())
        await site.group.stop(leader)
        remaining = next(iter(site.group.daemons))
        await site.group.apply_entities(remaining, 2, entities(pool="other"))
        async with asyncio.timeout(20):
            while any(g.gateway_context.index.number < 2 for g in site.gateways):
                await asyncio.sleep(0.02)
        for number in range(2):
            assert (await site.call(number, "/plain/x"))[0] == 200
        assert len(other.runs) == 2

    play(tmp_path, scenario)


def test_unreadable_report_is_refused_with_a_reason(tmp_path):
    async def scenario(site):
        url = f"http://{site.group.http['a']}/v1/targets/t"
        for body in (b"{", b"{}", b'{"pool": "p", "address": "x", "state": "dancing"}'):
            async with site.session.put(url, data=body) as response:
                assert response.status == 400
                assert "can't be read" in (await response.json())["error"]

    play(tmp_path, scenario)


async def evacuate_data_centre(site, name, evacuated, data_centre="here"):
    request = EvacuateRequest(data_centre=data_centre, evacuated=evacuated, operator="ana")
    return await site.group.daemons[name].leader.call(request, 5.0)


def test_evacuation_reaches_all_gateways_and_one_that_starts_later(tmp_path):
    async def scenario(site):
        await site.group.apply_entities("a", 1, entities())
        plain = await site.add("plain")
        await site.until_all("/plain/x", 200)
        await evacuate_data_centre(site, "b", True)
        await site.until_all("/plain/x", 503)
        await site.start_gateway(2)
        await site.until_all("/plain/x", 503)
        ran = len(plain.runs)
        assert (await site.call(2, "/plain/x"))[1] == b"evacuated\n"
        assert len(plain.runs) == ran
        status = await site.group.daemons["a"].leader.call(StatusRequest(), 2.0)
        assert {g.evacuation_version for g in status.gateways} == {1}
        await evacuate_data_centre(site, "c", False)
        await site.until_all("/plain/x", 200)

    play(tmp_path, scenario)


def test_evacuation_reaches_gateways_after_the_leader_is_lost(tmp_path):
    async def scenario(site):
        await site.group.apply_entities("a", 1, entities())
        await site.add("plain")
        await site.until_all("/plain/x", 200)
        leader = next(name for name, d in site.group.daemons.items() if d is site.group.leader())
        await site.group.stop(leader)
        await evacuate_data_centre(site, next(iter(site.group.daemons)), True)
        await site.until_all("/plain/x", 503)

    play(tmp_path, scenario)


def test_gateway_behind_a_revision_refuses_only_temporarily(tmp_path):
    """Guards against 404 and 401 for a route or key that a newer revision may contain.

    Routes of the revision in force are served meanwhile.
    """

    async def scenario(site):
        await site.group.apply_entities("a", 1, entities())
        await site.add("plain")
        await site.until_all("/plain/x", 200)
        assert (await site.call(0, "/none/"))[0] == 404
        assert (await site.call(0, "/plain/x", Authorization="Token k"))[0] == 401
        site.gateways[0].gateway_context.registry._revisions["elsewhere"] = 2
        assert await site.call(0, "/none/") == (503, b"behind\n")
        assert await site.call(0, "/plain/x", Authorization="Token k") == (503, b"behind\n")
        assert (await site.call(0, "/plain/x"))[0] == 200
        await site.group.apply_entities("a", 2, entities(pool="other"))
        async with asyncio.timeout(20):
            while site.gateways[0].gateway_context.index.number < 2:
                await asyncio.sleep(0.02)
        assert (await site.call(0, "/none/"))[0] == 404

    play(tmp_path, scenario)
