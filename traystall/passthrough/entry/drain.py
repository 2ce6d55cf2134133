"""Graceful shutdown of a gateway.

Callers keep using open connections until these are closed, so a shutdown has three phases:

1. Until the load balancer has noticed the stop, requests are served, and each response closes its
   connection.
2. No new requests are accepted: idle connections are closed, and a request that arrives at the
   same moment is refused as not run. A connection that has just been opened is given the time to
   send its request, so that it is refused and not reset.
3. After a time limit, every request without a response gets a refusal. Only streams that have
   already started and responses that callers still read are cut off.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

from traystall.core import clock
from traystall.http.server import HttpServer

# Time for the last responses to leave the process: some round trips of the slowest supported link.
_FLUSH_SECONDS = 0.05
# Time for the first request on a connection that was opened before the gateway stopped to listen.
_FIRST_REQUEST_SECONDS = 0.25


class Phase(StrEnum):
    """Phase of a graceful shutdown."""

    SERVING = "serving"
    NOTICE = "notice"
    CLOSED = "closed"


class Drain:
    """Run the phases of a graceful shutdown."""

    def __init__(
        self,
        front,
        server: HttpServer,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._front = front
        self._server = server
        self._sleep = sleep

    async def run(self, notice: float, limit: float) -> None:
        """Keep serving for `notice` seconds, then finish requests in flight within `limit`.

        A request is in flight until its caller has read the response.
        """
        self._front.phase = Phase.NOTICE
        await self._sleep(notice)
        await self._server.stop_listening()
        self._front.phase = Phase.CLOSED
        # Busy connections close after their response.
        self._server.close_idle(spares_new=True)
        await self._server.until_none_is_new(_FIRST_REQUEST_SECONDS)
        deadline = clock.monotonic() + limit
        await self._front.drain(limit)
        if self._front.end_unanswered():
            await self._sleep(_FLUSH_SECONDS)
        await self._server.until_responses_are_sent(deadline - clock.monotonic())
