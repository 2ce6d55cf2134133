"""Connection pool for one target, limited to this gateway's share of its connections."""

import asyncio
from collections.abc import Awaitable, Callable

from traystall.core import clock
from traystall.passthrough.exceptions import ConnectFailed
from traystall.passthrough.exchange.connection import ResponseHead, TargetConnection

# An idle connection is dropped this long before the idle timeout of the target, so that the target
# does not close it while a request is on its way.
_IDLE_MARGIN_SECONDS = 0.6
_DEFAULT_IDLE_SECONDS = 4.0


class ConnectionPool:
    """Pool keep-alive connections to one target.

    `limit` returns how many connections may be open at once. `dial` opens a connection or raises
    ConnectFailed.
    """

    def __init__(
        self,
        address: str,
        limit: Callable[[], int],
        dial: Callable[[], Awaitable[TargetConnection]],
    ):
        self._dial = dial
        self._address = address
        self._limit = limit
        self._idle: list[TargetConnection] = []
        self._open = 0

    def has_free_connection(self) -> bool:
        """Return whether a connection can be acquired now."""
        return bool(self._idle) or self._open < self._limit()

    async def acquire(self, max_idle_seconds: float = float("inf")) -> TargetConnection:
        """Return a connection that was idle for at most `max_idle_seconds`, or a new one."""
        now = clock.monotonic()
        kept = self._take_idle(now, max_idle_seconds)
        if kept is not None:
            return kept
        if self._open >= self._limit():
            raise ConnectFailed(f"All connections to {self._address} are in use.")
        self._open += 1
        try:
            return await self._dial()
        except BaseException:
            self._open -= 1
            raise

    async def probe(self, seconds: float) -> bool:
        """Open a connection and close it; return whether it stays open for `seconds`.

        Raise ConnectFailed if nothing listens at the address. The connection is in addition to
        those that are counted: its caller has just lost one. One that is reset while it is opened
        does not stay open.
        """
        try:
            connection = await self._dial()
        except ConnectFailed as error:
            if error.refused:
                raise
            return False
        try:
            async with asyncio.timeout(seconds):
                await connection.wait_for_data()
            return False
        except TimeoutError:
            return not connection.is_closed
        finally:
            connection.close()

    def release(self, connection: TargetConnection, head: ResponseHead | None) -> None:
        """Return a connection whose response was read completely; close it if not reusable."""
        if head is None or not connection.is_reusable(head):
            self.discard(connection)
            return
        seconds = head.idle_seconds()
        self._keep(
            connection, _DEFAULT_IDLE_SECONDS if seconds is None else seconds - _IDLE_MARGIN_SECONDS
        )

    def return_unused(self, connection: TargetConnection) -> None:
        """Return a connection on which nothing was sent."""
        if connection.is_closed:
            self.discard(connection)
            return
        known = connection.idle_until - clock.monotonic()
        self._keep(connection, min(known, _DEFAULT_IDLE_SECONDS))

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection that can't be reused."""
        self._open -= 1
        connection.close()

    def close_idle(
        self, doubted: Callable[[TargetConnection], bool] = lambda connection: True
    ) -> None:
        """Close the idle connections that are `doubted`; those in use stay open."""
        for connection in [connection for connection in self._idle if doubted(connection)]:
            self._idle.remove(connection)
            self.discard(connection)

    def close(self) -> None:
        """Close the pool."""
        self.close_idle()

    def _keep(self, connection, seconds):
        now = clock.monotonic()
        connection.is_idle = True
        connection.idle_since = now
        connection.idle_until = now + seconds
        self._idle.append(connection)

    def _take_idle(self, now, max_idle_seconds):
        while self._idle:
            connection = self._idle.pop()
            expired = now >= connection.idle_until or now - connection.idle_since > max_idle_seconds
            if connection.is_closed or expired:
                self.discard(connection)
                continue
            return connection
        return None
