"""Streams arrive complete and once, or visibly broken; resumable ones continue elsewhere.

The tests also cover stages: their results are released, and run again if they are lost.
"""

import asyncio

import aiohttp
import pytest

from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.passthrough.entry.events import EventSplitter, event_id, follows, is_next
from traystall.passthrough.stages.cells import WHOLE_SYSTEM


def whole(count):
    return b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, count + 1))


async def _send_request(path, faults, runners=2, **options):
    engines = [await Runner(f"e-{i}", events=8, faults=faults).start() for i in range(runners)]
    try:
        pools = [("engine", engine) for engine in engines]
        async with EmulatedGateway(table(**options), pools) as gateway:
            return await gateway.call(path), engines
    finally:
        for engine in engines:
            await engine.stop()


def test_complete_stream_is_passed_on():
    (status, headers, body), _ = run(_send_request("/events/x", []))
    assert (status, body) == (200, whole(8))
    assert headers["X-Kind"] == "stream"


def test_broken_stream_is_not_taken_for_complete():
    with pytest.raises(aiohttp.ClientError):
        run(_send_request("/events/x", ["reset in the body"]))


def test_resumable_stream_continues_at_another_target():
    (status, headers, body), engines = run(
        _send_request("/events/x", ["reset in the body"], resumable=True, max_attempts=4, runners=4)
    )
    assert (status, body) == (200, whole(8))
    runs = [request for engine in engines for request in engine.runs]
    assert len(runs) > 1
    first = next(engine for engine in engines if "last-event-id" not in engine.runs[0]["headers"])
    assert headers["Traystall-Signature"] == f"signed by {first.identity}"


def test_resumable_stream_stays_within_its_attempts():
    async def scenario():
        engines = [
            await Runner(f"e-{i}", events=8, faults=["reset in the body"] * 9).start()
            for i in range(4)
        ]
        try:
            pools = [("engine", engine) for engine in engines]
            routing = table(resumable=True, max_attempts=2)
            async with EmulatedGateway(routing, pools) as gateway:
                with pytest.raises(aiohttp.ClientError):
                    await gateway.call("/events/x")
            return sum(len(engine.runs) for engine in engines)
        finally:
            for engine in engines:
                await engine.stop()

    assert run(scenario()) == 2


@pytest.mark.parametrize("step", range(1, 25))
def test_events_are_split_at_their_ends(step):
    data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata"
    splitter = EventSplitter()
    events = []
    for at in range(0, len(data), step):
        events += splitter.feed(data[at : at + step])
    assert events == [b"id: 1\ndata: a\n\n", b"id: 2\r\ndata: b\r\n\r\n"]
    assert splitter.partial == b"id: 3\ndata"


def test_order_of_events():
    event = b"id: 7\ndata: x\n\n"
    assert event_id(event) == "7"
    assert follows(event, "6") and not follows(event, "7")
    assert is_next(event, "6") and not is_next(event, "5")
    assert follows(b"data: x\n\n", "7") and is_next(b"data: x\n\n", "7")


async def _send_staged_request(worker_faults=(), counts="3,2", room=10**9, workers=2):
    engine = await Runner("e-1", events=3).start()
    batches = [
        await Runner(f"s-{i}", batch=4, room=room, faults=worker_faults).start()
        for i in range(workers)
    ]
    try:
        pools = [("engine", engine)] + [("batches", worker) for worker in batches]
        async with EmulatedGateway(table(stages=STAGES), pools) as gateway:
            answer = await gateway.call(
                "/staged/x", **{"Traystall-Pieces": counts, "Traystall-Piece-Key": "pk"}
            )
            await asyncio.sleep(0.1)
        return answer, engine, batches
    finally:
        for runner in [engine, *batches]:
            await runner.stop()


