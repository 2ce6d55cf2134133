"""Where a stage is best made follows from where its inputs lie and who reads its results."""

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

# A heavy stage beside a chain of three light ones, as the users' sites have them.
STAGES = (
    StagePlan("screen", (), 3_000_000),
    StagePlan("screen", (), 8_000),
    StagePlan("portal", (1,), 60_000),
    StagePlan("ledger", (2,), 6_000),
)
COUNTS = [2, 1, 8, 16]


def home(index, inputs=None, read_at="a", counts=COUNTS):
    return stage_locality(STAGES, counts, index, Counter(inputs or {}), read_at)


def test_heavy_result_is_made_where_it_is_read():
    assert home(0) == StageLocality("a", 3_000_000, 0, ())


def test_first_stage_with_little_to_move_is_made_anywhere():
    assert home(1) == StageLocality("", 0, 8 * 8_000, ("portal",))


def test_stage_that_reads_little_is_made_anywhere_and_kept_together():
    assert home(2, {"b": 8_000}) == StageLocality("", 0, 16 * 60_000, ("ledger",))


def test_stage_follows_its_inputs_not_the_engine():
    assert home(3, {"b": 480_000}, read_at="a") == StageLocality("b", 480_000, 0, ())


def test_stage_follows_the_larger_part_of_its_inputs():
    assert home(3, {"b": 120_000, "c": 360_000}, read_at="a").data_centre == "c"


def test_stage_whose_readers_are_left_out_is_read_by_the_request():
    assert home(2, {"b": 8_000}, "a", [2, 1, 8, 0]).data_centre == "a"


def test_nothing_known_means_anywhere():
    assert home(3, {}, "").data_centre == ""


CHAIN = (StagePlan("first", (), 1_000_000), StagePlan("second", (0,), 10))


async def _staged_over_two_places():
    """Return how many of 12 requests had both stages made in one data centre."""
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


def test_later_stages_are_made_where_the_earlier_ones_were():
    answers, places = run(_staged_over_two_places())
    assert {status for status, _, _ in answers} == {200}
    together = places["here"] | places["there"]
    assert len(together) == 12
    # No home is forced on the first stage: both data centres have work.
    assert places["here"]
    assert places["there"]


@pytest.mark.parametrize("index", range(4))
def test_a_home_is_never_named_without_bytes_that_speak_for_it(index):
    found = home(index, {"b": 1}, read_at="")
    assert found.data_centre in ("", "b")
