"""One client connection: httptools parses the requests, which are answered in order."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable

import httptools
import msgspec

from traystall.core import clock
from traystall.core.sockets import PEER_CHECK_SECONDS, has_peer_closed
from traystall.http.exceptions import BodyBroken
from traystall.http.messages import Header, Response, encode_response, text_response
from traystall.http.request import Request

# Returns a whole response, or None if the response was streamed.
Handler = Callable[[Request], Awaitable[Response | None]]

# Reading from the socket pauses while the unread parts of bodies exceed this size in bytes, or
# while more requests than this wait behind the one that is being answered.
_HIGH_WATER_BYTES = 256 * 1024
_MAX_WAITING_REQUESTS = 8
# The transport passes on at most this much at once.
_MAX_READ_BYTES = 256 * 1024
# The parser gets at most this much at once, and the limits are checked after it.
_MAX_PARSED_BYTES = 64 * 1024

logger = logging.getLogger(__name__)


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limit the size and the duration of what a client sends."""

    head_bytes: int = 64 * 1024
    head_seconds: float = 10.0
    # Keep-alive connections are closed after this long without a request.
    idle_seconds: float = 60.0
    # After a response that precedes the end of the request body, the rest of the body is read
    # for this long, so that the client gets the response and not a connection reset.
    linger_seconds: float = 2.0


