"""Work stops when a client disconnects, also while the server reads nothing from it."""

import asyncio

import pytest

from tests.support.emulator.gateway import run
from traystall.http import connection as connection_module
from traystall.http.messages import Response, text_response
from traystall.http.server import HttpServer

_LIMIT = 8 * 1024 * 1024
_GRACE_SECONDS = 0.5
# What is read ahead at most: the bound, and one read of the transport.
_MAX_AHEAD_BYTES = connection_module._HIGH_WATER_BYTES + 256 * 1024


class _Work:
    """A handler that reads the body and then works until it is cancelled."""

    def __init__(self):
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def handle(self, request) -> Response:
        await request.read(_LIMIT)
        self.started.set()
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return text_response(200, "done\n")


def _post(size, sent=None):
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size + bytes(
        size if sent is None else sent
    )


async def _leave_after(data):
    """Send `data`, and close once the first request is worked on; return whether that stopped."""
    work = _Work()
    server = HttpServer(work.handle)
    await server.listen("127.0.0.1:0")
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(data)
        async with asyncio.timeout(5):
            await work.started.wait()
        await asyncio.sleep(0.1)
        (connection,) = server._connections
        ahead = sum(request.unread_bytes for request in connection._next)
        assert ahead <= _MAX_AHEAD_BYTES
        writer.close()
        try:
            async with asyncio.timeout(_GRACE_SECONDS):
                await work.cancelled.wait()
        except TimeoutError:
            return False
        return True
    finally:
        await server.close(0.1)


@pytest.mark.parametrize("size", [4_000, 300_000, 480_000, 515_000, 700_000, 1_000_000, 4_190_000])
def test_client_that_leaves_after_a_large_body_is_noticed(size):
    """A body that exceeded the bound with its last bytes left reading paused until the answer."""
    for _ in range(3):
        assert run(_leave_after(_post(size)))


@pytest.mark.parametrize("size", [0, 4_000, 300_000, 500_000])
def test_client_that_leaves_with_a_second_request_behind_the_first_is_noticed(size):
    """A second request paused reading until the first was answered."""
    assert run(_leave_after(_post(4_000) + _post(size)))


def test_client_that_leaves_with_many_requests_behind_the_first_is_noticed():
    assert run(_leave_after(_post(4_000) + 200 * _post(100)))


def test_client_that_leaves_inside_a_second_request_is_noticed():
    assert run(_leave_after(_post(4_000) + _post(1_000_000, sent=300_000)))


def test_requests_behind_the_first_are_answered_in_order():
    async def scenario():
        async def echo(request):
            body = await request.read(_LIMIT)
            await asyncio.sleep(0.001)
            return text_response(200, f"{len(body)}\n")

        server = HttpServer(echo)
        await server.listen("127.0.0.1:0")
        sizes = [10, 500_000, 0, 300_000, *range(40), 700_000, 1]
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"".join(_post(size) for size in sizes))
        try:
            async with asyncio.timeout(20):
                answered = []
                for _ in sizes:
                    await reader.readuntil(b"\r\n\r\n")
                    answered.append(int(await reader.readline()))
            assert answered == sizes
        finally:
            writer.close()
            await server.close(0.1)

    run(scenario())


class _Transport(asyncio.Transport):
    """Record whether it reads."""

    def __init__(self):
        super().__init__()
        self.reads = True
        self.paused = 0

    def pause_reading(self):
        self.reads = False
        self.paused += 1

    def resume_reading(self):
        self.reads = True

    def is_closing(self):
        return False


def test_reading_goes_on_after_a_body_whose_last_bytes_exceeded_the_bound():
    """Nothing resumed reading, so the transport reported no close until the answer was written."""

    async def scenario():
        work = _Work()
        connection = connection_module.ServerConnection(
            work.handle, connection_module.ConnectionLimits(), set()
        )
        transport = _Transport()
        connection.connection_made(transport)
        connection.data_received(_post(700_000))
        assert transport.paused
        async with asyncio.timeout(5):
            await work.started.wait()
        assert transport.reads
        connection.connection_lost(None)
        async with asyncio.timeout(5):
            await work.cancelled.wait()

    run(scenario())
