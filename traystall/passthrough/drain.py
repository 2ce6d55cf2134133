"""Stop a gateway without cutting what it has taken.

Callers go on using open connections until they are closed, so a stop has three
phases. While the balancer has not noticed, requests are served and each answer
asks its caller to leave. Then nothing new is taken: idle connections are
closed, and a request that crosses the close is refused as not run. At the end
whatever has no answer yet gets one of the gateway's own; only a stream that has
begun can still be cut.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

from aiohttp import web

# How long the last answers may take to leave the process, in seconds: chosen, not measured;
# some round trips of the pages' slowest link.
_FLUSH_SECONDS = 0.05


class Phase(StrEnum):
    """Say how far a stop has come."""

    SERVING = "serving"
    NOTICE = "notice"
    CLOSED = "closed"


class Drain:
    """Take one front through the phases of a stop.

    `stop_listening` closes the listening socket; `sleep` waits for some seconds.
    """

    def __init__(
        self,
        front,
        server: web.Server,
        stop_listening: Callable[[], Awaitable[None]],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._front = front
        self._server = server
        self._stop_listening = stop_listening
        self._sleep = sleep

    async def run(self, notice: float, limit: float) -> None:
        """Serve for `notice` seconds more, then finish what is in flight within `limit`."""
        self._front.phase = Phase.NOTICE
        await self._sleep(notice)
        await self._stop_listening()
        self._front.phase = Phase.CLOSED
        self._close_idle()
        await self._front.drain(limit)
        if self._front.end_unanswered():
            await self._sleep(_FLUSH_SECONDS)

    def _close_idle(self):
        """Close the connections that wait for a request; the others close after their answer.

        The server's own `pre_shutdown` ends the task of an idle connection and leaves
        its socket open: a request that came then would wait for ever.
        """
        busy = self._front.busy_connections()
        for connection in self._server.connections:
            if connection not in busy:
                connection.force_close()
