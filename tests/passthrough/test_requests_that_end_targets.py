"""A request that terminates every target that runs it is quarantined.

The failure: one request terminated up to nine engines, each 0.03 to 0.2 s after it had begun to
run there. The caller got 502 after the one attempt that its route allowed, and retried with the
same path, customer and body, but with a new id and at another gateway.

Each arrival respected the route's maximum number of attempts and reached a live target. The cause
was that nothing recorded that the request had terminated targets: not between the attempts of one
arrival, not between arrivals at one gateway, and not between gateways.
"""

import asyncio
import contextlib

import pytest

from tests.support.site import HOST, KEY, play
from traystall.core.serialization import pack
from traystall.routes.models import EngineProfile, KeyedCustomer, Pool, Route, Split
from traystall.rpc.gen.wire.ttypes import LiftRequest, StatusRequest

TARGETS = 8
FATAL_BODY = b"this ends whoever runs it"
# The quarantine begins after three terminated targets. Three more may be lost until all gateways
# know of it.
MAX_ENDS = 3 + 3
# Delays until a terminated target starts again, and until the caller retries.
RESTART_SECONDS = 0.3
RETRY_SECONDS = 0.25


def configuration():
    """Return repeatable, non-repeatable, streamed and resumable routes, over two pools."""
    plain = {"host": HOST, "splits": (Split("plain"),), "timeout": 5.0, "aim": 1.0}
    events = plain | {"splits": (Split("engine"),), "streamed": True}
    rows = {
        "route/again": Route(
            "again", path_prefix="/again/", repeatable=True, max_attempts=3, **plain
        ),
        "route/once": Route("once", path_prefix="/once/", **plain),
        "route/events": Route("events", path_prefix="/events/", **events),
        "route/resumed": Route(
            "resumed", path_prefix="/resumed/", resumable=True, max_attempts=3, **events
        ),
        "pool/plain": Pool("plain"),
        "pool/engine": Pool("engine", engine=EngineProfile(64, 100_000)),
        "keyed_customer/ana": KeyedCustomer("ana", (KEY,)),
    }
    return {key: pack(row) for key, row in rows.items()}


async def start_targets(site, pool, **options):
    await site.group.apply_entities("a", 1, configuration())
    for _ in range(TARGETS):
        runner = await site.add(pool, **options)
        runner.ends_on = FATAL_BODY
    path = "/events/x" if pool == "engine" else "/again/x"
    await site.until_all(path, 200)


async def restart_ended_targets(site, pool):
    """Restart every terminated target after a delay, under a new identity."""
    lives = 0
    while True:
        await asyncio.sleep(0.02)
        for runner in [runner for runner in site.runners if not runner.is_up]:
            await asyncio.sleep(RESTART_SECONDS)
            lives += 1
            await runner.start_again(f"{runner.identity.partition('+')[0]}+{lives}")
            await site.report(runner, pool)


def ends(site):
    return sum(runner.ends for runner in site.runners)


async def until_others_are_served(site, number, path):
    async with asyncio.timeout(5):
        while (await site.call(number, path))[0] != 200:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    ("path", "pool", "options"),
    [
        ("/again/x", "plain", {}),
        ("/once/x", "plain", {}),
        ("/events/x", "engine", {"events": 3}),
        ("/resumed/x", "engine", {"events": 3}),
    ],
)
def test_request_that_ends_its_targets_is_quarantined(tmp_path, path, pool, options):
    async def scenario(site):
        await start_targets(site, pool, **options)
        restarter = asyncio.create_task(restart_ended_targets(site, pool))
        answers = []
        for turn in range(10):
            number = turn % len(site.gateways)
            answers.append(await site.call(number, path, FATAL_BODY))
            await until_others_are_served(site, number, path)
            await asyncio.sleep(RETRY_SECONDS)
        restarter.cancel()
        assert 3 <= ends(site) <= MAX_ENDS
        assert answers[-3:] == [(503, b"quarantined\n")] * 3

    play(tmp_path, scenario, gateways=3)


