"""The HTTP server over raw sockets: framing, order, early responses, disconnects, shutdown."""

import asyncio

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.emulator.gateway import run
from tests.support.pausing_target import hold_up
from traystall.core import clock
from traystall.http.connection import ConnectionLimits
from traystall.http.messages import Response, text_response
from traystall.http.server import HttpServer

_LIMIT = 1000


class _Site:
    """A server on a free port and a connection to it.

    `seen` holds the method, target and body of each handled request.
    """

    def __init__(self, handler=None, bounds=None):
        self.seen = []
        self.server = HttpServer(handler or self._echo, bounds)

    async def __aenter__(self):
        await self.server.listen("127.0.0.1:0")
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        return self

    async def __aexit__(self, *error):
        self.writer.close()
        await self.server.close(0.1)

    async def _echo(self, request):
        body = await request.read(_LIMIT)
        self.seen.append((request.method, request.target, body))
        return Response(200, [(b"X-Own", b"1")], body)

    async def answer(self):
        """Read the next response; return its status, headers and body."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().strip().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        if headers.get("Transfer-Encoding") == "chunked":
            return int(first.split()[1]), headers, await self._chunks()
        body = await self.reader.readexactly(int(headers.get("Content-Length", 0)))
        return int(first.split()[1]), headers, body

    async def _chunks(self):
        body = b""
        while size := int(await self.reader.readline(), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return body


def _post(body, path="/a?b=%2F"):
    return b"POST %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b" % (
        path.encode(),
        len(body),
        body,
    )


UPGRADE = b"POST / HTTP/1.1\r\nUpgrade: h\r\nConnection: upgrade\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = (
    b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"
)


def test_connection_serves_sequential_requests():
    async def play():
        async with _Site() as site:
            answers = []
            for body in (b"one", b"", b"three"):
                site.writer.write(_post(body))
                answers.append(await site.answer())
            return answers, site.seen

    answers, seen = run(play())
    assert [(status, body) for status, _, body in answers] == [
        (200, b"one"),
        (200, b""),
        (200, b"three"),
    ]
    assert all("Connection" not in headers and headers["X-Own"] == "1" for _, headers, _ in answers)
    assert seen[0] == ("POST", "/a?b=%2F", b"one")


def test_pipelined_requests_are_answered_in_order():
    async def slow_first(request):
        body = await request.read(_LIMIT)
        await asyncio.sleep(0.05 if body == b"one" else 0.0)
        return Response(200, [], body)

    async def play():
        async with _Site(slow_first) as site:
            site.writer.write(_post(b"one") + _post(b"two") + CHUNKED + _post(b"four"))
            return [(await site.answer())[2] for _ in range(4)]

    assert run(play()) == [b"one", b"two", b"abcde", b"four"]


@settings(max_examples=40, deadline=None)
@given(cuts=st.lists(st.integers(1, 250), max_size=8))
def test_requests_cut_anywhere_are_read_whole(cuts):
    wire = _post(b"x" * 40) + CHUNKED + _post(b"last")
    edges = sorted({0, len(wire), *(cut % len(wire) for cut in cuts)})

    async def play():
        async with _Site() as site:
            for begin, end in zip(edges, edges[1:], strict=False):
                site.writer.write(wire[begin:end])
                await asyncio.sleep(0)
            return [(await site.answer())[2] for _ in range(3)]

    assert run(play()) == [b"x" * 40, b"abcde", b"last"]


@pytest.mark.parametrize(
    ("wire", "status"),
    [
        (b"no request at all\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 70_000 + b"\r\n\r\n", 431),
        (b"GET /" + b"y" * 70_000 + b" HTTP/1.1\r\n\r\n", 431),
        (UPGRADE, 400),
    ],
)
def test_invalid_request_is_rejected_before_the_handler(wire, status):
    async def play():
        async with _Site() as site:
            site.writer.write(wire + _post(b"smuggled"))
            answer = await site.answer()
            await asyncio.sleep(0.02)
            return answer, site.seen

    (found, headers, _), seen = run(play())
    assert (found, headers["Connection"], seen) == (status, "close", [])


def test_endless_request_head_is_rejected():
    async def play():
        async with _Site() as site:
            site.writer.write(b"GET / HTTP/1.1\r\nX: ")
            for _ in range(20):
                site.writer.write(b"y" * 10_000)
                await asyncio.sleep(0.002)
            return await site.answer()

    assert run(play())[0] == 431


@settings(max_examples=60, deadline=None)
@given(data=st.binary(min_size=1, max_size=300), after=st.sampled_from([b"", _post(b"ok")]))
def test_any_bytes_leave_the_server_serving(data, after):
    async def play():
        async with _Site() as site:
            site.writer.write(after + data)
            await asyncio.sleep(0)
            site.reader, other = await asyncio.open_connection("127.0.0.1", site.server.port)
            other.write(_post(b"still here"))
            found = await site.answer()
            other.close()
            return found

    assert run(play())[2] == b"still here"


def test_unread_body_after_an_early_response_is_not_parsed_as_a_request():
    async def refuse(request):
        return text_response(503, "busy\n")

    async def play():
        async with _Site(refuse) as site:
            inner = _post(b"smuggled")
            site.writer.write(_post(b"1234" + inner)[: -len(inner)])
            first = await site.answer()
            site.writer.write(inner)
            await asyncio.sleep(0.02)
            site.writer.write(_post(b"next"))
            second = await site.answer()
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(site.answer(), 0.05)
            return first[0], second[0]

    assert run(play()) == (503, 503)


def test_oversized_body_raises_in_the_handler():
    async def play():
        async with _Site() as site:
            site.writer.write(_post(b"x" * (_LIMIT + 1)))
            return await site.answer()

    status, _, _ = run(play())
    assert status == 500


def test_client_disconnect_cancels_the_handler():
    cancelled = asyncio.Event()

    async def wait(request):
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def play():
        async with _Site(wait) as site:
            site.writer.write(_post(b"x"))
            await asyncio.sleep(0.02)
            site.writer.close()
            async with asyncio.timeout(2):
                await cancelled.wait()

    run(play())


async def _stream(request):
    request.begin(200, [(b"Content-Type", b"text/event-stream")])
    await request.write(b"data: 1\n\n")
    await request.write(b"data: 2\n\n")
    request.end()


def test_streamed_response_is_chunked_and_keeps_the_connection_open():
    async def play():
        async with _Site(_stream) as site:
            found = []
            for _ in range(2):
                site.writer.write(_post(b""))
                found.append(await site.answer())
            return found

    for status, headers, body in run(play()):
        assert (status, body) == (200, b"data: 1\n\ndata: 2\n\n")
        assert headers["Content-Type"] == "text/event-stream"


def test_http_1_0_client_reads_a_streamed_response_until_close():
    async def play():
        async with _Site(_stream) as site:
            site.writer.write(b"GET / HTTP/1.0\r\n\r\n")
            return await site.reader.read()

    answer = run(play())
    assert answer.endswith(b"\r\n\r\ndata: 1\n\ndata: 2\n\n")
    assert b"Connection: close" in answer


@pytest.mark.parametrize("begins", [True, False])
def test_failed_handler_ends_the_response(begins):
    async def fail(request):
        if begins:
            request.begin(200, [])
            await request.write(b"part")
        raise ZeroDivisionError

    async def play():
        async with _Site(fail) as site:
            site.writer.write(_post(b""))
            return await site.reader.read(10_000) + await site.reader.read()

    if begins:
        # The response breaks off without the last chunk, so that it can't pass for a complete one.
        try:
            assert not run(play()).endswith(b"0\r\n\r\n")
        except ConnectionResetError:
            return
    else:

        async def once():
            async with _Site(fail) as site:
                site.writer.write(_post(b""))
                return await site.answer()

        assert run(once())[0] == 500


def test_client_that_does_not_read_blocks_the_writer():
    async def flood(request):
        request.begin(200, [])
        for number in range(10_000):
            written.append(number)
            await request.write(b"x" * 65536)

    written = []

    async def play():
        async with _Site(flood) as site:
            site.writer.write(_post(b""))
            await asyncio.sleep(0.2)
            return len(written)

    assert run(play()) < 1000


def test_expect_100_continue_gets_an_interim_response():
    async def play():
        async with _Site() as site:
            head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
            site.writer.write(head)
            interim = await site.reader.readuntil(b"\r\n\r\n")
            site.writer.write(b"ok")
            return interim, await site.answer()

    interim, (status, _, body) = run(play())
    assert interim.startswith(b"HTTP/1.1 100 ")
    assert (status, body) == (200, b"ok")


def test_head_request_gets_no_body():
    async def page(request):
        return text_response(200, "page")

    async def play():
        async with _Site(page) as site:
            site.writer.write(b"HEAD / HTTP/1.1\r\n\r\n" + b"GET / HTTP/1.1\r\n\r\n")
            head = await site.reader.readuntil(b"\r\n\r\n")
            return head, await site.answer()

    head, (status, _, body) = run(play())
    assert b"Content-Length: 4" in head
    assert (status, body) == (200, b"page")


def test_shutdown_closes_idle_connections_and_answers_a_partly_received_request():
    async def play():
        async with _Site() as site:
            idle, _ = await asyncio.open_connection("127.0.0.1", site.server.port)
            wire = _post(b"crossed")
            site.writer.write(wire[:20])
            await asyncio.sleep(0.02)
            site.server.close_idle()
            site.writer.write(wire[20:])
            return await idle.read(), await site.answer()

    closed, (status, _, body) = run(play())
    assert (closed, status, body) == (b"", 200, b"crossed")


@pytest.mark.parametrize(("sent", "status"), [(b"GET / HT", 408), (b"", 0)])
def test_slow_request_heads_and_idle_connections_time_out(sent, status):
    async def play():
        async with _Site(bounds=ConnectionLimits(head_seconds=5.0, idle_seconds=20.0)) as site:
            site.writer.write(sent)
            await asyncio.sleep(0.02)
            (connection,) = site.server._connections
            connection.sweep(clock.monotonic() + 4.0)
            open_after_4 = not connection._transport.is_closing()
            connection.sweep(clock.monotonic() + 30.0)
            found = (await site.answer())[0] if status else 0
            connection.sweep(clock.monotonic() + 90.0)
            return open_after_4, found, await site.reader.read()

    assert run(play()) == (True, status, b"")


# Guards against connections that are closed as idle with a request unread after a hold-up.
def test_request_that_arrived_during_a_hold_up_is_read():
    async def play():
        async with _Site(bounds=ConnectionLimits(idle_seconds=0.5)) as site:
            await asyncio.sleep(0.3)
            site.writer.write(_post(b"one"))
            hold_up(0.9)
            return (await site.answer())[2]

    assert uvloop.run(play()) == b"one"


@pytest.mark.parametrize("endless", [b"X-More: 1\r\n", b"x" * 1024])
def test_trailers_and_chunk_extensions_without_end_are_refused(endless):
    """What is no part of a body was read without a bound."""

    async def play():
        async with _Site() as site:
            site.writer.write(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
            site.writer.write(b"0\r\n" if endless.startswith(b"X") else b"4;ext=")
            with pytest.raises(ConnectionError):
                for _ in range(2_000):
                    site.writer.write(endless * (65536 // len(endless)))
                    await site.writer.drain()

    run(play())
