"""Kept connections to one target, within this gateway's part of what the target accepts."""

from collections.abc import Callable

from traystall.core import clock
from traystall.passthrough.exceptions import ConnectFailed
from traystall.passthrough.exchange.connection import (
    ConnectionWatch,
    ResponseHead,
    TargetConnection,
    connect,
)

# A kept connection is left this long, in seconds, before the target would close it.
_MARGIN_SECONDS = 0.6
_DEFAULT_IDLE_SECONDS = 4.0
CONNECT_TIMEOUT = 0.25


class ConnectionPool:
    """Lend connections to one target and take them back.

    `limit` returns how many may be open at once, `watch` is told what passes.
    """

    def __init__(
        self,
        address: str,
        limit: Callable[[], int],
        watch: ConnectionWatch = ConnectionWatch(),  # noqa: B008 - it is frozen.
    ):
        self._watch = watch
        self._address = address
        self._limit = limit
        self._idle: list[TargetConnection] = []
        self._open = 0

    def has_free_connection(self) -> bool:
        """Return whether a connection can be had now."""
        return bool(self._idle) or self._open < self._limit()

    async def acquire(self, fresh_within: float = float("inf")) -> TargetConnection:
        """Return a kept connection that rested less than `fresh_within` seconds, or a new one."""
        now = clock.monotonic()
        kept = self._take_idle(now, fresh_within)
        if kept is not None:
            return kept
        if self._open >= self._limit():
            raise ConnectFailed(f"All connections to {self._address} are in use.")
        self._open += 1
        try:
            return await connect(self._address, CONNECT_TIMEOUT, self._watch)
        except BaseException:
            self._open -= 1
            raise

    def release(self, connection: TargetConnection, head: ResponseHead | None) -> None:
        """Keep a connection whose answer with `head` was read whole, or close it."""
        if head is None or not connection.is_reusable(head):
            self.discard(connection)
            return
        seconds = head.idle_seconds()
        self._keep(
            connection, _DEFAULT_IDLE_SECONDS if seconds is None else seconds - _MARGIN_SECONDS
        )

    def give_back(self, connection: TargetConnection) -> None:
        """Keep a connection on which nothing was sent after all."""
        if connection.is_closed:
            self.discard(connection)
            return
        known = connection.idle_until - clock.monotonic()
        self._keep(connection, min(known, _DEFAULT_IDLE_SECONDS))

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection that can't be used again."""
        self._open -= 1
        connection.close()

    def close_idle(self) -> None:
        """Close the kept connections; those in use go on."""
        while self._idle:
            self.discard(self._idle.pop())

    def close(self) -> None:
        """Close what is kept."""
        self.close_idle()

    def _keep(self, connection, seconds):
        now = clock.monotonic()
        connection.is_idle = True
        connection.idle_since = now
        connection.idle_until = now + seconds
        self._idle.append(connection)

    def _take_idle(self, now, fresh_within):
        while self._idle:
            connection = self._idle.pop()
            expired = now >= connection.idle_until or now - connection.idle_since > fresh_within
            if connection.is_closed or expired:
                self.discard(connection)
                continue
            return connection
        return None