async def until_refused_everywhere(site, path="/once/x"):
    """Send the fatal request until every gateway refuses it as quarantined."""
    async with asyncio.timeout(20):
        for number in range(len(site.gateways)):
            while (await site.call(number, path, FATAL_BODY)) != (503, b"quarantined\n"):
                await asyncio.sleep(RETRY_SECONDS)


@contextlib.asynccontextmanager
async def targets_restarted(site, pool="plain"):
    restarter = asyncio.create_task(restart_ended_targets(site, pool))
    try:
        yield
    finally:
        restarter.cancel()


async def restart_gateways_in_turn(site):
    for number, gateway in enumerate(site.gateways[:]):
        await gateway.stop()
        await site.start_gateway(number)
        site.gateways[number] = site.gateways.pop()


async def lose_the_leader(site):
    leader = next(
        name for name, daemon in site.group.daemons.items() if daemon is site.group.leader()
    )
    await site.group.stop(leader)
    await site.group.until(lambda: site.group.leader() is not None)


async def lose_all_power(site):
    for name in "abc":
        await site.group.stop(name)
    for gateway in site.gateways:
        await gateway.stop()
    site.gateways.clear()
    await asyncio.gather(*(site.group.start(name) for name in "abc"))
    await site.group.until(lambda: site.group.leader() is not None)
    for number in range(2):
        await site.start_gateway(number)


@pytest.mark.parametrize("event", [restart_gateways_in_turn, lose_the_leader, lose_all_power])
def test_quarantine_survives(tmp_path, event):
    async def scenario(site):
        await start_targets(site, "plain")
        async with targets_restarted(site):
            await until_refused_everywhere(site)
            before = ends(site)
            await event(site)
            for runner in site.runners:
                for name in site.group.daemons:
                    await site.report(runner, "plain", at=name)
            await site.until_all("/again/x", 200)
            for turn in range(6):
                number = turn % len(site.gateways)
                assert (await site.call(number, "/once/x", FATAL_BODY))[1] == b"quarantined\n"
            assert ends(site) == before

    play(tmp_path, scenario)


def test_concurrent_copies_at_all_gateways_are_quarantined(tmp_path):
    async def scenario(site):
        await start_targets(site, "plain")
        async with targets_restarted(site):
            for _ in range(3):
                await asyncio.gather(
                    *(site.call(number, "/once/x", FATAL_BODY) for number in range(3))
                )
                await asyncio.sleep(RETRY_SECONDS)
            before = ends(site)
            for _ in range(3):
                calls = [site.call(number, "/once/x", FATAL_BODY) for number in [0, 1, 2] * 4]
                answers = await asyncio.gather(*calls)
                assert {status for status, _ in answers} <= {502, 503}
            assert ends(site) <= before + 1

    play(tmp_path, scenario, gateways=3)


def test_operator_sees_and_lifts_the_quarantine(tmp_path):
    """Once the targets are repaired and the quarantine is lifted, the request runs again."""

    async def scenario(site):
        await start_targets(site, "plain")
        async with targets_restarted(site):
            await until_refused_everywhere(site)
        leader = site.group.daemons["a"].leader
        status = await leader.call(StatusRequest(), 5.0)
        (found,) = status.suspects
        assert (found.customer, found.route, found.pool) == ("ana", "once", "plain")
        assert found.ends >= 3 and found.refused > 3000
        assert found.evidence == "nothing listens at its address"
        for runner in site.runners:
            runner.ends_on = b""
            if not runner.is_up:
                await runner.start_again(f"{runner.identity}+mended")
                await site.report(runner, "plain")
        lifted = await leader.call(LiftRequest(digest=found.digest, operator="eva"), 5.0)
        assert lifted.lifted
        async with asyncio.timeout(5):
            while (await site.call(0, "/once/x", FATAL_BODY))[0] != 200:
                await asyncio.sleep(0.05)

    play(tmp_path, scenario)