@pytest.mark.parametrize("fault", ["none", "not run", "closed after running"])
def test_stages_run_completely_and_their_results_are_released(fault):
    faults = [] if fault == "none" else [fault]
    (status, _, body), engine, workers = run(_send_staged_request(faults))
    assert (status, body) == (200, whole(3))
    inputs = engine.runs[0]["headers"]["traystall-inputs"].split(",")
    assert len(inputs) == len(set(inputs)) == 2
    items = [item for worker in workers for call in worker.calls for item in call]
    first = {item["piece"] for item in items if item["stage"] == 0}
    assert first == {0, 1, 2}
    for item in items:
        if item["stage"] == 0:
            assert item["key"] == "pk"
        else:
            assert len(item["inputs"]) == 3
    if fault == "none":
        assert all(not worker.held for worker in workers)


@pytest.mark.parametrize("lost_at", ["engine", "worker"])
def test_stages_are_run_again_when_results_are_lost(lost_at):
    async def scenario():
        engine = await Runner("e-1", events=3).start()
        worker = await Runner("s-0").start()
        if lost_at == "engine":
            engine.faults.append("inputs lost")
        else:
            worker.loses = 1
        try:
            pools = [("engine", engine), ("batches", worker)]
            async with EmulatedGateway(table(stages=STAGES), pools) as gateway:
                headers = {"Traystall-Pieces": "3,2", "Traystall-Piece-Key": "pk"}
                answer = await gateway.call("/staged/x", **headers)
                await asyncio.sleep(0.1)
                return answer, engine, worker
        finally:
            await engine.stop()
            await worker.stop()

    (status, _, body), engine, worker = run(scenario())
    assert (status, body) == (200, whole(3))
    assert len(engine.runs) == 1
    assert not worker.held


@pytest.mark.parametrize("worker_faults", [[], ["closed after running"] * 99])
def test_resumed_stream_with_stages_is_complete_or_visibly_broken(worker_faults):
    """An error response of the gateway must not be written into a stream that has begun."""

    async def scenario():
        engines = [await Runner(f"e-{i}", events=8).start() for i in range(2)]
        for engine in engines:
            engine.faults.append("reset in the body")
        worker = await Runner("s-0").start()
        try:
            pools = [("engine", engine) for engine in engines] + [("batches", worker)]
            routing = table(stages=STAGES, resumable=True, max_attempts=3, timeout=1.5)
            async with EmulatedGateway(routing, pools) as gateway:
                headers = {"Traystall-Pieces": "1,1", "Traystall-Piece-Key": "pk"}
                task = asyncio.create_task(gateway.call("/staged/x", **headers))
                while not any(engine.runs for engine in engines):
                    await asyncio.sleep(0.002)
                worker.faults.extend(worker_faults)
                for engine in engines:
                    if not engine.runs:
                        engine.faults.clear()
                return await task, engines, worker
        finally:
            for runner in [*engines, worker]:
                await runner.stop()

    if worker_faults:
        with pytest.raises(aiohttp.ClientError):
            run(scenario())
        return
    (status, _, body), engines, worker = run(scenario())
    assert (status, body) == (200, whole(8))
    resumed = next(r for e in engines for r in e.runs if "last-event-id" in r["headers"])
    assert resumed["headers"]["traystall-inputs"]
    assert len(worker.calls) == 4


def test_failed_release_of_results_is_retried():
    async def scenario():
        engine = await Runner("e-1", events=3).start()
        worker = await Runner("s-1", batch=4).start()
        worker.resets_frees = 2
        runners = [("engine", engine), ("batches", worker)]
        headers = {"Traystall-Pieces": "3,2", "Traystall-Piece-Key": "pk"}
        async with EmulatedGateway(table(stages=STAGES), runners) as gateway:
            status, _, _ = await gateway.call("/staged/x", **headers)
            async with asyncio.timeout(5):
                while worker.held or worker.resets_frees:
                    await asyncio.sleep(0.01)
        await engine.stop()
        await worker.stop()
        return status

    assert run(scenario()) == 200


