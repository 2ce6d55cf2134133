"""Responses of targets that are invalid, stop within their head, or have no body by definition.

The callers read raw bytes and keep their connections, so that bytes behind a response would be read
as a part of the next one.
"""

import asyncio

import pytest

from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.site import HOST, KEY
from traystall.passthrough.dialect import HeaderNames

NAMES = HeaderNames()
PATHS = ("/once/x", "/again/x", "/events/x")
EVENT_COUNT = 6


class ScriptedTarget:
    """Send the next of `responses` to each request, then close the connection if it says so.

    A response is a function of the request id and of the headers, and returns bytes.
    """

    version = ""

    def __init__(self, identity, *responses, resets=False, closes=True):
        self.identity = identity
        self.address = ""
        self.requests = []
        self._responses = list(responses)
        self._resets = resets
        self._closes = closes

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", 0)))
        self.requests.append(headers)
        respond = self._responses.pop(0) if len(self._responses) > 1 else self._responses[0]
        writer.write(respond(headers[NAMES.request_id.lower()], headers))
        await writer.drain()
        if self._resets:
            await asyncio.sleep(0.02)
            writer.transport.abort()
        return not (self._closes or self._resets)


def head(status, request_id, framing):
    lines = [
        f"HTTP/1.1 {status} X",
        f"{NAMES.request_id}: {request_id}",
        f"{NAMES.signature}: t",
        *framing,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def plain(status, body=b"body", framing=None):
    """Return a response with a status and a body of the announced length."""
    framing = [f"Content-Length: {len(body)}"] if framing is None else framing
    return lambda request_id, _: head(status, request_id, framing) + body


def events(first, last):
    return b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(first, last + 1))


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream(request_id, headers):
    """Send a stream from the event after `Last-Event-Id` to its end."""
    first = int(headers.get("last-event-id", 0)) + 1
    framing = ["Transfer-Encoding: chunked"]
    body = chunk(events(first, EVENT_COUNT)) + b"0\r\n\r\n"
    return head(200, request_id, framing) + body


def stream_part(request_id, _):
    """Send a stream up to its third event, without its end."""
    framing = ["Transfer-Encoding: chunked"]
    return head(200, request_id, framing) + chunk(events(1, 3))


def cut(response, part):
    """Return a response that stops within its head, after a part of it or `part` bytes early."""

    def respond(request_id, headers):
        whole = response(request_id, headers)
        length = whole.index(b"\r\n\r\n") + 4
        return whole[: int(length * part) if 0 < part < 1 else length - part]

    return respond


async def exchange(port, path, *, method="POST", count=1):
    """Send requests on one connection that is kept; return all bytes until it is silent."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = b""
    for number in range(count):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Token {KEY}",
            f"{NAMES.request_id}: request-{number}",
            "Content-Length: 5",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhello")
        try:
            while True:
                async with asyncio.timeout(0.7):
                    data = await reader.read(65536)
                received += data
                if not data:
                    break
        except TimeoutError:
            pass
    writer.close()
    return received


async def ask(path, *targets, resumable=False, attempts=2, **options):
    """Return all bytes of the exchange with a gateway over these targets."""
    async with asyncio.TaskGroup():
        for target in targets:
            await target.__aenter__()
        pool = "engine" if path.startswith("/events") else "plain"
        routing = table(resumable=resumable, max_attempts=attempts)
        try:
            async with EmulatedGateway(routing, [(pool, target) for target in targets]) as gateway:
                return await exchange(gateway.port, path, **options)
        finally:
            for target in targets:
                await target.__aexit__()


def status_of(received):
    return int(received.split(b" ", 2)[1])


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", ["000", "0", "20", "099", "1000", "101"])
def test_status_that_is_none_is_a_failure(path, status):
    """Guards against MIXED: such a status passed on as an answer of the target."""
    received = run(ask(path, ScriptedTarget("t", plain(status))))
    assert status_of(received) in (502, 503)
    assert NAMES.signature.encode() not in received


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", [600, 999])
def test_status_beyond_the_classes_is_returned_like_a_server_error(path, status):
    """A failure of the target is passed on unchanged; clients treat these like a 5xx."""
    received = run(ask(path, ScriptedTarget("t", plain(status)), attempts=1))
    assert status_of(received) == status
    assert NAMES.signature.encode() in received
    assert b"body" in received


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("part", [0.05, 0.5, 0.9, 2, 1])
@pytest.mark.parametrize("framing", [["Content-Length: 4"], ["Transfer-Encoding: chunked"], []])
def test_response_that_stops_within_its_head_is_a_failure(path, part, framing, resets):
    """Guards against MIXED: a part of a head taken for a whole response without a body."""
    response = cut(plain(200, b"", framing), part)
    received = run(ask(path, ScriptedTarget("t", response, resets=resets)))
    assert status_of(received) in (502, 503)


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("part", [0.05, 0.5, 0.9, 2, 1])
def test_continued_stream_whose_head_stops_is_continued_again(part, resets):
    """Guards against ORDER: a stream that ends as whole since its second run ended in its head."""
    broken = ScriptedTarget("t-1", stream_part, cut(stream, part), resets=True)
    second = ScriptedTarget("t-2", cut(stream, part), stream, resets=resets, closes=not resets)
    received = run(ask("/events/x", broken, second, resumable=True, attempts=6))
    whole = received.endswith(b"0\r\n\r\n")
    numbers = [int(line[4:]) for line in received.split(b"\n") if line.startswith(b"id: ")]
    assert numbers[:3] == [1, 2, 3]
    assert numbers == list(range(1, len(numbers) + 1))
    assert not whole or len(numbers) == EVENT_COUNT


@pytest.mark.parametrize("path", ["/again/x"])
@pytest.mark.parametrize("part", [0.5, 1])
def test_second_attempt_whose_head_stops_is_a_failure(path, part):
    targets = [ScriptedTarget(f"t-{n}", cut(plain(200), part)) for n in range(3)]
    received = run(ask(path, *targets, attempts=3))
    assert status_of(received) in (502, 503)


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("path", PATHS)
def test_response_without_a_body_has_no_framing(path, status):
    """Guards against MIXED: the end of a chunked body behind a response that has none.

    A client that keeps the connection reads these bytes as the begin of the next response.
    """
    target = ScriptedTarget("t", plain(status, b"", []), closes=False)
    received = run(ask(path, target, count=2))
    assert b"transfer-encoding" not in received.lower()
    heads = received.split(b"\r\n\r\n")
    assert [status_of(part) for part in heads if part] == [status] * 2
    assert heads[-1] == b"", "bytes follow the last response"
    assert len(target.requests) == 2


def test_response_to_head_on_a_streamed_route_has_no_body():
    """Guards against MIXED: the end of a chunked body in response to HEAD."""
    target = ScriptedTarget("t", plain(200, b"", ["Content-Length: 0"]), closes=False)
    received = run(ask("/events/x", target, method="HEAD", count=2))
    heads = received.split(b"\r\n\r\n")
    assert [status_of(part) for part in heads if part] == [200] * 2
