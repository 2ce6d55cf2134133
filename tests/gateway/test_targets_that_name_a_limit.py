"""Pipelines: a target that announces a rate limit for all gateways gets no more than that.

Guards against gateways that ignore the announcement. An engine that announced one request a second
for all gateways still got 2.25 a second from pass-through gateways, and 12 in four seconds where 11
are allowed. The gateway of pipelines sends requests by its own code: a single target got 94
requests in two seconds, and one beside an idle target got 42, where 8 are allowed.
"""

import asyncio

import pytest

from tests.support.gateway_bench import PLACE, GatewayBench, engine_stage, service_stage
from tests.support.raw_target import RawTarget
from traystall.core import clock

LIMIT = 1.0
SPAN_SECONDS = 2.0
MOST = 1.5 * LIMIT * SPAN_SECONDS + 5
PRESSED_SECONDS = 4.0
LEARNED_SECONDS = 0.5


def run_scenario(scenario, stage, targets=2, deadline=3.0, lookup=""):
    async def bounded():
        found = [RawTarget(stage.kind) for _ in range(targets)]
        bench = GatewayBench({("pool", PLACE): found}, [stage], deadline=deadline, lookup=lookup)
        async with asyncio.timeout(30), bench:
            await scenario(bench, found)

    asyncio.run(bounded())


async def press(bench, body, seconds):
    began = clock.monotonic()
    calls = []
    while clock.monotonic() - began < seconds:
        calls.append(asyncio.create_task(bench.ask("mark", **body)))
        await asyncio.sleep(0.02)
    return [status for status, _ in await asyncio.gather(*calls)]


STAGES = [service_stage(), service_stage(repeatable=False), engine_stage()]


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("stage", STAGES, ids=["repeatable", "not repeatable", "engine"])
def test_limited_target_gets_no_more_than_its_limit(stage, count):
    async def scenario(bench, targets):
        targets[0].limit = str(LIMIT)
        body = {"prompt": "p"} if stage.kind == "engine" else {}
        while not targets[0].arrivals:
            await bench.ask("mark", **body)
        began = clock.monotonic()
        statuses = await press(bench, body, PRESSED_SECONDS)
        most = targets[0].most_within(SPAN_SECONDS, began + LEARNED_SECONDS)
        assert 0 < most <= MOST
        assert set(statuses) <= ({200} if count > 1 else {200, 503})

    run_scenario(scenario, stage, targets=count)


def test_target_is_unlimited_again_once_it_announces_no_limit():
    async def scenario(bench, targets):
        targets[0].limit = "0.5"
        while not targets[0].arrivals:
            await bench.ask("mark")
        await press(bench, {}, 1.0)
        targets[0].limit = None
        await press(bench, {}, 3.5)
        assert set(await press(bench, {}, 0.5)) == {200}

    run_scenario(scenario, service_stage(), targets=1)


def test_lookups_count_against_the_limit_and_are_skipped():
    async def scenario(bench, targets):
        targets[0].limit = "0.2"
        await bench.ask("mark", key="k0")
        seen = len(targets[0].arrivals)
        for number in range(10):
            row = bench.context.targets.get(f"pool-{PLACE}-0")
            bench.ledger.alive = False
            await bench.ask("mark", key=f"k{number // 5}")
            assert row.limit.is_limited
        assert len(targets[0].arrivals) - seen <= 2

    run_scenario(scenario, service_stage(repeatable=False), targets=1, lookup="/lookup")
