"""Test the preferred data centre of a stage, which follows from its inputs and its readers."""

import asyncio
from collections import Counter

import msgspec
import pytest

from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock
from traystall.passthrough.stages.homes import StageLocality, stage_locality
from traystall.registry.models import TargetReport
from traystall.routes.models import StagePlan

# A heavy stage beside a chain of three light ones, as in users' pipelines.
STAGES = (
    StagePlan("screen", (), 3_000_000),
    StagePlan("screen", (), 8_000),
    StagePlan("portal", (1,), 60_000),
    StagePlan("ledger", (2,), 6_000),
)
COUNTS = [2, 1, 8, 16]


def locality(index, inputs=None, read_at="a", counts=COUNTS):
    return stage_locality(STAGES, counts, index, Counter(inputs or {}), read_at)


def test_stage_with_heavy_results_runs_where_they_are_read():
    assert locality(0) == StageLocality("a", 3_000_000, 0, ())


def test_light_first_stage_runs_anywhere():
    assert locality(1) == StageLocality("", 0, 8 * 8_000, ("portal",))


def test_stage_with_light_inputs_runs_anywhere_but_in_one_data_centre():
    assert locality(2, {"b": 8_000}) == StageLocality("", 0, 16 * 60_000, ("ledger",))


def test_stage_runs_at_its_inputs_rather_than_at_the_engine():
    assert locality(3, {"b": 480_000}, read_at="a") == StageLocality("b", 480_000, 0, ())


def test_stage_runs_at_the_largest_part_of_its_inputs():
    assert locality(3, {"b": 120_000, "c": 360_000}, read_at="a").data_centre == "c"


def test_results_of_a_stage_without_readers_are_read_by_the_request():
    assert locality(2, {"b": 8_000}, "a", [2, 1, 8, 0]).data_centre == "a"


def test_stage_without_known_inputs_runs_anywhere():
    assert locality(3, {}, "").data_centre == ""


CHAIN = (StagePlan("first", (), 1_000_000), StagePlan("second", (0,), 10))


async def _run_staged_in_two_data_centres():
    """Run 12 requests; return the answers and, by data centre, requests with both stages there."""
    runners = {
        (pool, place): await Runner(f"{pool}-{place}", batch=4).start()
        for pool in ("first", "second")
        for place in ("here", "there")
    }
    engine = await Runner("e-1", events=2).start()
    routes = table(stages=CHAIN, timeout=10.0)
    batches = next(pool for pool in routes.pools if pool.name == "batches")
    pools = [pool for pool in routes.pools if pool.name != "batches"]
    pools += [_named(batches, name) for name in ("first", "second")]
    routes = _with_pools(routes, pools)
    async with EmulatedGateway(routes, [("engine", engine)]) as gateway:
        for (pool, place), runner in runners.items():
            runner.call_seconds = 0.01
            report = TargetReport(runner.identity, pool, runner.address, place, slots=1)
            gateway.context.board.merge(report, clock.monotonic())
        headers = {"Traystall-Pieces": "2,2", "Traystall-Piece-Key": "pk"}
        calls = [gateway.call("/staged/x", **headers) for _ in range(12)]
        answers = await asyncio.gather(*calls)
    places = {
        place: {item["request_id"] for call in runners["second", place].calls for item in call}
        & {item["request_id"] for call in runners["first", place].calls for item in call}
        for place in ("here", "there")
    }
    for runner in [*runners.values(), engine]:
        await runner.stop()
    return answers, places


def _named(pool, name):
    profile = msgspec.structs.replace(pool.batches, room_bytes=10**9)
    return msgspec.structs.replace(pool, name=name, batches=profile)


def _with_pools(routes, pools):
    return msgspec.structs.replace(routes, pools=tuple(pools))


def test_later_stages_run_in_the_data_centre_of_earlier_ones():
    answers, places = run(_run_staged_in_two_data_centres())
    assert {status for status, _, _ in answers} == {200}
    together = places["here"] | places["there"]
    assert len(together) == 12
    # The first stage prefers no data centre, so both data centres run some.
    assert places["here"]
    assert places["there"]


@pytest.mark.parametrize("index", range(4))
def test_data_centre_is_preferred_only_for_its_inputs(index):
    found = locality(index, {"b": 1}, read_at="")
    assert found.data_centre in ("", "b")
