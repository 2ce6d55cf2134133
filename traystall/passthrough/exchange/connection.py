"""One HTTP/1.1 connection to a target, parsed by httptools.

An HTTP client library would hide three cases that matter here: a response without a length is
incomplete if the connection is reset, unexpected bytes make the connection unusable, and no
request is ever retried automatically.
"""

import asyncio
import errno
from collections import deque
from collections.abc import Callable
from enum import StrEnum

import httptools
import msgspec

from traystall.core.peer_timeout import PeerTimeout
from traystall.core.sockets import (
    TARGET_UNACKNOWLEDGED_TIMEOUT_MS,
    enable_dead_peer_detection,
    limit_receive_buffer,
    reset_on_close,
)
from traystall.passthrough.exceptions import (
    ConnectFailed,
    ConnectionBroken,
    NoAnswer,
    TunnelClosed,
)
from traystall.passthrough.exchange.answer_room import AnswerRoom

# Reading from the socket pauses while more bytes than this are buffered and not yet consumed.
_HIGH_WATER_BYTES = 64 * 1024
# What the kernel keeps besides, of a response that is not read.
_RECEIVE_BUFFER_BYTES = 64 * 1024
# Bytes without any body in a row: of a head with the interim responses before it, of trailers, or
# between two chunks. A target that sends more of them sends no response.
MAX_HEAD_BYTES = 64 * 1024
CONNECT_TIMEOUT_SECONDS = 0.25
_KEEP_ALIVE_TIMEOUT_PREFIX = "timeout="
# Marks a response of the gateway of a tunnel, which has not passed the request on to the target.
TUNNEL_CLOSED_HEADER = "Traystall-Tunnel-Closed"
_BODILESS_STATUSES = (204, 304)


class ResponseEnd(StrEnum):
    """What ended the exchange on a connection, for logs and metrics.

    LENGTH: all bytes of the length that the head names, or a head without a body.
    LAST_CHUNK: the last chunk.
    CLOSE: the close of the connection, for a response with neither a length nor chunks.
    LOST: the connection ended before the response did.
    GIVEN_UP: this gateway closed the connection before the response ended.
    """

    LENGTH = "length"
    LAST_CHUNK = "last-chunk"
    CLOSE = "close"
    LOST = "lost"
    GIVEN_UP = "given-up"


class ResponseHead(msgspec.Struct):
    """Hold the status and headers of a response; header names keep the case of the target."""

    status: int
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool = True
    until_close: bool = False

    def get(self, name: str) -> str | None:
        """Return the value of the first header `name`, case-insensitively, or None."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return None

    def get_all(self, name: str) -> list[str]:
        """Return the values of all headers `name`, case-insensitively."""
        wanted = name.lower().encode()
        return [value.decode("latin-1") for key, value in self.headers if key.lower() == wanted]

    def idle_seconds(self) -> float | None:
        """Return the idle timeout that the target declares in Keep-Alive, or None."""
        value = self.get("Keep-Alive") or ""
        for word in value.split(","):
            word = word.strip()
            if (
                word.startswith(_KEEP_ALIVE_TIMEOUT_PREFIX)
                and word[len(_KEEP_ALIVE_TIMEOUT_PREFIX) :].isdigit()
            ):
                return float(word[len(_KEEP_ALIVE_TIMEOUT_PREFIX) :])
        return None


class SentRequest(msgspec.Struct, frozen=True):
    """Describe the request that was sent last on a connection.

    `request_id` is None for requests without an id. `is_work` is false for requests that are no
    new work to the target. `is_covered` tells whether the target's rate limit permits the request.
    """

    sent_at: float = float("-inf")
    request_id: str | None = None
    is_work: bool = True
    is_covered: bool = False


class ConnectionObserver(msgspec.Struct, frozen=True):
    """Hold callbacks that observe the traffic on connections.

    `on_send(connection)` is called before each request. `on_head(connection, head)` is called with
    each response head when it is parsed, even if no caller waits for the response. `on_data()` is
    called whenever a part of a response arrives: a head, bytes of a body, or its end.
    """

    on_send: Callable[["TargetConnection"], None] = lambda connection: None
    on_head: Callable[["TargetConnection", ResponseHead], None] = lambda connection, head: None
    on_data: Callable[[], None] = lambda: None


def ends_with_connection(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether the body of a response lasts until its connection closes (RFC 9112, 6.3)."""
    names = {name.lower() for name, _ in headers}
    is_delimited = b"content-length" in names or b"transfer-encoding" in names
    return not is_delimited and status not in _BODILESS_STATUSES


