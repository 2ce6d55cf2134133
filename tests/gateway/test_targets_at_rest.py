"""Pipelines: a target that asks for a backoff gets no requests until it ends.

Callers whose requests can't wait that long get a Retry-After.
"""

import asyncio
import logging

import pytest
from multidict import CIMultiDict

from tests.support.gateway_bench import PLACE, GatewayBench, engine_stage, service_stage
from tests.support.raw_target import RawTarget
from traystall.core import clock, metrics
from traystall.core.logs import DECISION_LOGGER
from traystall.gateway.lookups import ResultLookup
from traystall.gateway.target_notices import apply_backoff
from traystall.systems.membership import PresenceReport, on_report
from traystall.tables.availability import MAX_IN_FLIGHT_AFTER_BACKOFF
from traystall.tables.targets import TargetRow

BACKOFF_SECONDS = 2.0
IMMEDIATE_SECONDS = 0.3


def run_scenario(scenario, stage, targets=2, deadline=3.0, lookup=""):
    async def bounded():
        found = [RawTarget(stage.kind) for _ in range(targets)]
        bench = GatewayBench({("pool", PLACE): found}, [stage], deadline=deadline, lookup=lookup)
        async with asyncio.timeout(30), bench:
            await scenario(bench, found)

    asyncio.run(bounded())


def row_of(bench, number):
    return bench.context.targets.get(f"pool-{PLACE}-{number}")


@pytest.mark.parametrize("fault", ["rests", "rests without the mark"])
@pytest.mark.parametrize(
    "stage",
    [service_stage(), service_stage(repeatable=False), engine_stage()],
    ids=["repeatable", "not repeatable", "engine"],
)
def test_target_beside_an_idle_one_gets_its_backoff(stage, fault):
    async def scenario(bench, targets):
        for target in targets:
            target.rest = "2"
        targets[0].faults = [fault]
        body = {"prompt": "p"} if stage.kind == "engine" else {}
        while targets[0].faults:
            await bench.ask("mark", **body)
        began = clock.monotonic()
        seen = len(targets[0].seen)
        while clock.monotonic() - began < BACKOFF_SECONDS - 0.1:
            assert (await bench.ask("mark", **body))[0] == 200
            await asyncio.sleep(0.02)
        assert len(targets[0].seen) == seen
        await asyncio.sleep(0.2)
        await asyncio.gather(*(bench.ask("mark", **body) for _ in range(20)))
        assert len(targets[0].seen) > seen

    run_scenario(scenario, stage)


def test_pool_with_all_targets_in_backoff_refuses_immediately():
    async def scenario(bench, targets):
        for number in range(2):
            row_of(bench, number).availability.request_backoff(5.0 + number, "", clock.monotonic())
        began = clock.monotonic()
        sent = {"Traystall-Customer": "customer"}
        async with bench.session.post(bench.url, json={"input": "mark"}, headers=sent) as response:
            document = await response.json(content_type=None)
        assert clock.monotonic() - began < IMMEDIATE_SECONDS
        assert (response.status, document["run"]) == (503, "not-run")
        assert 5 <= int(response.headers["Retry-After"]) <= 6
        assert targets[0].seen == targets[1].seen == []

    run_scenario(scenario, service_stage())


def test_request_is_held_back_if_the_backoff_starts_after_the_choice(monkeypatch):
    async def scenario(bench, targets):
        first = row_of(bench, 0)
        row_of(bench, 1).service_ratio = 50.0  # So that the first one is chosen.
        take = TargetRow.take

        def take_late(row, priority):
            if row is first:
                row.availability.request_backoff(5.0, "", clock.monotonic())
            take(row, priority)

        monkeypatch.setattr(TargetRow, "take", take_late)
        tokens = bench.context.retry_budget.tokens
        status, _ = await bench.ask("mark")
        assert status == 200
        assert targets[0].seen == []
        assert bench.context.retry_budget.tokens >= tokens
        assert first.breaker.failures == 0

    run_scenario(scenario, service_stage())


def test_backoff_outlasts_a_revision_but_not_the_incarnation():
    async def scenario(bench, targets):
        row = row_of(bench, 0)
        row.incarnation = "one"
        row.availability.request_backoff(30.0, "", clock.monotonic())
        bench.declare(bench.rows, 2)
        assert row_of(bench, 0) is row
        assert row.availability.is_backing_off(clock.monotonic() + 29)
        on_report(row, PresenceReport(row.target.name, False, "two", first_hand=True))
        assert not row.availability.is_backing_off(clock.monotonic())

    run_scenario(scenario, service_stage())


