"""One request of a caller, its body as it comes, and the answer that is written to it."""

import asyncio
from collections import deque
from typing import Protocol

from traystall.http import messages
from traystall.http.exceptions import BodyBroken, BodyTooLarge
from traystall.http.messages import Header


class Connection(Protocol):
    """What a request needs of the connection on which it came."""

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""

    async def drained(self) -> None:
        """Return once the caller has taken enough of what was sent."""

    def abort(self) -> None:
        """Break the connection off."""

    def wants_body(self) -> None:
        """Read on: what had come of the body was taken."""


class Request:
    """Hold one request; `target` is the path and query exactly as they came."""

    def __init__(
        self,
        connection: Connection,
        method: str,
        target: str,
        headers: tuple[Header, ...],
        *,
        keep_alive: bool = True,
        chunks_allowed: bool = True,
    ):
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        # Whether the connection stays open after the answer; may be taken back until it ends.
        self.keep_alive = keep_alive
        self._chunks_allowed = chunks_allowed
        self._parts: deque[bytes] = deque()
        self._waiter: asyncio.Future | None = None
        self._error: BodyBroken | None = None
        # Whether the whole body has come.
        self.is_whole = False
        # Whether what comes of the body is of no use any more.
        self.is_discarded = False
        # Whether an answer has begun to be written in parts.
        self.has_begun = False
        self.has_ended = False

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def waiting_bytes(self) -> int:
        """Return how much of the body waits for its reader."""
        return sum(map(len, self._parts))

    def get(self, name: str, default: str = "") -> str:
        """Return the first header called `name`, in any case."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return default

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise BodyTooLarge over `limit` bytes, BodyBroken if it breaks."""
        if self.get("Expect").lower() == "100-continue" and not self.is_whole:
            self.connection.write(messages.CONTINUE)
        parts = []
        size = 0
        while part := await self._next_part():
            parts.append(part)
            size += len(part)
            if size > limit:
                raise BodyTooLarge(f"The body is over {limit} bytes.")
        return b"".join(parts)

    # ---- an answer in parts ----

    def begin(self, status: int, headers: list[Header]) -> None:
        """Begin an answer whose length is not known yet."""
        self.has_begun = True
        framing = []
        if self._chunks_allowed:
            framing = [(b"Transfer-Encoding", b"chunked")]
        else:
            self.keep_alive = False
        self.connection.write(messages.encode_head(status, headers, framing, not self.keep_alive))

    async def write(self, data: bytes) -> None:
        """Send a part of the body; return once the caller keeps up."""
        self.connection.write(messages.encode_chunk(data) if self._chunks_allowed else data)
        await self.connection.drained()

    def end(self) -> None:
        """End the body."""
        self.has_ended = True
        if self._chunks_allowed:
            self.connection.write(messages.LAST_CHUNK)

    def abort(self) -> None:
        """Break the connection off: what was sent must not be taken for whole."""
        self.connection.abort()

    # ---- what the connection calls ----

    def add_part(self, data: bytes) -> None:
        """Take in a part of the body."""
        if not self.is_discarded:
            self._parts.append(data)
            self._wake()

    def end_body(self) -> None:
        """Note that the whole body has come."""
        self.is_whole = True
        self._wake()

    def fail_body(self, why: str) -> None:
        """Note that the rest of the body won't come."""
        self._error = BodyBroken(why)
        self._wake()

    def discard_body(self) -> None:
        """Drop what has come of the body and what still comes."""
        self.is_discarded = True
        self._parts.clear()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next_part(self):
        while not self._parts:
            if self.is_whole:
                return b""
            if self._error is not None:
                raise self._error
            self.connection.wants_body()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._parts.popleft()
