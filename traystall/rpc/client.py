"""Client side of a link, the connection between two processes.

A link multiplexes calls and one-way messages, and reconnects on the next use.
"""

import asyncio
import itertools
import logging

from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcRefused, RpcTimeout, RpcUnavailable
from traystall.core.peer_timeout import PeerTimeout
from traystall.core.sockets import enable_dead_peer_detection
from traystall.rpc import traffic
from traystall.rpc.framing import make_hello, read_sized_frame, write_frame
from traystall.rpc.gen.wire.ttypes import Frame, Method
from traystall.rpc.messages import METHOD_OF_REQUEST, REPLY_TYPES, decode, encode

_CONNECT_TIMEOUT_SECONDS = 0.5
_MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Minimum interval between two log lines of one link about late replies.
_LATE_LOG_INTERVAL_SECONDS = 1.0

logger = logging.getLogger(__name__)


class LinkIdentity:
    """Identify this process to the peer when it opens a link."""

    def __init__(self, cluster: str, role: str, sender: str, secret: str = ""):
        self.cluster = cluster
        self.role = role
        self.sender = sender
        self.secret = secret

    def hello(self):
        """Return a new signed `Hello` message."""
        return make_hello(self.cluster, self.role, self.sender, self.secret)


class Link:
    """Call one peer. A broken link fails its pending calls; the next call reconnects."""

    def __init__(self, address: str, identity: LinkIdentity):
        self.address = address
        self._identity = identity
        self._call_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reader_task: asyncio.Task | None = None
        self._connecting = asyncio.Lock()
        self._late_logged_at = float("-inf")
        # When the last reply arrived, in monotonic seconds.
        self.last_received_at = float("-inf")

    async def call(self, request, timeout: float):
        """Return the peer's reply to `request`; raise an RpcError if there is none."""
        with traffic.CountedCall(METHOD_OF_REQUEST[type(request)]):
            try:
                async with PeerTimeout(timeout):
                    return await self._exchange(request)
            except TimeoutError as error:
                raise RpcTimeout(f"No reply from {self.address} within {timeout:.2f} s.") from error

    async def send(self, message) -> None:
        """Send a one-way message; drop it silently if the write buffer is over its limit."""
        await self._ensure_open()
        method = METHOD_OF_REQUEST[type(message)]
        frame = Frame(call_id=0, method=method, reply=False, body=encode(message))
        self._write(frame, droppable=True)

    async def close(self) -> None:
        """Close the link; pending calls fail."""
        if self._reader_task is not None:
            self._reader_task.cancel()
        self._drop(RpcUnavailable(f"The link to {self.address} was closed."))

    async def _exchange(self, request):
        await self._ensure_open()
        method = METHOD_OF_REQUEST[type(request)]
        call_id = next(self._call_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending[call_id] = future
        try:
            frame = Frame(call_id=call_id, method=method, reply=False, body=encode(request))
            self._write(frame)
            reply = await future
        finally:
            self._pending.pop(call_id, None)
            if future.done() and not future.cancelled():
                # If the caller is cancelled, or if its own frame broke the link, nobody awaits
                # the future. Reading its exception keeps the loop from reporting it as lost.
                future.exception()
        if reply.error:
            raise RpcRefused(reply.error, reply.detail or "")
        return decode(REPLY_TYPES[method], reply.body)

    def _write(self, frame, droppable=False):
        """Queue a frame; drop a droppable one if the write buffer is over its limit."""
        try:
            if droppable and self._writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
                return
            write_frame(self._writer, frame)
        except (RuntimeError, AttributeError, OSError) as error:
            # The event loop has closed the transport, but the reader has not yet noticed.
            unavailable = RpcUnavailable(f"The link to {self.address} broke.")
            self._drop(unavailable)
            raise unavailable from error

    async def _ensure_open(self):
        if self._writer is not None:
            return
        async with self._connecting:
            if self._writer is None:
                await self._open()

    async def _open(self):
        host, _, port = self.address.rpartition(":")
        try:
            async with PeerTimeout(_CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                hello = Frame(
                    call_id=0,
                    method=Method.HELLO,
                    reply=False,
                    body=encode(self._identity.hello()),
                )
                enable_dead_peer_detection(writer.transport)
                write_frame(writer, hello)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # ValueError and OverflowError: a peer reported an invalid address.
            raise RpcUnavailable(f"{self.address} cannot be reached: {error}.") from error
        self._writer = writer
        traffic.watch_opened(writer)
        self._reader_task = asyncio.create_task(self._read_replies(reader))

    async def _read_replies(self, reader):
        error = RpcUnavailable(f"The link to {self.address} broke.")
        try:
            while True:
                frame, size = await read_sized_frame(reader)
                self.last_received_at = clock.monotonic()
                if frame.method == Method.HELLO:
                    error = RpcRefused("refused-link", frame.detail or "")
                    logger.error("link refused", extra={"peer": self.address, "why": frame.detail})
                    return
                future = self._pending.get(frame.call_id)
                if future is not None and not future.done():
                    future.set_result(frame)
                else:
                    self._record_late_reply(frame, size)
        except (OSError, asyncio.IncompleteReadError, RpcError):
            pass
        finally:
            self._drop(error)

    def _record_late_reply(self, frame, size):
        """Count a reply of `size` bytes whose caller has given up; log at a limited rate."""
        traffic.count_late(frame.method, size)
        now = clock.monotonic()
        if now - self._late_logged_at < _LATE_LOG_INTERVAL_SECONDS:
            return
        self._late_logged_at = now
        kind = traffic.kind_of(frame.method)
        logger.info("late reply", extra={"method": kind, "peer": self.address, "bytes": size})

    def _drop(self, error):
        if self._writer is not None:
            traffic.unwatch(self._writer)
            self._writer.close()
            self._writer = None
        for future in self._pending.values():
            if not future.done():
                future.set_exception(error)
        self._pending.clear()


class LinkPool:
    """Keep one link for each peer address."""

    def __init__(self, identity: LinkIdentity):
        self._identity = identity
        self._links: dict[str, Link] = {}

    def link(self, address: str) -> Link:
        """Return the link to `address`; create it on first use."""
        found = self._links.get(address)
        if found is None:
            found = self._links[address] = Link(address, self._identity)
        return found

    async def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            await link.close()
