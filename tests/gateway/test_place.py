"""A restriction of a customer's data centres applies to later stages and to stored answers."""

import asyncio

import pytest

from tests.support.gateway_bench import ELSEWHERE, PLACE, GatewayBench, service_stage
from tests.support.raw_target import RawTarget
from traystall.tables.entities import Customer


def two_stages(repeatable=True):
    return [service_stage(name="first"), service_stage(repeatable, name="second")]


def change_places(bench, places):
    """Put a revision in force that changes the customer's data centres."""
    customer = Customer("customer", places)
    rows = [row for row in bench.rows if not isinstance(row, Customer)]
    bench.declare([*rows, customer], bench.follower.held.number + 1)


@pytest.mark.parametrize("places", [(ELSEWHERE,), ("nowhere",)])
def test_later_stages_of_a_running_request_are_not_started(places):
    async def scenario():
        target, outside = RawTarget("service", ["answered late"]), RawTarget("service")
        targets = {("pool", PLACE): [target], ("pool", ELSEWHERE): [outside]}
        async with GatewayBench(targets, two_stages()) as bench:
            asking = asyncio.create_task(bench.ask("mark"))
            while not target.runs:
                await asyncio.sleep(0.01)
            change_places(bench, places)
            status, document = await asking
            assert (status, document["code"]) == (503, "place-changed")
            assert document["run"] == "may-have-run"
            assert len(target.runs) == 1
            assert not outside.seen

    asyncio.run(scenario())


def test_stored_answers_are_dropped_when_the_data_centre_is_excluded():
    async def scenario():
        target = RawTarget("service")
        async with GatewayBench({("pool", PLACE): [target]}, two_stages(False)) as bench:
            assert (await bench.ask("mark", "key"))[0] == 200
            assert len(bench.context.results._rows) == 1
            change_places(bench, (ELSEWHERE,))
            assert len(bench.context.results._rows) == 0

    asyncio.run(scenario())


def test_target_in_another_data_centre_is_used_only_once_it_is_allowed():
    async def scenario():
        here, there = RawTarget("service"), RawTarget("service")
        targets = {("pool", PLACE): [here], ("pool", ELSEWHERE): [there]}
        async with GatewayBench(targets, [service_stage()]) as bench:
            for _ in range(6):
                assert (await bench.ask("mark"))[0] == 200
            assert not there.seen
            change_places(bench, (PLACE, ELSEWHERE))
            for _ in range(12):
                assert (await bench.ask("mark"))[0] == 200
            assert there.seen

    asyncio.run(scenario())
