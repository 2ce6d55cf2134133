"""Listen for clients and manage their connections."""

import asyncio
import logging

from traystall.core import clock, metrics
from traystall.core.sockets import limit_receive_buffer
from traystall.http.connection import Handler, ServerConnection
from traystall.http.crowding import choose_resting
from traystall.http.limits import ConnectionLimits
from traystall.http.overload import TICK_SECONDS, LoadShedder
from traystall.http.resources import RECEIVE_BUFFER_BYTES, ClientResources

_SWEEP_SECONDS = 1.0
_CLOSE_POLL_SECONDS = 0.02
# Turns of the event loop in which it polls the listening socket and accepts connections.
_ACCEPT_TURNS = 2

logger = logging.getLogger(__name__)


class _UnreadConnection(asyncio.Protocol):
    """A connection that is closed before anything is read, so that its caller goes elsewhere."""

    def connection_made(self, transport):
        transport.abort()


class HttpServer:
    """Serve HTTP/1.1 at one address; `handler` answers each request.

    With `sheds_load`, new connections are closed unread while the event loop is overloaded. Reading
    them would delay the requests that were read before until their callers have left.

    `resources` are those of the process, which its servers share. The `is_main` one, for clients of
    which there are many, gets most of the connections.
    """

    def __init__(
        self,
        handler: Handler,
        bounds: ConnectionLimits | None = None,
        sheds_load: bool = False,
        resources: ClientResources | None = None,
        is_main: bool = False,
    ):
        self._handler = handler
        self._limits = bounds or ConnectionLimits()
        self._resources = resources or ClientResources()
        self._max_connections = (
            self._resources.max_client_connections
            if is_main
            else self._resources.max_other_connections
        )
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._shedder = LoadShedder() if sheds_load else None
        self._tick_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Start to listen at IP:PORT."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_connection, host, int(port))
        for sock in self._server.sockets:
            limit_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        self._sweep_timer = loop.call_later(_SWEEP_SECONDS, self._sweep)
        if self._shedder is not None:
            self._tick()

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Replace the limits of what a client may send, for open connections too."""
        if limits == self._limits:
            return
        self._limits = limits
        for connection in self._connections:
            connection.limits = limits

    @property
    def port(self) -> int:
        """Return the port that the server listens at."""
        return self._server.sockets[0].getsockname()[1]

    async def stop_listening(self) -> None:
        """Accept no new connections; open connections stay open."""
        if self._server is None:
            return
        # The kernel resets connections that it has completed and that are not accepted yet.
        for _ in range(_ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.close()

    def close_idle(self, spares_new: bool = False) -> None:
        """Close the connections without a request in progress.

        With `spares_new`, those on which nothing has arrived yet stay open.
        """
        for connection in list(self._connections):
            if connection.is_idle and not (spares_new and connection.is_new):
                connection.close()

    async def until_none_is_new(self, seconds: float) -> None:
        """Return once each connection has received something, or after `seconds`."""
        deadline = clock.monotonic() + seconds
        while clock.monotonic() < deadline:
            if not any(connection.is_new for connection in self._connections):
                return
            await asyncio.sleep(_CLOSE_POLL_SECONDS)

    async def until_responses_are_sent(self, seconds: float) -> None:
        """Return once clients have read all responses up to what the kernel holds.

        Return after `seconds` at the latest.
        """
        deadline = clock.monotonic() + seconds
        while clock.monotonic() < deadline:
            if not any(connection.is_responding for connection in self._connections):
                return
            await asyncio.sleep(_CLOSE_POLL_SECONDS)

    async def close(self, seconds: float) -> None:
        """Stop the server; connections still open after `seconds` are aborted."""
        await self.stop_listening()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self.close_idle()
        deadline = clock.monotonic() + seconds
        while self._connections and clock.monotonic() < deadline:
            await asyncio.sleep(_CLOSE_POLL_SECONDS)
        for connection in list(self._connections):
            connection.abort()

    def _make_connection(self):
        if self._shedder is not None and not self._shedder.admit(clock.monotonic()):
            metrics.connections_shed_total.inc({})
            return _UnreadConnection()
        if len(self._connections) >= self._max_connections and not self._make_room():
            metrics.connections_given_up_total.inc({"why": "refused"})
            return _UnreadConnection()
        return ServerConnection(
            self._handler, self._limits, self._connections, self._resources.memory
        )

    def _make_room(self):
        """Close the connections that have rested longest; return whether there were any."""
        resting = choose_resting(self._connections, self._max_connections)
        for connection in resting:
            metrics.connections_given_up_total.inc({"why": "descriptors"})
            # It counts no more from now on, although it is closed a moment later.
            self._connections.discard(connection)
            connection.abort()
        return bool(resting)

    def _tick(self):
        was_limiting = self._shedder.is_limiting
        self._shedder.on_tick(clock.monotonic())
        if was_limiting != self._shedder.is_limiting:
            state = "limited" if self._shedder.is_limiting else "unlimited"
            logger.warning("new connections are %s", state)
        self._tick_timer = asyncio.get_running_loop().call_later(TICK_SECONDS, self._tick)

    def _sweep(self):
        now = clock.monotonic()
        for connection in list(self._connections):
            connection.sweep(now)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(_SWEEP_SECONDS, self._sweep)
