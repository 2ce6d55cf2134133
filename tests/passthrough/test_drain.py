"""A planned stop cuts nothing: what arrives late is refused, what has no answer gets one."""

import asyncio

import aiohttp
import pytest

from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.passthrough.entry.drain import Drain, Phase

# Requests arrive in each tenth of a stop, the notice being the first four of them.
TENTHS = range(10)
NOTICE_TENTHS = 4


class _Stop:
    """Stop an emulated gateway; its time goes on only as the test says."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.drain = Drain(gateway.front, gateway.server, self._sleep)
        self.slept = asyncio.Event()
        self._go_on = asyncio.Event()

    async def _sleep(self, seconds):
        self.slept.set()
        await self._go_on.wait()

    def end_notice(self):
        self._go_on.set()


async def _arrive_late(path, tenth, **options):
    """Return what became of a request sent in one tenth of a stop, and whether it ran."""
    target = await Runner("t-1", **options).start()
    pool = "engine" if path.startswith("/events") else "plain"
    async with EmulatedGateway(table(timeout=10.0), [(pool, target)]) as gateway:
        await gateway.call(path)  # From now on its connection is open.
        stop = _Stop(gateway)
        stopping = asyncio.create_task(stop.drain.run(1.0, 5.0))
        await stop.slept.wait()
        if tenth >= NOTICE_TENTHS:
            stop.end_notice()
            await stopping
        runs = len(target.runs)
        try:
            status, headers, _ = await gateway.call(path)
        except aiohttp.ClientError:
            status, headers = 0, {}
        ran = len(target.runs) - runs
        stop.end_notice()
        await stopping
    await target.stop()
    return status, headers, ran


@pytest.mark.parametrize("tenth", TENTHS)
@pytest.mark.parametrize(("path", "events"), [("/once/x", 0), ("/again/x", 0), ("/events/x", 4)])
def test_what_arrives_during_a_stop_is_whole_or_was_not_run(path, events, tenth):
    status, headers, ran = run(_arrive_late(path, tenth, events=events))
    if tenth < NOTICE_TENTHS:
        assert (status, ran) == (200, 1)
    else:
        assert (status, ran) in ((503, 0), (0, 0))
        assert status == 0 or headers["Connection"] == "close"


def test_a_request_that_crosses_the_close_is_refused_as_not_run():
    async def play():
        target = await Runner("t-1").start()
        async with EmulatedGateway(table(), [("plain", target)]) as gateway:
            gateway.front.phase = Phase.CLOSED
            status, headers, _ = await gateway.call("/again/x")
        await target.stop()
        return status, headers, target.runs

    status, headers, runs = run(play())
    assert (status, runs) == (503, [])
    assert float(headers["Retry-After"]) > 0
    assert headers["Connection"] == "close"


def test_answers_during_the_notice_ask_callers_to_leave():
    status, headers, _ = run(_arrive_late("/once/x", 0))
    assert status == 200
    assert headers["Connection"] == "close"


async def _end_of_a_stop(path, pools, **options):
    """Return the answer to a request whose target is silent until the end of a stop."""
    runners = [(pool, await runner.start()) for pool, runner in pools]
    async with EmulatedGateway(table(timeout=15.0, **options), runners) as gateway:
        call = asyncio.create_task(gateway.call(path, **{"Traystall-Pieces": "1,1"}))
        while not any(runner.runs or runner.calls for _, runner in runners):
            await asyncio.sleep(0.01)
        drain = Drain(gateway.front, gateway.server)
        await drain.run(0.0, 0.05)
        answer = await call
    for _, runner in runners:
        await runner.stop()
    return answer


def test_a_request_that_a_target_still_runs_gets_an_answer_that_promises_nothing():
    status, _, _ = run(_end_of_a_stop("/once/x", [("plain", Runner(faults=["silent"]))]))
    assert status == 504


def test_a_request_still_in_its_stages_is_told_that_it_has_not_run():
    pools = [("batches", Runner("b-1", faults=["silent"])), ("engine", Runner("e-1", events=3))]
    status, headers, _ = run(_end_of_a_stop("/staged/x", pools, stages=STAGES))
    assert status == 503
    assert "Retry-After" in headers


def test_a_stream_that_has_begun_is_left_to_go_on():
    async def play():
        engine = Runner("e-1", events=30)
        engine.event_seconds = 0.02
        await engine.start()
        async with EmulatedGateway(table(timeout=15.0), [("engine", engine)]) as gateway:
            call = asyncio.create_task(gateway.call("/events/x"))
            while not gateway.front.in_flight or not engine.runs:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert not gateway.front.end_unanswered()
            status, _, body = await call
        await engine.stop()
        return status, body.count(b"id:")

    assert run(play()) == (200, 30)