class ServerConnection(asyncio.Protocol):
    """Read requests and answer them one at a time."""

    def __init__(
        self, handler: Handler, bounds: ConnectionLimits, connections: set["ServerConnection"]
    ):
        self._handler = handler
        self._limits = bounds
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[Header] = []
        self._head_bytes = 0
        # Bytes received since the last byte of a body: of trailers, or between two chunks.
        self._bytes_without_body = 0
        # The request whose body is being read, the one being answered, and the queued ones.
        self._reading: Request | None = None
        self._answering: Request | None = None
        self._next: deque[Request] = deque()
        self._task: asyncio.Task | None = None
        self._reading_head = False
        # Whether nothing has been received yet.
        self.is_new = True
        self._has_failed = False
        self._close_after_response = False
        self._state_since = clock.monotonic()
        self._lingering_since: float | None = None
        self._drained: asyncio.Future | None = None
        self._is_paused = False
        self._peer_check: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received and no response is pending."""
        return self._answering is None and self._reading is None and not self._reading_head

    # ---- what a request calls ----

    def write(self, data: bytes) -> None:
        """Send bytes to the client, unless it has disconnected."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drained(self) -> None:
        """Return once the write buffer is below its high-water mark."""
        if self._drained is not None:
            await self._drained

    def abort(self) -> None:
        """Close the connection immediately, without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def resume_body(self) -> None:
        """Resume reading after received parts of a body were consumed."""
        if self._is_paused and self._may_read() and not self._transport.is_closing():
            self._is_paused = False
            self._peer_check.cancel()
            self._transport.resume_reading()

    # ---- what the server calls ----

    def close(self) -> None:
        """Close the connection after the buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Close a connection that was idle for too long or sends a request head too slowly."""
        bounds = self._limits
        if self._lingering_since is not None:
            if now - self._lingering_since > bounds.linger_seconds:
                self.close()
        elif self.is_idle and now - self._state_since > bounds.idle_seconds:
            self.close()
        elif (
            self._reading_head
            and self._answering is None
            and now - self._state_since > bounds.head_seconds
        ):
            self._fail(408, "The head of the request takes too long.")

    # ---- asyncio.Protocol ----

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc):
        """Cancel the work for a client that has disconnected."""
        self._connections.discard(self)
        if self._peer_check is not None:
            self._peer_check.cancel()
        if self._reading is not None:
            self._reading.fail_body(BodyBroken("The caller has gone."))
        if self._task is not None:
            self._task.cancel()
        self.resume_writing()

    def pause_writing(self):
        """Make `drained` wait."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Release the waiters of `drained`."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    def data_received(self, data):
        """Parse received bytes."""
        self.is_new = False
        view = memoryview(data)
        for start in range(0, len(view), _MAX_PARSED_BYTES):
            self._parse(view[start : start + _MAX_PARSED_BYTES])

    def _parse(self, data):
        if self._has_failed:
            return
        was_in_head = self._reading_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported: the request is answered as the last one.
            self._has_failed = self._close_after_response = True
        except httptools.HttpParserError as error:
            self._fail(400, f"What came is no request: {error}.")
        if self._reading_head and was_in_head:
            # The parser buffers a header name or value until it is complete.
            self._head_bytes += len(data)
            if self._head_bytes > self._limits.head_bytes:
                self._fail(431, "The head of the request is too large.")
        elif self._reading is not None:
            self._bytes_without_body += len(data)
            if self._bytes_without_body > self._limits.head_bytes + _MAX_READ_BYTES:
                self._fail(400, "Too much comes between two parts of the body.")
                return
            self._reading.on_parts_added()
            self._pause_if_full()

    # ---- httptools ----

    def on_message_begin(self):
        """Begin a request."""
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._bytes_without_body = 0
        self._reading_head = True
        self._state_since = clock.monotonic()

    def on_url(self, part):
        """Keep a part of the target."""
        self._target += part

    def on_header(self, name, value):
        """Keep a header."""
        self._headers.append((name, value.strip()))

    def on_headers_complete(self):
        """Begin to answer, or queue the request behind the one that is being answered."""
        self._reading_head = False
        if self._has_failed:
            return  # The parser continues to the end of the data that it was given.
        if self._head_size() > self._limits.head_bytes:
            self._fail(431, "The head of the request is too large.")
            return
        parser = self._parser
        if parser.should_upgrade() and self._has_body():
            # The parser treats the bytes after such a head as data of another protocol.
            self._fail(400, "No other protocol is spoken here.")
            return
        is_current = parser.get_http_version() != "1.0"
        request = self._reading = Request(
            self,
            parser.get_method().decode("latin-1"),
            self._target.decode("utf-8", "surrogateescape"),
            tuple(self._headers),
            keep_alive=is_current and parser.should_keep_alive(),
            chunks_allowed=is_current,
        )
        if self._answering is None:
            self._start_response(request)
        else:
            self._next.append(request)
            self._pause_if_full()

    def on_body(self, data):
        """Pass a part of the body to its request; there may be one for each byte."""
        request = self._reading
        self._bytes_without_body = 0
        if request is None:
            return
        request.add_body_part(data)

    def on_message_complete(self):
        """End the body; this also completes a response that was sent before it."""
        request, self._reading = self._reading, None
        if request is None:
            return
        request.end_body()
        if self._lingering_since is not None:
            self._lingering_since = None
            self._start_next(request)

    # ---- helpers ----

    def _head_size(self):
        return len(self._target) + sum(len(name) + len(value) for name, value in self._headers)

    def _has_body(self):
        names = {name.lower() for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _may_read(self):
        """Return whether the received requests leave room for more.

        While nothing is read, a close by the client is noticed late or not at all. Requests behind
        the one that is being answered are therefore read as well, within the same limit.
        """
        if len(self._next) > _MAX_WAITING_REQUESTS:
            return False
        unread = sum(request.unread_bytes for request in self._next)
        if self._answering is not None:
            unread += self._answering.unread_bytes
        return unread <= _HIGH_WATER_BYTES

    def _pause_if_full(self):
        if not self._is_paused and not self._may_read() and not self._transport.is_closing():
            self._is_paused = True
            self._transport.pause_reading()
            self._schedule_peer_check()

    def _schedule_peer_check(self):
        loop = asyncio.get_running_loop()
        self._peer_check = loop.call_later(PEER_CHECK_SECONDS, self._check_peer)

    def _check_peer(self):
        """Close the connection if its client has closed it while nothing is read from it."""
        if self._transport.is_closing():
            return
        if has_peer_closed(self._transport):
            self.abort()
        else:
            self._schedule_peer_check()

    def _start_response(self, request):
        self._answering = request
        self._task = asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request):
        try:
            response = await self._handler(request)
        except Exception:
            # The handler failed: the client must get an error instead of waiting.
            logger.exception("request failed")
            response = (
                None if request.has_started_response else text_response(500, "internal error\n")
            )
            if response is None:
                request.abort()
        if response is not None:
            request.keep_alive = request.keep_alive and not self._close_after_response
            with_body = request.method != "HEAD"
            self.write(encode_response(response, not request.keep_alive, with_body))
        elif not request.has_ended:
            request.abort()
        self._finish(request)

    def _finish(self, request):
        """Start the next request, or first read the rest of the current request body."""
        if request.is_complete or self._has_failed:
            self._start_next(request)
            return
        request.discard_body()
        self._lingering_since = clock.monotonic()
        self.resume_body()

    def _start_next(self, request):
        self._answering = self._task = None
        self._state_since = clock.monotonic()
        if not request.keep_alive or (self._close_after_response and not self._next):
            self.close()
        if self._transport.is_closing():
            return
        if self._next:
            self._start_response(self._next.popleft())
        self.resume_body()

    def _fail(self, status, why):
        """Stop reading; report the error to the client after the pending responses."""
        if self._has_failed:
            return
        self._has_failed = self._close_after_response = True
        self._reading_head = False
        logger.info("request not read", extra={"status": status, "why": why})
        if self._reading is not None:
            self._reading.fail_body(BodyBroken(why))
            self._reading = None
        if self._answering is None:
            self.write(encode_response(text_response(status, f"{why}\n"), close=True))
            self._lingering_since = clock.monotonic()
