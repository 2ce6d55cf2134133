"""Listen for callers and hold their connections."""

import asyncio

from traystall.core import clock
from traystall.http.connection import Bounds, Handler, ServerConnection

_SWEEP_SECONDS = 1.0
_LOOK_SECONDS = 0.02


class HttpServer:
    """Serve HTTP/1.1 at one address; `handler` answers each request."""

    def __init__(self, handler: Handler, bounds: Bounds | None = None):
        self._handler = handler
        self._bounds = bounds or Bounds()
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeping: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Begin to listen at IP:PORT."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_connection, host, int(port))
        self._sweeping = loop.call_later(_SWEEP_SECONDS, self._sweep)

    @property
    def port(self) -> int:
        """Return the port that is listened at."""
        return self._server.sockets[0].getsockname()[1]

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    async def close(self, seconds: float) -> None:
        """Stop; what is being sent may take `seconds` more, then it is broken off."""
        await self.stop_listening()
        if self._sweeping is not None:
            self._sweeping.cancel()
        self.close_idle()
        deadline = clock.monotonic() + seconds
        while self._connections and clock.monotonic() < deadline:
            await asyncio.sleep(_LOOK_SECONDS)
        for connection in list(self._connections):
            connection.abort()

    def _make_connection(self):
        return ServerConnection(self._handler, self._bounds, self._connections)

    def _sweep(self):
        now = clock.monotonic()
        for connection in list(self._connections):
            connection.sweep(now)
        loop = asyncio.get_running_loop()
        self._sweeping = loop.call_later(_SWEEP_SECONDS, self._sweep)
