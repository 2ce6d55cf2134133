"""An evacuated data centre gets no new requests; requests that run there complete."""

import asyncio
import contextlib

import msgspec

from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock
from traystall.registry.models import RegisteredState, TargetReport
from traystall.rpc.gen.wire.ttypes import PlaceReply

STAGED = {"Traystall-Pieces": "3,2", "Traystall-Piece-Key": "pk"}
# Upper bound for an immediate refusal, which normally takes far less.
IMMEDIATE_SECONDS = 0.3


@contextlib.asynccontextmanager
async def two_data_centres(pools=("plain",), routes=None, event_seconds=0.0, **options):
    """Run one gateway "here" with one target of each pool here and one "there"."""
    runners = {}
    for pool in pools:
        for place in ("here", "there"):
            runner = runners[pool, place] = await Runner(f"{pool}-{place}", **options).start()
            runner.event_seconds = event_seconds
    try:
        async with EmulatedGateway(routes or table(), []) as gateway:
            for (pool, place), runner in runners.items():
                gateway.add(pool, runner, place)
            yield gateway, runners
    finally:
        for runner in runners.values():
            await runner.stop()


def test_requests_avoid_an_evacuated_data_centre_until_it_is_restored():
    async def scenario():
        async with two_data_centres() as (gateway, runners):
            here, there = runners["plain", "here"], runners["plain", "there"]
            gateway.evacuate("here")
            for _ in range(10):
                assert (await gateway.call())[0] == 200
            assert (len(here.runs), len(there.runs)) == (0, 10)
            gateway.evacuate("there")
            for _ in range(10):
                assert (await gateway.call())[0] == 200
            assert (len(here.runs), len(there.runs)) == (10, 10)
            gateway.evacuate()
            for _ in range(20):
                assert (await gateway.call())[0] == 200
            assert len(here.runs) > 10

    run(scenario())


def test_failures_of_other_targets_do_not_bring_an_evacuated_target_back():
    async def scenario():
        async with two_data_centres() as (gateway, runners):
            board = gateway.context.board
            gateway.evacuate("here")
            other = board.view("plain-there")
            other.avoid_until = clock.monotonic() + 60
            assert [v.identity for v in gateway.context.usable("plain")] == ["plain-there"]
            other.is_replaced = True
            assert gateway.context.usable("plain") == []
            await runners["plain", "there"].stop()
            assert (await gateway.call())[0] == 503
            assert runners["plain", "here"].runs == []

    run(scenario())


def test_request_is_refused_immediately_if_all_data_centres_are_evacuated():
    async def scenario():
        pools = ("plain", "engine", "batches")
        routes = table(stages=STAGES)
        async with two_data_centres(pools, routes, events=3, batch=4) as (gateway, runners):
            gateway.evacuate("here", "there")
            for path, extra in (("/once/x", {}), ("/events/x", {}), ("/staged/x", STAGED)):
                began = clock.monotonic()
                status, headers, body = await gateway.call(path, **extra)
                assert (status, body) == (503, b"evacuated\n")
                assert float(headers["Retry-After"]) > 0
                assert clock.monotonic() - began < IMMEDIATE_SECONDS
            assert all(not runner.runs and not runner.calls for runner in runners.values())

    run(scenario())


def test_customer_lacks_targets_if_its_data_centres_are_evacuated():
    async def scenario():
        async with two_data_centres() as (gateway, _):
            gateway.evacuate("here")
            assert gateway.context.has_no_eligible_targets("plain", ("here",))
            assert not gateway.context.has_no_eligible_targets("plain", ("here", "there"))
            assert not gateway.context.has_no_eligible_targets("unknown", ())

    run(scenario())


def test_stream_in_an_evacuated_data_centre_completes():
    async def scenario():
        async with two_data_centres(("engine",), events=8, event_seconds=0.05) as (
            gateway,
            runners,
        ):
            call = asyncio.create_task(gateway.call("/events/x"))
            engines = runners.values()
            while not any(engine.runs for engine in engines):
                await asyncio.sleep(0.01)
            used = next(place for (_, place), engine in runners.items() if engine.runs)
            gateway.evacuate(used)
            status, _, body = await call
            assert (status, body.count(b"id: ")) == (200, 8)
            assert sum(len(engine.runs) for engine in engines) == 1

    run(scenario())