_NO_OBSERVER = ConnectionObserver()
_ANY_ROOM = AnswerRoom()


class _EndOfMessage:
    """Mark the end of a message in the queue of received items."""


_END_OF_MESSAGE = _EndOfMessage()


class TargetConnection(asyncio.Protocol):
    """Exchange requests and responses with one target, one at a time.

    `via` is the identity of the gateway that tunnels the connection, or empty for a direct one.
    `is_close_an_end` is false if the target may not be the one that closes the connection; a body
    that lasts until then is never complete.
    """

    def __init__(
        self,
        observer: ConnectionObserver = _NO_OBSERVER,
        via: str = "",
        is_close_an_end: bool = True,
    ):
        self._observer = observer
        self.via = via
        self._is_close_an_end = is_close_an_end
        self.transport: asyncio.Transport | None = None
        self.is_closed = False
        self.is_idle = False
        self.idle_since = 0.0
        self.idle_until = float("inf")
        self.requests = 0
        self.sent_request = SentRequest()
        self._parser = httptools.HttpResponseParser(self)
        self._received: deque = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._in_message = False
        self._until_close = False
        self._is_chunked = False
        self._is_skipped = False
        # Bytes received since the last byte of a body, and whether the last bytes held a part of a
        # response.
        self._bytes_without_body = 0
        self._has_progressed = False
        self._had_eof = False
        self._paused = False
        # What ended the last response.
        self.ended_by = ResponseEnd.GIVEN_UP

    # ---- interface for attempts ----

    def send(self, data: bytes, sent_request: SentRequest = SentRequest()) -> None:  # noqa: B008 - it is frozen.
        """Write a complete request to the transport."""
        if self.is_closed or self.transport is None:
            raise ConnectionBroken("The connection is closed.", sent=False)
        self.is_idle = False
        self.requests += 1
        self.sent_request = sent_request
        self._bytes_without_body = 0
        self.ended_by = ResponseEnd.GIVEN_UP
        self._observer.on_send(self)
        self.transport.write(data)

    @property
    def has_data(self) -> bool:
        """Return whether the next read returns, or fails, without waiting."""
        return bool(self._received) or self._error is not None

    async def wait_for_data(self) -> None:
        """Return once the next read returns or fails without waiting."""
        while not self.has_data:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    async def head(self) -> ResponseHead:
        """Return the head of the next response."""
        while True:
            item = await self._next()
            if isinstance(item, ResponseHead):
                return item
            if isinstance(item, bytes):
                raise NoAnswer("Bytes came where an answer was due.", sent=True)

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end; raise if the body is truncated."""
        item = await self._next()
        if item is _END_OF_MESSAGE:
            return b""
        if isinstance(item, ResponseHead):
            raise NoAnswer("Another answer came inside one.", sent=True)
        return item

    async def body(self, limit: int, room: AnswerRoom | None = None) -> bytes:
        """Return the complete body; raise NoAnswer if it exceeds `limit` bytes.

        A large one takes its memory from `room`, and is not read on while there is none.
        """
        body = bytearray()
        with (room or _ANY_ROOM).hold() as held:
            while part := await self.chunk():
                body += part
                if len(body) > limit:
                    raise NoAnswer(f"The answer is over {limit} bytes.", sent=True)
                await held.grow(len(body))
            return bytes(body)

    def is_reusable(self, head: ResponseHead) -> bool:
        """Return whether another request may follow the response that was just read."""
        clean = not self._received and self._error is None and not self._in_message
        if not clean or self.is_closed or not head.keep_alive or head.until_close:
            return False
        # Unsent bytes mean that the target responded before it had read the whole request; they
        # would precede the next request.
        return self.transport.get_write_buffer_size() == 0

    def close(self) -> None:
        """Close the connection immediately, which cancels work in progress at the target."""
        self.is_closed = True
        if self.transport is None:
            return
        if not self.transport.is_closing() and self.transport.get_write_buffer_size():
            # A peer that reads slowly would notice the close only behind the bytes of the request.
            reset_on_close(self.transport)
        self.transport.abort()

    # ---- asyncio.Protocol ----

    def connection_made(self, transport):
        """Store the transport and enable the detection of silent peers."""
        self.transport = transport
        limit_receive_buffer(transport.get_extra_info("socket"), _RECEIVE_BUFFER_BYTES)
        enable_dead_peer_detection(transport, TARGET_UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data):
        """Feed the parser; bytes on an idle connection are unexpected and close it."""
        if self.is_idle:
            self.close()
            return
        self._has_progressed = False
        self._bytes_without_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(NoAnswer(f"What came is no answer: {error}.", sent=True))
        if self._has_progressed:
            self._observer.on_data()
        if self._bytes_without_body > MAX_HEAD_BYTES:
            self._fail(NoAnswer(f"Over {MAX_HEAD_BYTES} bytes came without a body.", sent=True))
            self.close()

    def eof_received(self):
        """Record that the target closed its side in order, and close the connection."""
        self._had_eof = self._is_close_an_end
        return False

    def connection_lost(self, exc):
        """Complete a body that is delimited by the close, or fail the pending read."""
        if self.ended_by is ResponseEnd.GIVEN_UP and not self.is_closed:
            self.ended_by = ResponseEnd.LOST
        self.is_closed = True
        whole = self._in_message and self._until_close and self._had_eof and exc is None
        if whole:
            self._in_message = False
            self.ended_by = ResponseEnd.CLOSE
            self._enqueue(_END_OF_MESSAGE)
        silent = isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT
        self._fail(
            ConnectionBroken(f"The connection ended: {exc or 'closed'}.", sent=True, silent=silent)
        )

    # ---- httptools callbacks ----

    def on_message_begin(self):
        """Reset the header list for a new message."""
        self._headers = []
        self._in_message = True

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Queue the response head; interim responses (1xx) are skipped."""
        self._has_progressed = True
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        is_refused = bool(self.via) and TUNNEL_CLOSED_HEADER.lower().encode() in names
        if is_refused:
            self._fail(TunnelClosed("The gateway of the tunnel closes it."))
        self._is_skipped = is_refused or 100 <= status < 200
        if self._is_skipped:
            return
        self._is_chunked = b"transfer-encoding" in names
        self._until_close = ends_with_connection(status, self._headers)
        head = ResponseHead(
            status, self._headers, self._parser.should_keep_alive(), self._until_close
        )
        self._observer.on_head(self, head)
        self._enqueue(head)

    def on_body(self, data):
        """Queue body bytes, and pause reading above the high-water mark."""
        self._has_progressed = True
        self._bytes_without_body = 0
        self._buffered_bytes += len(data)
        if self._buffered_bytes > _HIGH_WATER_BYTES and not self._paused and not self.is_closed:
            self._paused = True
            self.transport.pause_reading()
        self._enqueue(data)

    def on_message_complete(self):
        """Queue the end of the message."""
        self._has_progressed = True
        self._in_message = False
        if not self._is_skipped:
            self.ended_by = ResponseEnd.LAST_CHUNK if self._is_chunked else ResponseEnd.LENGTH
            self._enqueue(_END_OF_MESSAGE)

    # ---- helpers ----

    def _enqueue(self, item):
        self._received.append(item)
        self._wake()

    def _fail(self, error):
        if self._error is None:
            self._error = error
        self._wake()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next(self):
        await self.wait_for_data()
        if not self._received:
            raise self._error
        item = self._received.popleft()
        if isinstance(item, bytes):
            self._buffered_bytes -= len(item)
            if (
                self._paused
                and self._buffered_bytes <= _HIGH_WATER_BYTES // 2
                and not self.is_closed
            ):
                self._paused = False
                self.transport.resume_reading()
        return item


async def connect(
    address: str, timeout: float, observer: ConnectionObserver = _NO_OBSERVER
) -> TargetConnection:
    """Return a new connection to IP:PORT; raise ConnectFailed if it fails or times out."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with PeerTimeout(timeout):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(observer), host, int(port)
            )
    except TimeoutError as error:
        raise ConnectFailed(f"{address} does not answer.", silent=True) from error
    except (OSError, ValueError) as error:
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectFailed(f"{address} cannot be reached: {error}.", refused=refused) from error
    return connection
