"""One client connection: httptools parses the requests, which are answered in order."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from traystall.core import clock, metrics
from traystall.core.sockets import PEER_CHECK_SECONDS, has_peer_closed, has_unread_bytes
from traystall.http.exceptions import BodyBroken, BodyTimeout, HeadTooLarge, MemoryExhausted
from traystall.http.head import RequestHead
from traystall.http.limits import ConnectionLimits, Stage, is_overdue
from traystall.http.memory import Holding, MemoryAccount
from traystall.http.messages import BODILESS, Response, encode_response, text_response
from traystall.http.request import Request
from traystall.http.resources import RECEIVE_BUFFER_BYTES

# Returns a whole response, or None if the response was streamed.
Handler = Callable[[Request], Awaitable[Response | None]]

# Reading from the socket pauses while the unread parts of bodies exceed this size in bytes, or
# while more requests than this wait behind the one that is being answered.
_HIGH_WATER_BYTES = 512 * 1024
_MAX_WAITING_REQUESTS = 8
# The transport passes on at most this much at once.
_MAX_READ_BYTES = 256 * 1024
# The parser gets at most this much at once, and the limits are checked after it.
_MAX_PARSED_BYTES = 64 * 1024
# Larger responses are written in parts of this size.
_MAX_WRITTEN_BYTES = 128 * 1024
# Memory of a request besides its head and body.
_REQUEST_BYTES = 1500
# Stages whose time counts from their begin, however much the client moves.
_TIMED_STAGES = (Stage.REQUEST, Stage.HEAD)

logger = logging.getLogger(__name__)


class ServerConnection(asyncio.Protocol):
    """Read requests and answer them one at a time."""

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits,
        connections: set["ServerConnection"],
        memory: MemoryAccount | None = None,
    ):
        self._handler = handler
        # May be replaced at any time.
        self.limits = limits
        self._connections = connections
        self._memory = memory
        self._holding = Holding(self)
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        # The head that is being read; the parser reports heads and blank lines as they come.
        self._head: RequestHead | None = None
        self._heads_begun = 0
        # Bytes received since the last request that belong to none.
        self._blank_bytes = 0
        # Bytes received since the last byte of a body: of trailers, or between two chunks.
        self._bytes_without_body = 0
        # The request whose body is being read, the one being answered, and the queued ones.
        self._reading: Request | None = None
        self._answering: Request | None = None
        self._next: deque[Request] = deque()
        self._task: asyncio.Task | None = None
        # Whether nothing has been received yet.
        self.is_new = True
        self._has_failed = False
        self._close_after_response = False
        # Whether requests were dropped that the client has sent.
        self._drops_input = False
        # Whether the response to `_answering` was written, and the client has yet to read it.
        self._is_response_written = False
        self._response_bytes = 0
        self._state_since = self._moved_at = clock.monotonic()
        # Size of the write buffer when it was last looked at.
        self._unsent_bytes = 0
        self._lingering_since: float | None = None
        self._lingered_bytes = 0
        self._drained: asyncio.Future | None = None
        self._is_paused = False
        self._peer_check: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received and no response is pending."""
        return self._answering is None and self._reading is None and self._head is None

    @property
    def is_responding(self) -> bool:
        """Return whether a response is pending, or not completely handed to the kernel."""
        return self._answering is not None or self._transport.get_write_buffer_size() > 0

    @property
    def moved_at(self) -> float:
        """Return when something was received last."""
        return self._moved_at

    @property
    def stage(self) -> Stage:
        """Return what the connection is waiting for."""
        if self._lingering_since is not None:
            return Stage.LINGERING
        if self._is_response_written:
            return Stage.READING
        if self._answering is not None:
            is_waiting = self._reading is self._answering
            return Stage.BODY if is_waiting else Stage.HANDLER
        return Stage.REQUEST if self._head is None else Stage.HEAD

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
        """Close a connection whose client takes too long."""
        stage = self.stage
        if not is_overdue(stage, self._stage_seconds(stage, now), self.limits):
            return
        if stage in (Stage.HEAD, Stage.BODY, Stage.REQUEST) and self._has_unread_bytes():
            return  # They came while the event loop was held up.
        if stage is Stage.HEAD:
            self._fail(408, "The head of the request takes too long.")
        elif stage is Stage.BODY:
            logger.info("body not received")
            self._give_up_body(BodyTimeout())
        elif stage is Stage.READING:
            logger.info("response not read", extra={"unsent": self._unsent_bytes})
            self.abort()
        else:
            self.close()

    def give_up(self) -> None:
        """Release what is held for the client, except for a request that is being handled."""
        error = MemoryExhausted()
        stage = self.stage
        metrics.connections_given_up_total.inc({"why": "memory"})
        logger.warning(
            "connection given up",
            extra={"why": str(error), "bytes": self._holding.held_bytes, "stage": stage.name},
        )
        if stage is Stage.BODY:
            self._give_up_body(error)
        elif stage is Stage.READING:
            self.abort()
        elif stage is Stage.HANDLER:
            self._stop_reading()
        else:
            self._fail(error.status, str(error), error.retry_after)
        self._count_memory()

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
        if self._memory is not None:
            self._memory.update(self._holding, 0, 0)
            self._memory = None
        if self._reading is not None:
            self._reading.fail_body(BodyBroken("The caller has gone."))
        # A cancelled task keeps its frames, which hold this connection and the response.
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
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
        self._moved_at = clock.monotonic()
        if self._lingering_since is not None:
            self._lingered_bytes += len(data)
            if self._lingered_bytes > self.limits.linger_bytes:
                self.abort()
                return
        if len(data) <= _MAX_PARSED_BYTES:
            self._parse(data)
        else:
            view = memoryview(data)
            for start in range(0, len(view), _MAX_PARSED_BYTES):
                self._parse(view[start : start + _MAX_PARSED_BYTES])
        self._hold_memory()

    def _parse(self, data):
        if self._has_failed:
            return
        head, reading, heads_begun = self._head, self._reading, self._heads_begun
        try:
            self._parser.feed_data(data)
            if head is not None and self._head is head:
                head.on_received(len(data))
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported: the request is answered as the last one.
            self._has_failed = self._close_after_response = True
        except HeadTooLarge as error:
            self._fail(error.status, str(error))
        except httptools.HttpParserCallbackError as error:
            self._fail_in_callback(error)
        except httptools.HttpParserError as error:
            self._fail(400, f"What came is no request: {error}.")
        if self._reading is not None:
            self._after_parts(len(data))
        elif head is None and reading is None and self._heads_begun == heads_begun:
            self._blank_bytes += len(data)
            if self._blank_bytes > self.limits.head_bytes:
                self._fail(400, "Too much comes before a request.")

    def _after_parts(self, size):
        """Check the limits of the body whose parts are among the `size` bytes received."""
        self._bytes_without_body += size
        if self._bytes_without_body > self.limits.head_bytes + _MAX_READ_BYTES:
            self._fail(400, "Too much comes between two parts of the body.")
            return
        self._reading.on_parts_added()
        self._pause_if_full()

    def _fail_in_callback(self, error):
        cause = error.__context__
        if isinstance(cause, HeadTooLarge):
            self._fail(cause.status, str(cause))
        else:
            self._fail(400, f"What came is no request: {cause or error}.")

    # ---- httptools ----

    def on_message_begin(self):
        """Begin a request."""
        self._head = RequestHead(self.limits.head_bytes)
        self._heads_begun += 1
        self._blank_bytes = 0
        self._bytes_without_body = 0
        self._state_since = self._moved_at

    def on_url(self, part):
        """Keep a part of the target."""
        self._head.add_target(part)

    def on_header(self, name, value):
        """Keep a header; trailers are dropped."""
        if self._head is not None:
            self._head.add_header(name, value)

    def on_headers_complete(self):
        """Begin to answer, or queue the request behind the one that is being answered."""
        head, self._head = self._head, None
        if self._has_failed:
            return  # The parser continues to the end of the data that it was given.
        parser = self._parser
        if parser.should_upgrade() and _has_body(head):
            # The parser treats the bytes after such a head as data of another protocol.
            self._fail(400, "No other protocol is spoken here.")
            return
        is_current = parser.get_http_version() != "1.0"
        request = self._reading = Request(
            self,
            parser.get_method().decode("latin-1"),
            head.target.decode("utf-8", "surrogateescape"),
            tuple(head.headers),
            keep_alive=is_current and parser.should_keep_alive(),
            chunks_allowed=is_current,
        )
        request.head_bytes = _REQUEST_BYTES + head.held_bytes
        if self._answering is None:
            self._start_response(request)
        else:
            self._next.append(request)
            self._pause_if_full()

    def on_body(self, data):
        """Pass a part of the body to its request; there may be one for each byte."""
        self._bytes_without_body = 0
        if self._reading is not None:
            self._reading.add_body_part(data)

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

    def _stage_seconds(self, stage, now):
        """Return the time that counts at a stage."""
        if stage is Stage.LINGERING:
            return now - self._lingering_since
        if stage is Stage.READING:
            unsent = self._transport.get_write_buffer_size()
            if unsent != self._unsent_bytes:
                self._unsent_bytes, self._moved_at = unsent, now
        return now - (self._state_since if stage in _TIMED_STAGES else self._moved_at)

    def _has_unread_bytes(self):
        return not self._is_paused and has_unread_bytes(self._transport)

    def _hold_memory(self):
        """Count what is held, and make the heaviest holders give up if it is too much."""
        self._count_memory()
        if self._memory is not None and self._memory.is_exceeded:
            self._memory.relieve(clock.monotonic())

    def _count_memory(self):
        """Tell the account what the connection holds, and what it can release."""
        if self._memory is None:
            return
        if self._transport.is_closing():
            self._memory.update(self._holding, 0, 0)
            return
        held = sum(request.held_bytes for request in self._next) if self._next else 0
        if self._head is not None:
            held += self._head.held_bytes
        if self._is_paused:
            held += RECEIVE_BUFFER_BYTES
        handled = 0
        if self._answering is not None:
            handled = self._answering.held_bytes
            if self._is_response_written:
                handled = self._response_bytes + self._transport.get_write_buffer_size()
        is_handled = self.stage is Stage.HANDLER
        self._memory.update(self._holding, held + handled, held if is_handled else held + handled)
        self._holding.moved_at = self._moved_at

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
            await self._write_response(request, response)
        elif not request.has_ended:
            request.abort()
        if self._drained is not None:
            await self._until_read(request, 0)
        self._finish(request)

    async def _write_response(self, request, response):
        """Write a whole response; a large one goes in parts, as the client reads them."""
        close, body = not request.keep_alive, response.body
        with_body = request.method != "HEAD" and response.status not in BODILESS
        if len(body) <= _MAX_WRITTEN_BYTES or not with_body:
            self.write(encode_response(response, close, with_body))
            return
        self.write(encode_response(response, close, False))
        for start in range(0, len(body), _MAX_WRITTEN_BYTES):
            # The transport keeps a part that is not sent yet alive, and with it all of its buffer.
            self.write(body[start : start + _MAX_WRITTEN_BYTES])
            if self._drained is not None:
                await self._until_read(request, len(body))

    async def _until_read(self, request, held_bytes):
        """Return once the client has read most of what was written; `held_bytes` is the rest.

        Responses that it does not read would otherwise pile up behind each other.
        """
        request.discard_body()
        self._is_response_written = True
        self._response_bytes = held_bytes
        self._moved_at = clock.monotonic()
        self._hold_memory()
        await self.drained()
        self._is_response_written = False

    def _finish(self, request):
        """Start the next request, or first read the rest of the current request body."""
        if request.is_complete or self._has_failed:
            self._start_next(request)
            return
        request.discard_body()
        self._begin_lingering()
        self._count_memory()
        self.resume_body()

    def _start_next(self, request):
        self._answering = self._task = None
        self._state_since = self._moved_at = clock.monotonic()
        if not request.keep_alive or (self._close_after_response and not self._next):
            self._close_or_linger(request)
        if self._transport.is_closing():
            return
        if self._next and self._lingering_since is None:
            self._start_response(self._next.popleft())
        self._count_memory()
        self.resume_body()

    def _begin_lingering(self):
        self._lingering_since = clock.monotonic()
        self._lingered_bytes = 0

    def _close_or_linger(self, request):
        """Close after the last response; a client that still sends must be able to read it."""
        if self._has_failed and (self._drops_input or not request.is_complete):
            self._begin_lingering()
        else:
            self.close()

    def _give_up_body(self, error):
        """Make the handler refuse the request whose body it waits for."""
        self._answering.keep_alive = False
        self._answering.fail_body(error)
        self._stop_reading()

    def _stop_reading(self):
        """Drop what follows the request that is being answered, and close after its response."""
        self._has_failed = self._close_after_response = self._drops_input = True
        self._reading = self._head = None
        self._next.clear()
        self.resume_body()

    def _fail(self, status, why, retry_after=None):
        """Stop reading; report the error to the client after the pending responses."""
        if self._has_failed:
            return
        self._has_failed = self._close_after_response = True
        self._head = None
        logger.info("request not read", extra={"status": status, "why": why})
        if self._reading is not None:
            self._reading.fail_body(BodyBroken(why))
            self._reading = None
        if self._answering is None:
            headers = [] if retry_after is None else [(b"Retry-After", b"%.2f" % retry_after)]
            response = text_response(status, f"{why}\n", headers)
            self.write(encode_response(response, close=True))
            self._begin_lingering()


def _has_body(head):
    names = {name.lower() for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names
