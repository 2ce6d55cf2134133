"""One request of a client: its body as a stream, and the streamed response."""

import asyncio
from collections import deque
from typing import Protocol

from traystall.http import messages
from traystall.http.exceptions import BodyBroken, BodyTooLarge
from traystall.http.messages import Header


class Connection(Protocol):
    """The interface of a connection that a request uses."""

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""

    async def drained(self) -> None:
        """Return once the write buffer is below its high-water mark."""

    def abort(self) -> None:
        """Close the connection immediately, without sending buffered data."""

    def resume_body(self) -> None:
        """Resume reading after the received part of the body was consumed."""


class Request:
    """Hold one request; `target` is the path and query exactly as received."""

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
        # Whether the connection stays open after the response; may be cleared until its end.
        self.keep_alive = keep_alive
        self._chunks_allowed = chunks_allowed
        self._parts: deque[bytes] = deque()
        self._waiter: asyncio.Future | None = None
        self._error: BodyBroken | None = None
        # Whether the whole body has been received.
        self.is_complete = False
        # Whether further parts of the body are dropped.
        self.discards_body = False
        # Whether a streamed response has started.
        self.has_started_response = False
        self.has_ended = False

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def unread_bytes(self) -> int:
        """Return the size of the received body parts that are not read yet."""
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
        if self.get("Expect").lower() == "100-continue" and not self.is_complete:
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
        """Start a streamed response, whose length is not known yet."""
        self.has_started_response = True
        framing = []
        if self._chunks_allowed:
            framing = [(b"Transfer-Encoding", b"chunked")]
        else:
            self.keep_alive = False
        self.connection.write(messages.encode_head(status, headers, framing, not self.keep_alive))

    async def write(self, data: bytes) -> None:
        """Send a part of the body; return once the write buffer has drained."""
        self.connection.write(messages.encode_chunk(data) if self._chunks_allowed else data)
        await self.connection.drained()

    def end(self) -> None:
        """End the body."""
        self.has_ended = True
        if self._chunks_allowed:
            self.connection.write(messages.LAST_CHUNK)

    def abort(self) -> None:
        """Close the connection immediately, so that the response is not taken as complete."""
        self.connection.abort()

    # ---- what the connection calls ----

    def add_body_part(self, data: bytes) -> None:
        """Queue a received part of the body."""
        if not self.discards_body:
            self._parts.append(data)
            self._wake()

    def end_body(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._wake()

    def fail_body(self, why: str) -> None:
        """Make further reads of the body fail with `why`."""
        self._error = BodyBroken(why)
        self._wake()

    def discard_body(self) -> None:
        """Drop the received and all further parts of the body."""
        self.discards_body = True
        self._parts.clear()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next_part(self):
        while not self._parts:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        self.connection.resume_body()
        return part