def test_stream_that_breaks_in_an_evacuated_data_centre_continues_elsewhere():
    async def scenario():
        routes = table(resumable=True, max_attempts=4)
        async with two_data_centres(("engine",), routes, events=8, event_seconds=0.05) as (
            gateway,
            runners,
        ):
            for runner in runners.values():
                runner.faults.append("reset in the body")
            call = asyncio.create_task(gateway.call("/events/x"))
            while not any(engine.runs for engine in runners.values()):
                await asyncio.sleep(0.005)
            used = next(place for (_, place), engine in runners.items() if engine.runs)
            other = "there" if used == "here" else "here"
            runners["engine", other].faults.clear()
            gateway.evacuate(used)
            status, _, body = await call
            assert (status, body.count(b"id: ")) == (200, 8)
            assert len(runners["engine", used].runs) == 1

    run(scenario())


def test_half_finished_stages_continue_elsewhere():
    async def scenario():
        pools = ("engine", "batches")
        routes = table(stages=STAGES, timeout=5.0, aim=3.0)
        async with two_data_centres(pools, routes, events=2, batch=4) as (gateway, runners):
            workers = {place: runners["batches", place] for place in ("here", "there")}
            for worker in workers.values():
                worker.call_seconds = 0.2
            call = asyncio.create_task(gateway.call("/staged/x", **STAGED))
            while not any(worker.calls for worker in workers.values()):
                await asyncio.sleep(0.01)
            used = next(place for place, worker in workers.items() if worker.calls)
            made = len(workers[used].calls)
            gateway.evacuate(used)
            status, _, body = await call
            assert (status, body.count(b"id: ")) == (200, 2)
            assert len(workers[used].calls) == made
            assert not runners["engine", used].runs

    run(scenario())


def test_overdue_call_is_not_copied_to_an_evacuated_worker():
    async def scenario():
        pools = ("engine", "batches")
        routes = table(stages=STAGES, timeout=3.0, aim=2.0)
        async with two_data_centres(pools, routes, events=2, batch=4) as (gateway, runners):
            gateway.evacuate("here")
            runners["batches", "there"].call_seconds = 0.4
            status, _, _ = await gateway.call("/staged/x", **STAGED)
            assert status == 200
            assert not runners["batches", "here"].calls

    run(scenario())


def test_evacuated_targets_belong_to_no_cell():
    async def scenario():
        async with two_data_centres(("batches",)) as (gateway, _):
            board = gateway.context.board
            assert set(board.data_centres("batches")) == {"here", "there"}
            generation = board.generation
            gateway.evacuate("here")
            assert set(board.data_centres("batches")) == {"there"}
            assert board.generation > generation

    run(scenario())


def test_targets_that_start_during_an_evacuation_get_no_requests():
    """This covers new targets and replacements of targets that were gone."""

    async def scenario():
        async with two_data_centres() as (gateway, runners):
            gateway.evacuate("here")
            newcomer = await Runner("plain-new").start()
            gateway.add("plain", newcomer, "here")
            gone = TargetReport(
                "plain-here",
                "plain",
                runners["plain", "here"].address,
                "here",
                state=RegisteredState.GONE,
                sequence=9,
            )
            gateway.context.board.merge(gone, clock.monotonic())
            again = await Runner("plain-here-2").start()
            gateway.add("plain", again, "here")
            for _ in range(10):
                assert (await gateway.call())[0] == 200
            assert not newcomer.runs and not again.runs
            await newcomer.stop()
            await again.stop()

    run(scenario())


def test_targets_of_a_restored_data_centre_count_as_cold():
    async def scenario():
        routes = table()
        pools = tuple(
            msgspec.structs.replace(pool, cold_seconds=3.0, cold_per_second=4.0)
            for pool in routes.pools
        )
        async with two_data_centres(routes=msgspec.structs.replace(routes, pools=pools)) as (
            gateway,
            runners,
        ):
            gateway.evacuate("here")
            gateway.evacuate()
            view = gateway.context.board.view("plain-here")
            assert view.cold_until > clock.monotonic() + 2.0
            assert gateway.context.board.view("plain-there").cold_until < clock.monotonic()
            for _ in range(20):
                assert (await gateway.call())[0] == 200
            assert 0 < len(runners["plain", "here"].runs) <= 4

    run(scenario())


def test_stale_placement_in_an_evacuated_data_centre_is_rejected():
    async def scenario():
        async with two_data_centres(("engine",), events=2) as (gateway, runners):
            gateway.evacuate("here")
            placement_service = gateway.context.placement_service

            class StaleLink:
                async def call(self, request, timeout):
                    return PlaceReply(identity="engine-here")

            placement_service._links.link = lambda address: StaleLink()
            owner = type("Row", (), {"identity": "g", "rpc_address": "a"})()
            assert await placement_service._ask(owner, type("R", (), {"request_id": "r"})()) is None

    run(scenario())