def test_stage_without_pieces_is_skipped():
    (status, _, _), engine, workers = run(_send_staged_request(counts="0,0"))
    assert status == 200
    assert "traystall-inputs" not in engine.runs[0]["headers"]
    assert not any(worker.calls for worker in workers)


def test_finished_request_is_no_longer_counted():
    """A request whose stage fails leaves no expected pieces in the demand forecast."""

    async def scenario():
        worker = await Runner("s-0", faults=["closed after running"] * 99).start()
        try:
            routing = table(stages=STAGES, timeout=0.6)
            async with EmulatedGateway(routing, [("batches", worker)]) as gateway:
                headers = {"Traystall-Pieces": "1,1", "Traystall-Piece-Key": "pk"}
                status, _, _ = await gateway.call("/staged/x", **headers)
                return status, gateway.context.batcher._admission_controller(WHOLE_SYSTEM)
        finally:
            await worker.stop()

    status, book = run(scenario())
    assert status == 503
    assert book.expected_pieces("batches", 9) == 0


def test_temporarily_full_workers_are_retried():
    """Workers may be full for a few calls while two gateways batch at the same time."""
    (status, _, body), _, workers = run(_send_staged_request(["not run"] * 8))
    assert (status, body) == (200, whole(3))
    assert sum(len(worker.rejected) for worker in workers) > 8


def test_request_whose_stage_fails_has_not_run():
    (status, headers, _), engine, _ = run(_send_staged_request(room=0))
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not engine.runs


def test_free_memory_of_a_worker_filled_by_others_is_queried_first():
    async def scenario():
        engine = await Runner("e-1", events=3).start()
        filled = await Runner("s-0", room=100).start()
        empty = await Runner("s-1", room=100).start()
        filled.result_bytes = empty.result_bytes = 10**4
        filled.held = {f"{filled.address}/other.{i}": None for i in range(100)}
        try:
            pools = [("engine", engine), ("batches", filled), ("batches", empty)]
            # A long latency aim: on a busy machine calls are slow, and eight concurrent requests
            # would be refused.
            routes = table(stages=STAGES, result_lifetime=4.0, timeout=15.0, aim=10.0)
            async with EmulatedGateway(routes, pools) as gateway:
                headers = {"Traystall-Pieces": "3,2", "Traystall-Piece-Key": "pk"}
                answers = [await gateway.call("/staged/x", **headers) for _ in range(4)]
                calls_while_filled = list(filled.calls)
                filled.held.clear()
                while not filled.calls:
                    # While there is work, the worker's free memory is queried again, and the worker
                    # is then called.
                    many = (gateway.call("/staged/x", **headers) for _ in range(8))
                    answers += await asyncio.gather(*many)
                    await asyncio.sleep(0.05)
                return answers, calls_while_filled, filled.calls
        finally:
            for runner in (engine, filled, empty):
                await runner.stop()

    answers, while_filled, later = run(scenario())
    assert {status for status, _, _ in answers} == {200}
    assert while_filled == []
    assert later, "the worker is called again once the others' results are gone"


def test_pieces_of_a_silent_worker_run_elsewhere():
    async def scenario():
        engine = await Runner("e-1", events=3).start()
        silent = await Runner("s-0", faults=["silent"] * 9).start()
        sound = await Runner("s-1").start()
        runners = [engine, silent, sound]
        try:
            pools = [("engine", engine), ("batches", silent), ("batches", sound)]
            async with EmulatedGateway(table(stages=STAGES, timeout=1.0), pools) as gateway:
                headers = {"Traystall-Pieces": "8,1", "Traystall-Piece-Key": "pk"}
                return await gateway.call("/staged/x", **headers), silent
        finally:
            for runner in runners:
                await runner.stop()

    (status, _, body), silent = run(scenario())
    assert (status, body) == (200, whole(3))
    assert silent.calls
