"""What one client may send to a server, and how it is answered when it is too much."""

import asyncio
import contextlib

import pytest

from tests.support.emulator.gateway import run
from traystall.core import clock
from traystall.http.connection import ServerConnection
from traystall.http.exceptions import HttpError
from traystall.http.limits import ConnectionLimits, Stage
from traystall.http.messages import text_response
from traystall.http.resources import ClientResources
from traystall.http.server import HttpServer

_LIMIT = 4 * 1024 * 1024
_HEAD_BYTES = 4096
_CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
_GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def _chunks(size, chunk_size):
    return (b"%x\r\n%b\r\n" % (chunk_size, b"x" * chunk_size)) * (size // chunk_size)


def _announced(size, sent):
    return b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + b"x" * sent


class _Site:
    """A server with limits, whose handler answers the size of a body or why there is none."""

    def __init__(self, limits=None, resources=None, is_main=True):
        limits = limits or ConnectionLimits(head_bytes=_HEAD_BYTES)
        self.server = HttpServer(self._handle, limits, resources=resources, is_main=is_main)
        self.bodies = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.writers = []

    async def __aenter__(self):
        await self.server.listen("127.0.0.1:0")
        return self

    async def __aexit__(self, *error):
        for writer in self.writers:
            writer.close()
        await self.server.close(0.1)

    async def connect(self, data=b"", **options):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port, **options)
        self.writers.append(writer)
        writer.write(data)
        return reader

    async def _handle(self, request):
        try:
            body = await request.read(_LIMIT)
        except HttpError as error:
            request.keep_alive = False
            headers = []
            if error.retry_after:
                headers = [(b"Retry-After", b"%.1f" % error.retry_after)]
            return text_response(error.status, str(error), headers)
        self.bodies.append(body)
        await self.may_answer.wait()
        return text_response(200, f"{len(body)}\n")

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)


async def _answer(reader):
    """Return the status and the lines of an answer's head."""
    async with asyncio.timeout(30):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    return int(head.split()[1]), head


async def _ask(site, data):
    return (await _answer(await site.connect(data)))[0]


@pytest.mark.parametrize("chunk_size", [1, 2, 7, 100, 2**16])
def test_body_in_chunks_of_any_size_arrives(chunk_size):
    """The cost of a part did not depend on its size but on the number of parts before it."""
    size = 2**18 // chunk_size * chunk_size

    async def scenario():
        async with _Site() as site:
            status = await _ask(site, _CHUNKED + _chunks(size, chunk_size) + b"0\r\n\r\n")
            return status, site.bodies

    assert run(scenario()) == (200, [b"x" * size])


@pytest.mark.parametrize("sent", [0, 1000])
def test_announced_length_over_the_limit_is_refused_at_once(sent):
    async def scenario():
        async with _Site() as site:
            return await _ask(site, _announced(_LIMIT + 1, sent))

    assert run(scenario()) == 413


