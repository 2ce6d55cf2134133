"""A planned shutdown breaks no request.

Requests that arrive late are refused as not run, and those without a response at the drain limit
get one.
"""

import asyncio
import contextlib
import socket

import aiohttp
import pytest

from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from tests.support.site import HOST, KEY
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.entry.drain import Drain, Phase

# Requests arrive in each tenth of a shutdown; the first four tenths are the notice period.
TENTHS = range(10)
NOTICE_TENTHS = 4


class _DrainControl:
    """Drain an emulated gateway; the test decides when the notice period ends."""

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


async def _call_during_drain(path, tenth, **options):
    """Return status and headers of a request sent in one tenth of a drain, and how often it ran."""
    target = await Runner("t-1", **options).start()
    pool = "engine" if path.startswith("/events") else "plain"
    async with EmulatedGateway(table(timeout=10.0), [(pool, target)]) as gateway:
        await gateway.call(path)  # Opens a keep-alive connection.
        control = _DrainControl(gateway)
        draining = asyncio.create_task(control.drain.run(1.0, 5.0))
        await control.slept.wait()
        if tenth >= NOTICE_TENTHS:
            control.end_notice()
            await draining
        runs = len(target.runs)
        try:
            status, headers, _ = await gateway.call(path)
        except aiohttp.ClientError:
            status, headers = 0, {}
        ran = len(target.runs) - runs
        control.end_notice()
        await draining
    await target.stop()
    return status, headers, ran


@pytest.mark.parametrize("tenth", TENTHS)
@pytest.mark.parametrize(("path", "events"), [("/once/x", 0), ("/again/x", 0), ("/events/x", 4)])
def test_request_during_a_drain_is_complete_or_not_run(path, events, tenth):
    status, headers, ran = run(_call_during_drain(path, tenth, events=events))
    if tenth < NOTICE_TENTHS:
        assert (status, ran) == (200, 1)
    else:
        assert (status, ran) in ((503, 0), (0, 0))
        assert status == 0 or headers["Connection"] == "close"


def test_request_after_the_close_is_refused_as_not_run():
    async def scenario():
        target = await Runner("t-1").start()
        async with EmulatedGateway(table(), [("plain", target)]) as gateway:
            gateway.front.phase = Phase.CLOSED
            status, headers, _ = await gateway.call("/again/x")
        await target.stop()
        return status, headers, target.runs

    status, headers, runs = run(scenario())
    assert (status, runs) == (503, [])
    assert float(headers["Retry-After"]) > 0
    assert headers["Connection"] == "close"


@pytest.mark.parametrize("is_accepted", [True, False])
def test_request_on_a_connection_that_opens_as_the_notice_ends_gets_a_response(is_accepted):
    """Nothing of it has been read when the gateway stops to listen and closes idle connections."""

    async def scenario():
        target = await Runner("t-1").start()
        async with EmulatedGateway(table(), [("plain", target)]) as gateway:
            control = _DrainControl(gateway)
            draining = asyncio.create_task(control.drain.run(1.0, 5.0))
            await control.slept.wait()
            # The kernel completes the connection; the gateway has yet to accept it.
            caller = socket.create_connection(("127.0.0.1", gateway.server.port))
            caller.setblocking(False)
            if is_accepted:
                await asyncio.sleep(0.02)
            control.end_notice()
            await asyncio.sleep(0.02)
            reader, writer = await asyncio.open_connection(sock=caller)
            writer.write(b"POST /once/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 5)
            await draining
            writer.close()
        await target.stop()
        return answer, target.runs

    answer, runs = run(scenario())
    assert answer.startswith(b"HTTP/1.1 503")
    assert runs == []


def test_responses_during_the_notice_close_the_connection():
    status, headers, _ = run(_call_during_drain("/once/x", 0))
    assert status == 200
    assert headers["Connection"] == "close"


async def _call_until_drain_limit(path, pools, **options):
    """Return the response to a request whose target does not respond before the drain limit."""
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


def test_request_still_running_at_the_drain_limit_gets_504():
    status, _, _ = run(_call_until_drain_limit("/once/x", [("plain", Runner(faults=["silent"]))]))
    assert status == 504


def test_request_still_in_its_stages_at_the_drain_limit_gets_503():
    pools = [("batches", Runner("b-1", faults=["silent"])), ("engine", Runner("e-1", events=3))]
    status, headers, _ = run(_call_until_drain_limit("/staged/x", pools, stages=STAGES))
    assert status == 503
    assert "Retry-After" in headers


def test_started_stream_is_not_ended_by_the_drain():
    async def scenario():
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

    assert run(scenario()) == (200, 30)


LARGE_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024


async def _read_slowly(port, path, bytes_per_second, started):
    """Return the body of a large response that is read at a low rate, and what cut it if any."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
    body = b"x" * LARGE_BYTES
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Token {KEY}",
        f"{HeaderNames().request_id}: slow",
        f"Content-Length: {len(body)}",
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = await reader.readuntil(b"\r\n\r\n")
    started.set()
    received = 0
    try:
        while data := await reader.read(READ_BYTES):
            received += len(data)
            if received >= LARGE_BYTES + len(b"answer to "):
                break
            await asyncio.sleep(len(data) / bytes_per_second)
    except ConnectionError:
        pass
    writer.close()
    return head, received


async def _drain_beside_a_slow_reader(bytes_per_second, limit, patience=8.0):
    """Return how long a drain took, and what a slow reader received within its patience."""
    target = await Runner("t-1").start()
    async with EmulatedGateway(table(timeout=10.0), [("plain", target)]) as gateway:
        started = asyncio.Event()
        reading = asyncio.create_task(
            _read_slowly(gateway.port, "/once/x", bytes_per_second, started)
        )
        await started.wait()
        began = asyncio.get_running_loop().time()
        await Drain(gateway.front, gateway.server).run(0.1, limit)
        seconds = asyncio.get_running_loop().time() - began
        await gateway.server.close(0.2)
        received = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience):
                _, received = await reading
    await target.stop()
    return received, seconds


def test_drain_waits_for_a_caller_that_still_reads_its_response():
    """Guards against LOST: a stop cut whole responses that callers read, within its grace."""
    received, seconds = run(_drain_beside_a_slow_reader(2_000_000, 8.0))
    assert received == LARGE_BYTES + len(b"answer to ")
    assert seconds < 4.0, "it ends as soon as the response has been read"


def test_drain_ends_at_its_limit_beside_a_caller_that_hardly_reads():
    _, seconds = run(_drain_beside_a_slow_reader(50_000, 1.0, 0.1))
    assert 0.9 < seconds < 2.0
