"""Serve tunnels: connect other gateways, whose path is broken, to targets that this one reaches.

The target sees this gateway as its peer, so what it asks of a peer holds for tunnels too: a target
that is leaving or in a backoff period gets no new request through them.
"""

import asyncio
from enum import StrEnum

import httptools

from traystall.core import clock
from traystall.core.exceptions import RpcRefused
from traystall.core.logs import decision
from traystall.core.peer_timeout import PeerTimeout
from traystall.core.sockets import (
    PEER_CHECK_SECONDS,
    TARGET_UNACKNOWLEDGED_TIMEOUT_MS,
    enable_dead_peer_detection,
    has_peer_closed,
    reset_on_close,
)
from traystall.passthrough.exchange.connection import (
    CONNECT_TIMEOUT_SECONDS,
    TUNNEL_CLOSED_HEADER,
    ResponseHead,
    SentRequest,
    ends_with_connection,
)
from traystall.passthrough.ownership.owners import LEAVING
from traystall.passthrough.tunnels.framing import END_MARK, frame

# Error codes of refused tunnels.
NO_PATH = "no-path"
TARGET_REFUSED = "target-refused"
TARGET_UNAVAILABLE = "target-unavailable"
TUNNELS_FULL = "tunnels-full"
# Each tunnel takes two of the process's file descriptors and two buffers.
MAX_TUNNELS = 512
_CHUNK_BYTES = 64 * 1024
_DRAIN_POLL_SECONDS = 0.02
# A gateway that does not close a tunnel in which requests are refused is waited for this long.
_REFUSAL_SECONDS = 1.0


class TunnelEnd(StrEnum):
    """What ended a tunnel, for logs.

    TARGET_CLOSED: the target closed its connection in order.
    TARGET_LOST: the connection to the target was reset or timed out.
    GATEWAY_CLOSED: the gateway in front closed the tunnel, or is lost.
    REFUSED: this gateway takes no more requests in it.
    STOPPED: this gateway stops.
    NOT_FRAMED: the gateway in front could not tell the end of the response.
    """

    TARGET_CLOSED = "target-closed"
    TARGET_LOST = "target-lost"
    GATEWAY_CLOSED = "gateway-closed"
    REFUSED = "refused"
    STOPPED = "stopped"
    NOT_FRAMED = "not-framed"


class TunnelService:
    """Open tunnels for other gateways, and close them when this gateway stops."""

    def __init__(self, context):
        self._context = context
        self._tunnels: set[Tunnel] = set()
        self._is_draining = False

    async def open(self, request) -> "Tunnel":
        """Return a tunnel to the requested target; raise RpcRefused."""
        if self._is_draining:
            raise RpcRefused(LEAVING, "This gateway is about to stop.")
        if len(self._tunnels) >= MAX_TUNNELS:
            raise RpcRefused(TUNNELS_FULL, f"{MAX_TUNNELS} tunnels are open.")
        view = self._context.board.view(request.target)
        if view is None or view.report.address != request.address:
            raise RpcRefused(TARGET_UNAVAILABLE, f"{request.target} is not known here.")
        if not _accepts_work(view):
            raise RpcRefused(TARGET_UNAVAILABLE, f"{request.target} takes no new requests.")
        # A gateway whose own path is broken must not look for a third one: requests would circle.
        if self._context.dialer.paths.is_broken(request.target):
            raise RpcRefused(NO_PATH, f"{request.target} is not reachable from here.")
        host, _, port = request.address.rpartition(":")
        try:
            async with PeerTimeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError as error:
            raise RpcRefused(TARGET_REFUSED, f"Nothing listens at {request.address}.") from error
        except (OSError, TimeoutError, ValueError) as error:
            raise RpcRefused(NO_PATH, f"{request.target} is not reachable: {error}.") from error
        if self._is_draining:
            writer.transport.abort()
            raise RpcRefused(LEAVING, "This gateway is about to stop.")
        enable_dead_peer_detection(writer.transport, TARGET_UNACKNOWLEDGED_TIMEOUT_MS)
        tunnel = Tunnel(
            self._context,
            view,
            reader,
            writer,
            self._tunnels,
            request.target,
            bool(request.framed),
        )
        self._tunnels.add(tunnel)
        return tunnel

    def close_unwanted(self) -> None:
        """Refuse more requests in the idle tunnels to targets that accept none, and close them."""
        for tunnel in list(self._tunnels):
            if tunnel.is_idle and (self._is_draining or not _accepts_work(tunnel.view)):
                tunnel.refuse()

    async def drain(self, seconds: float) -> None:
        """Open no more tunnels; return when all have closed, or after `seconds`."""
        self._is_draining = True
        deadline = clock.monotonic() + seconds
        while self._tunnels and clock.monotonic() < deadline:
            self.close_unwanted()
            await asyncio.sleep(_DRAIN_POLL_SECONDS)

    def close(self) -> None:
        """Reset every tunnel; responses in them are cut off."""
        for tunnel in list(self._tunnels):
            tunnel.reset()