@pytest.mark.parametrize("line", [b"a:\r\n", b"a: b\r\n", b"X-Long: " + b"y" * 8000 + b"\r\n"])
def test_head_over_the_limit_is_refused(line):
    async def scenario():
        async with _Site() as site:
            head = _GET[:-2] + line * (2 * _HEAD_BYTES // len(line) + 1)
            return await _ask(site, head + b"\r\n"), await _ask(site, head), await _ask(site, _GET)

    assert run(scenario()) == (431, 431, 200)


@pytest.mark.parametrize("line", [b"a:\r\n", b"a: b\r\n"])
def test_head_of_the_limit_to_the_byte_is_served(line):
    async def scenario():
        async with _Site() as site:
            room = _HEAD_BYTES - len(_GET)
            fill = line * (room // len(line))
            rest = room - len(fill)
            target = b"GET /" + b"t" * rest
            head = _GET[:-2].replace(b"GET /", target) + fill + b"\r\n"
            assert len(head) == _HEAD_BYTES
            return await _ask(site, head)

    assert run(scenario()) == 200


def test_head_of_the_limit_in_single_bytes_is_served():
    async def scenario():
        async with _Site() as site:
            reader = await site.connect()
            head = _GET[:-2] + b"X: " + b"y" * (_HEAD_BYTES - len(_GET) - 5) + b"\r\n\r\n"
            assert len(head) == _HEAD_BYTES
            for start in range(0, len(head), 16):
                site.writers[-1].write(head[start : start + 16])
                await asyncio.sleep(0)
            return (await _answer(reader))[0]

    assert run(scenario()) == 200


def test_blank_lines_without_end_are_refused():
    async def scenario():
        async with _Site() as site:
            few = await _ask(site, b"\r\n" * 8 + _GET)
            return few, await _ask(site, b"\r\n" * _HEAD_BYTES)

    assert run(scenario()) == (200, 400)


def test_blank_lines_behind_a_request_are_refused():
    async def scenario():
        async with _Site() as site:
            reader = await site.connect(_GET)
            first = await _answer(reader)
            await reader.readline()
            site.writers[-1].write(b"\r\n" * _HEAD_BYTES)
            return first[0], (await _answer(reader))[0]

    assert run(scenario()) == (200, 400)


@pytest.mark.parametrize("data", [_announced(4096, 1024), _CHUNKED + _chunks(1024, 512)])
def test_body_that_stops_ends_with_408(data):
    async def scenario():
        async with _Site() as site:
            reader = await site.connect(data)
            await site.until(lambda: site.server._connections)
            (connection,) = site.server._connections
            await site.until(lambda: connection.stage is Stage.BODY)
            connection.sweep(clock.monotonic() + 30.0)
            assert connection.stage is Stage.BODY
            connection.sweep(clock.monotonic() + 90.0)
            return (await _answer(reader))[0]

    assert run(scenario()) == 408


def test_limits_are_replaced_on_open_connections():
    async def scenario():
        async with _Site() as site:
            reader = await site.connect(_GET)
            assert (await _answer(reader))[0] == 200
            await reader.readline()
            site.server.set_limits(ConnectionLimits(head_bytes=100))
            site.writers[-1].write(_GET[:-2] + b"X: " + b"y" * 200 + b"\r\n\r\n")
            return (await _answer(reader))[0]

    assert run(scenario()) == 431


def test_process_holds_no_more_than_its_account_allows():
    """Twenty bodies of a megabyte that stop, where there is room for four."""

    async def scenario():
        resources = ClientResources(20 * 2**20)
        async with _Site(resources=resources) as site:
            crowd = [await site.connect(_announced(2**20, 2**20 - 1)) for _ in range(20)]
            await site.until(lambda: resources.memory.given_up >= 16)
            assert resources.memory.held_bytes <= resources.memory.capacity_bytes
            assert await _ask(site, _announced(3000, 3000)) == 200
            refused = 0
            for reader in crowd:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.2):
                        status, head = await _answer(reader)
                        refused += status == 503 and "Retry-After" in head
            assert refused >= 16
            assert len(site.bodies) == 1

    run(scenario())


def test_heads_count_with_what_their_lines_take():
    async def scenario():
        resources = ClientResources(5 * 2**20)
        async with _Site(ConnectionLimits(), resources) as site:
            lines = b"a:\r\n" * 8_000
            for _ in range(10):
                await site.connect(_GET[:-2] + lines)
            await site.until(lambda: resources.memory.given_up)
            assert resources.memory.held_bytes <= resources.memory.capacity_bytes
            assert await _ask(site, _GET) == 200

    run(scenario())


def test_request_that_is_handled_is_answered_though_what_follows_is_given_up():
    async def scenario():
        resources = ClientResources(5 * 2**20)
        async with _Site(resources=resources) as site:
            site.may_answer.clear()
            reader = await site.connect(_announced(3000, 3000) + _announced(400_000, 400_000))
            await site.until(lambda: site.bodies)
            await site.connect(_announced(2**20, 2**20 - 1))
            await site.until(lambda: resources.memory.given_up)
            (first,) = [row for row in site.server._connections if row.stage is Stage.HANDLER]
            first.give_up()
            site.may_answer.set()
            status, head = await _answer(reader)
            assert (status, "Connection: close" in head) == (200, True)
            assert [len(body) for body in site.bodies] == [3000]

    run(scenario())


def test_requests_wait_for_the_client_to_read_the_answers_before():
    """Answers piled up in the write buffer of a client that reads none."""
    large = b"y" * 2**20

    async def scenario():
        site = _Site()
        answered = []

        async def handle(request):
            answered.append(request)
            return text_response(200, large.decode())

        site.server = HttpServer(handle)
        async with site:
            await site.connect(_GET * 8, limit=1)
            await asyncio.sleep(0.3)
            early = len(answered)
            (connection,) = site.server._connections
            assert connection.stage is Stage.READING
            connection.sweep(clock.monotonic() + 30.0)
            assert not connection._transport.is_closing()
            connection.sweep(clock.monotonic() + 200.0)
            assert connection._transport.is_closing()
            return early

    assert run(scenario()) < 8


def test_account_is_empty_once_all_have_gone():
    async def scenario():
        resources = ClientResources(20 * 2**20)
        async with _Site(resources=resources) as site:
            await _ask(site, _announced(3000, 3000))
            await site.connect(_announced(2**20, 2**20 - 1))
            await site.connect(_GET[:-2])
            await site.until(lambda: resources.memory.held_bytes > 2**19)
            for writer in site.writers:
                writer.close()
            await site.until(lambda: not site.server._connections)
            return resources.memory.held_bytes

    assert run(scenario()) == 0


@pytest.mark.parametrize("data", [b"", _GET[:-2], _announced(4096, 1024)])
def test_resting_connections_make_room_for_new_ones(data):
    async def scenario():
        resources = ClientResources(descriptors=64)
        async with _Site(resources=resources) as site:
            for _ in range(60):
                await site.connect(data)
                await asyncio.sleep(0.001)
            assert len(site.server._connections) <= resources.max_client_connections
            return await _ask(site, _GET)

    assert run(scenario()) == 200


def test_new_connections_are_refused_while_all_others_are_handled():
    async def scenario():
        resources = ClientResources(descriptors=64)
        async with _Site(resources=resources) as site:
            site.may_answer.clear()
            count = int(resources.max_client_connections)
            readers = [await site.connect(_GET) for _ in range(count)]
            await site.until(lambda: len(site.bodies) == count)
            refused = await site.connect(_GET)
            with contextlib.suppress(ConnectionError):
                assert await refused.read() == b""
            site.may_answer.set()
            return {(await _answer(reader))[0] for reader in readers}

    assert run(scenario()) == {200}


def test_parser_reports_an_error_of_a_callback_as_a_refusal():
    connection = ServerConnection(None, ConnectionLimits(head_bytes=5), set())

    class _Transport(asyncio.Transport):
        def __init__(self):
            super().__init__()
            self.written = b""

        def write(self, data):
            self.written += data

        def is_closing(self):
            return False

    transport = _Transport()
    connection.connection_made(transport)
    connection.data_received(_GET)
    assert transport.written.startswith(b"HTTP/1.1 431")