@pytest.mark.parametrize("leaves", [False, True])
def test_backoff_and_leaving_state_outlast_a_removal(leaves):
    """An evacuation removes targets and restores them."""

    async def scenario(bench, targets):
        row = row_of(bench, 0)
        if leaves:
            on_report(row, PresenceReport(row.target.name, True, "one", first_hand=True))
        else:
            row.availability.request_backoff(30.0, "", clock.monotonic())
        rows = bench.rows
        bench.declare([one for one in rows if one is not row.target and one != row.target], 2)
        assert row_of(bench, 0) is None
        bench.declare(rows, 3)
        for _ in range(10):
            assert (await bench.ask("mark"))[0] == 200
        assert targets[0].seen == []

    run_scenario(scenario, service_stage())


def test_request_waits_for_a_backoff_that_ends_in_time():
    async def scenario(bench, targets):
        row_of(bench, 0).availability.request_backoff(0.5, "", clock.monotonic())
        began = clock.monotonic()
        assert (await bench.ask("mark"))[0] == 200
        assert 0.4 < clock.monotonic() - began < 0.9

    run_scenario(scenario, service_stage(), targets=1)


def test_few_requests_are_sent_first_after_a_backoff():
    async def scenario(bench, targets):
        row = row_of(bench, 0)
        row.share = 20
        targets[0].faults = ["answered late"] * MAX_IN_FLIGHT_AFTER_BACKOFF
        row.availability.request_backoff(0.1, "", clock.monotonic())
        calls = [asyncio.create_task(bench.ask(f"mark {n}")) for n in range(10)]
        await asyncio.sleep(0.5)
        assert len(targets[0].seen) == MAX_IN_FLIGHT_AFTER_BACKOFF
        assert {status for status, _ in await asyncio.gather(*calls)} == {200}
        assert (row.availability.recovery_in_flight, row.availability.is_recovering) == (0, False)

    run_scenario(scenario, service_stage(), targets=1, deadline=6.0)


def test_request_waits_for_a_shorter_backoff_that_starts_later():
    async def scenario(bench, targets):
        first, second = row_of(bench, 0), row_of(bench, 1)
        first.availability.request_backoff(3.0, "", clock.monotonic())
        second.availability.request_backoff(3.0, "", clock.monotonic())
        call = asyncio.create_task(bench.ask("mark"))
        await asyncio.sleep(0.1)
        second.availability.lift()
        second.availability.request_backoff(0.3, "", clock.monotonic())
        other = asyncio.create_task(bench.ask("other"))
        began = clock.monotonic()
        assert {(await call)[0], (await other)[0]} == {200}
        assert clock.monotonic() - began < 1.0

    run_scenario(scenario, service_stage(), deadline=8.0)


def test_status_429_starts_a_backoff():
    async def scenario(bench, targets):
        row = row_of(bench, 0)
        apply_backoff(row, 429, CIMultiDict({"Retry-After": "31"}))
        assert row.availability.is_backing_off(clock.monotonic() + 30.5)

    run_scenario(scenario, service_stage())


def test_end_of_a_backoff_is_logged_and_counted(caplog):
    caplog.set_level(logging.INFO, DECISION_LOGGER)

    async def scenario(bench, targets):
        targets[0].rest, targets[0].faults = "0.3", ["rests"]
        call = asyncio.create_task(bench.ask("mark"))
        await asyncio.sleep(0.15)
        bench.context.tick()
        assert metrics.resting_targets.get({}) == 1
        assert (await call)[0] == 200
        bench.context.tick()
        assert metrics.resting_targets.get({}) == 0

    run_scenario(scenario, service_stage(), targets=1)
    found = [r.getMessage() for r in caplog.records if r.getMessage().startswith("target-")]
    assert found == ["target-rests", "target-rested"]


def test_response_to_a_probe_does_not_end_the_recovery():
    """A response to a probe is no evidence that the target can process work again."""

    async def scenario(bench, targets):
        row = row_of(bench, 0)
        row.availability.request_backoff(0.05, "", clock.monotonic())
        await asyncio.sleep(0.1)
        apply_backoff(row, 200, {})
        assert row.availability.is_recovering
        assert (await bench.ask("mark"))[0] == 200
        assert not row.availability.is_recovering

    run_scenario(scenario, service_stage(), targets=1)


def test_lookups_skip_a_target_in_backoff():
    async def scenario(bench, targets):
        for number in range(2):
            row_of(bench, number).availability.request_backoff(30.0, "", clock.monotonic())
        looked = []
        get_json = bench.context.http.get_json

        async def counted(url, *args, **options):
            looked.append(url)
            return await get_json(url, *args, **options)

        bench.context.http.get_json = counted
        target = row_of(bench, 0).target
        assert await ResultLookup(bench.context)._query(target, "k") is None
        assert looked == []

    run_scenario(scenario, service_stage(), lookup="/lookup")