class Tunnel:
    """Forward bytes between one gateway and one target, and read the heads of the responses.

    The target's notices concern this gateway too, because the target knows no other peer. If the
    tunnel is framed, responses come in frames, which tell an end of the target's connection from
    an end of this process. A gateway of an earlier release in front reads no frames.
    """

    def __init__(
        self,
        context,
        view,
        reader,
        writer,
        tunnels: set["Tunnel"],
        target: str = "",
        is_framed: bool = False,
    ):
        self.view = view
        self.is_framed = is_framed
        self.is_closed = False
        # Whether the last request has its complete response.
        self.is_idle = True
        # What the board and the notices ask of a connection to a target.
        self.sent_request = SentRequest(is_work=False, is_covered=True)
        self._context = context
        self._target = target
        self._reader = reader
        self._writer = writer
        self._tunnels = tunnels
        self._gateway_writer: asyncio.StreamWriter | None = None
        self._has_head = True
        self._is_refusing = False
        self._has_untold_end = False
        self._ended_by = TunnelEnd.STOPPED
        self._headers: list[tuple[bytes, bytes]] = []
        self._parser: httptools.HttpResponseParser | None = None

    async def forward(
        self, gateway_reader: asyncio.StreamReader, gateway_writer: asyncio.StreamWriter
    ) -> None:
        """Forward in both directions until one side closes."""
        self._gateway_writer = gateway_writer
        if self._is_refusing:
            self._write_refusal()
        requests = asyncio.create_task(self._forward_requests(gateway_reader))
        responses = asyncio.create_task(self._forward_responses())
        try:
            await asyncio.wait({requests, responses}, return_when=asyncio.FIRST_COMPLETED)
            if requests.done() and not responses.done():
                self._ended_by = TunnelEnd.GATEWAY_CLOSED
        finally:
            for task in (requests, responses):
                task.cancel()
            await asyncio.gather(requests, responses, return_exceptions=True)

    def refuse(self) -> None:
        """Refuse the next request, which may be on its way, and close when the gateway has closed.

        Closed at once, the connection would be reset if a request arrives, which may then have run.
        """
        if self._is_refusing:
            return
        self._is_refusing = True
        self._ended_by = TunnelEnd.REFUSED
        if self._gateway_writer is not None:
            self._write_refusal()
        asyncio.get_running_loop().call_later(_REFUSAL_SECONDS, self.close)

    def close(self) -> None:
        """Close both connections; the target stops work that is in progress."""
        if self.is_closed:
            return
        self.is_closed = True
        # `idle` is false if a response was cut off.
        decision("tunnel-closed", target=self._target, ended_by=self._ended_by, idle=self.is_idle)
        self._tunnels.discard(self)
        self._writer.transport.abort()
        if self._gateway_writer is not None:
            self._gateway_writer.close()

    def reset(self) -> None:
        """Close both connections, the gateway's with a reset."""
        if not self.is_closed and self._gateway_writer is not None:
            transport = self._gateway_writer.transport
            reset_on_close(transport)
            transport.abort()
        self.close()

    async def _forward_requests(self, reader):
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.is_idle and not _accepts_work(self.view):
                    self.refuse()
                if self._is_refusing:
                    continue
                if self.is_idle:
                    self._start_request()
                self._writer.write(data)
                await self._drain_requests()
        except OSError:
            return  # The gateway has reset the tunnel; closing it stops the target's work.

    async def _drain_requests(self):
        """Return once the target has room for more; raise OSError if the gateway has gone."""
        drained = asyncio.ensure_future(self._writer.drain())
        try:
            while not (await asyncio.wait({drained}, timeout=PEER_CHECK_SECONDS))[0]:
                if has_peer_closed(self._gateway_writer.transport):
                    raise ConnectionResetError("The gateway has closed the tunnel.")
            drained.result()
        finally:
            drained.cancel()

    def _start_request(self):
        """Prepare for the response to a request that begins."""
        self._has_head = False
        self.is_idle = False
        self.sent_request = SentRequest(clock.monotonic(), None, False, True)
        self._parser = httptools.HttpResponseParser(self)

    def _write_refusal(self):
        """Write a response to a request of which the target gets nothing."""
        lines = [
            "HTTP/1.1 503 Unavailable",
            f"{TUNNEL_CLOSED_HEADER}: 1",
            # Understood by gateways of earlier releases.
            f"{self._context.names.not_run}: 1",
            "Content-Length: 0",
            "Connection: close",
        ]
        self._write_response("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def _forward_responses(self):
        try:
            while data := await self._reader.read(_CHUNK_BYTES):
                self._parse(data)
                if self._has_untold_end and not self.is_framed:
                    self._ended_by = TunnelEnd.NOT_FRAMED
                    self.reset()
                    return
                self._write_response(data)
                await self._gateway_writer.drain()
            if self.is_closed:
                return
            self._ended_by = TunnelEnd.TARGET_CLOSED
            if self.is_framed:
                self._gateway_writer.write(END_MARK)
        except OSError:
            self._ended_by = TunnelEnd.TARGET_LOST
            self.reset()

    def _write_response(self, data):
        self._gateway_writer.write(frame(data) if self.is_framed else data)

    def _parse(self, data):
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # The gateway at the other end judges the bytes; here only notices are read.
            self._parser = None

    # ---- httptools callbacks ----

    def on_message_begin(self):
        """Reset the header list for a new response."""
        self._headers = []

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Process the notices in a response head; interim responses (1xx) are skipped."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._has_head = True
        self._has_untold_end = ends_with_connection(status, self._headers)
        head = ResponseHead(status, self._headers)
        self._context.notices.on_response_head(self.view, self, head)

    def on_message_complete(self):
        """Record the end of a response."""
        self.is_idle = self._has_head


def _accepts_work(view) -> bool:
    availability = view.availability
    return view.is_ready and not availability.is_backing_off(clock.monotonic())
