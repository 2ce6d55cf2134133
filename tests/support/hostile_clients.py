"""Crowds of clients that keep to no limit; each connection that is closed is opened again.

A member is a coroutine function that gets a `Peer` and sends on it. It returns once it has sent
all; the connection then stays open, unread, until the crowd ends.
"""

import asyncio
import contextlib
import itertools
import struct

from tests.support.platform_site import HOST

# A member has settled when it has sent all, was closed, or could not send for this long.
_BLOCKED_SECONDS = 1.0
# A member without an end has settled once it has sent so much.
_SETTLED_BYTES = 4_000_000
_REOPEN_SECONDS = 0.5
_SETTLE_SECONDS = 30.0
# How long the crowd goes on after that before anything is checked.
_HOLD_SECONDS = 3.0
# Time for aborted connections to close.
_CLOSE_SECONDS = 0.05
_PIECE_BYTES = 64 * 1024


class Peer:
    """One connection of a member."""

    def __init__(self, writer: asyncio.StreamWriter, on_settled):
        self.writer = writer
        self._sent = 0
        self._on_settled = on_settled

    async def send(self, data: bytes) -> None:
        """Send bytes; raise ConnectionError once the server has closed."""
        for start in range(0, len(data), _PIECE_BYTES):
            piece = data[start : start + _PIECE_BYTES]
            self.writer.write(piece)
            await self._drain()
            self._sent += len(piece)

    async def _drain(self):
        drained = asyncio.ensure_future(self.writer.drain())
        try:
            if not (await asyncio.wait({drained}, timeout=_BLOCKED_SECONDS))[0]:
                self._on_settled()
            await drained
        finally:
            drained.cancel()

    async def send_forever(self, data: bytes) -> None:
        """Send `data` again and again."""
        while True:
            await self.send(data)
            if self._sent >= _SETTLED_BYTES:
                self._on_settled()
            await asyncio.sleep(0)


class Crowd:
    """Run `count` members against HOST:PORT; use it as an asynchronous context manager."""

    def __init__(
        self,
        address: str,
        count: int,
        member,
        reads: bool = True,
        hold_seconds: float = _HOLD_SECONDS,
    ):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._member = member
        self._reads = reads
        self._hold_seconds = hold_seconds
        self._unsettled = set(range(count))
        self._have_settled = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._count = count
        self.closed = 0

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(self._run(number)) for number in range(self._count)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SETTLE_SECONDS):
                await self._have_settled.wait()
        await asyncio.sleep(self._hold_seconds)
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.sleep(_CLOSE_SECONDS)

    def _settle(self, number):
        self._unsettled.discard(number)
        if not self._unsettled:
            self._have_settled.set()

    async def _run(self, number):
        for _ in itertools.count():
            with contextlib.suppress(OSError):
                await self._run_once(number)
            self.closed += 1
            self._settle(number)
            await asyncio.sleep(_REOPEN_SECONDS)

    async def _run_once(self, number):
        limit = 2**16 if self._reads else 1
        reader, writer = await asyncio.open_connection(self._host, self._port, limit=limit)
        try:
            peer = Peer(writer, lambda: self._settle(number))
            reading = asyncio.create_task(self._read(reader))
            sending = asyncio.create_task(self._member(peer))
            await asyncio.wait({reading, sending}, return_when=asyncio.FIRST_COMPLETED)
            if sending.done() and not sending.exception():
                self._settle(number)
                await reading
        finally:
            reading.cancel()
            sending.cancel()
            await asyncio.gather(reading, sending, return_exceptions=True)
            writer.transport.abort()

    async def _read(self, reader):
        """Return once the server has closed; without `reads`, never read."""
        if not self._reads:
            await asyncio.Event().wait()
        while await reader.read(_PIECE_BYTES):
            pass


HEAD = f"POST /plain/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: h\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BODY_BYTES = 4 * 1024 * 1024


def with_length(size):
    return HEAD + b"Content-Length: %d\r\n\r\n" % size


def chunks(size, chunk_size):
    """Return `size` bytes of body in chunks of `chunk_size`, without the last chunk."""
    return (b"%x\r\n%b\r\n" % (chunk_size, b"x" * chunk_size)) * (size // chunk_size)


_LINES = b"a:\r\n" * 16_000
_MEGABYTE = b"x" * 2**20
_LARGE_CHUNKS = chunks(BODY_BYTES - 2**16, 2**16)
_SMALL_CHUNKS = chunks(2**20, 2)
_SHORT_BY_ONE = with_length(BODY_BYTES) + b"x" * (BODY_BYTES - 1)
WHOLE = with_length(BODY_BYTES) + b"x" * BODY_BYTES
_PIPELINED = (with_length(400_000) + b"x" * 400_000) * 9


async def header_lines_without_end(peer):
    await peer.send(HEAD)
    await peer.send_forever(_LINES)


async def header_lines_in_one_read(peer):
    await peer.send(HEAD + b"a:\r\n" * 62_500 + b"\r\n")


async def one_header_without_end(peer):
    await peer.send(HEAD + b"X-Long: ")
    await peer.send_forever(_MEGABYTE)


async def blank_lines_without_end(peer):
    await peer.send_forever(b"\r\n" * 32_768)


async def chunked_just_short_of_the_end(peer):
    await peer.send(CHUNKED + _LARGE_CHUNKS)


async def small_chunks_short_of_the_end(peer):
    await peer.send(CHUNKED + _SMALL_CHUNKS)


async def announced_and_one_byte_short(peer):
    await peer.send(_SHORT_BY_ONE)


async def requests_behind_one_another(peer):
    await peer.send_forever(_PIPELINED)


async def chunked_without_end(peer):
    await peer.send(CHUNKED)
    await peer.send_forever(b"100000\r\n" + _MEGABYTE + b"\r\n")


async def announced_far_over_the_limit(peer):
    await peer.send(with_length(10**9))
    await peer.send_forever(_MEGABYTE)


async def whole_and_answers_not_read(peer):
    await peer.send(WHOLE)


async def small_requests_without_reading(peer):
    await peer.send_forever((with_length(3000) + b"x" * 3000) * 20)


async def small_requests_for_large_answers(peer):
    await peer.send(with_length(10).replace(b"/plain/1", b"/plain/large") + b"x" * 10)


async def heads_that_never_end(peer):
    await peer.send(HEAD)


async def nothing(peer):
    await peer.send(b"")


async def bodies_that_stop(peer):
    await peer.send(with_length(4096) + b"x" * 1024)


async def first_frames_of_links(peer):
    await peer.send(struct.pack(">I", 60_000_000))
    await peer.send(_MEGABYTE * 57)


def _of_control(body):
    head = b"PUT /traystall/config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n"
    return head % (body + 1)


async def configurations_just_short_of_the_end(peer):
    await peer.send(_of_control(31 * 2**20))
    for _ in range(31):
        await peer.send(_MEGABYTE)


# What any address may be sent.
MEMBERS = (
    header_lines_without_end,
    header_lines_in_one_read,
    one_header_without_end,
    blank_lines_without_end,
    chunked_just_short_of_the_end,
    small_chunks_short_of_the_end,
    announced_and_one_byte_short,
    requests_behind_one_another,
    chunked_without_end,
    announced_far_over_the_limit,
    whole_and_answers_not_read,
    small_requests_without_reading,
    small_requests_for_large_answers,
    heads_that_never_end,
    nothing,
    bodies_that_stop,
)
