"""One request of a client: its body as a stream, and the streamed response."""

import asyncio
from typing import Protocol

from traystall.http import messages
from traystall.http.exceptions import BodyTooLarge, HttpError
from traystall.http.messages import Header

# Copies of a body while its request is handled: the handler's, and one on its way to a target.
_HANDLED_COPIES = 2


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
        # Memory of the head.
        self.head_bytes = 0
        # One buffer: parts kept one by one cost several times their bytes when they are small.
        self._body = bytearray()
        # Size of the body that `read` has returned.
        self._taken_bytes = 0
        self._waiter: asyncio.Future | None = None
        # What the reader that waits for the whole body accepts; None without a reader.
        self._reader_limit: int | None = None
        self._error: HttpError | None = None
        # Whether the whole body has been received.
        self.is_complete = False
        # Whether further parts of the body are dropped.
        self.discards_body = False
        # Whether a streamed response has started, and whether it has a body.
        self.has_started_response = False
        self._response_has_body = True
        self.has_ended = False

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def unread_bytes(self) -> int:
        """Return the size of the received part of the body that nobody reads yet."""
        return len(self._body) if self._reader_limit is None else 0

    @property
    def held_bytes(self) -> int:
        """Return the memory of the request, until it is answered."""
        return self.head_bytes + len(self._body) + self._taken_bytes * _HANDLED_COPIES

    def get(self, name: str, default: str = "") -> str:
        """Return the first header called `name`, in any case."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return default

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise BodyTooLarge over `limit` bytes, or why it did not come."""
        if self.announced_bytes > limit:
            raise BodyTooLarge(f"The body is over {limit} bytes.")
        if self.get("Expect").lower() == "100-continue" and not self.is_complete:
            self.connection.write(messages.CONTINUE)
        self._reader_limit = limit
        self.connection.resume_body()
        while not self._may_return():
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        if self._error is not None:
            raise self._error
        if len(self._body) > limit:
            raise BodyTooLarge(f"The body is over {limit} bytes.")
        body = bytes(self._body)
        self._body = bytearray()
        self._taken_bytes = len(body)
        return body

    @property
    def announced_bytes(self) -> int:
        """Return the length that the head announces, or 0."""
        return int(self.get("Content-Length", "0") or 0)

    # ---- an answer in parts ----

    def begin(self, status: int, headers: list[Header]) -> None:
        """Start a streamed response, whose length is not known yet."""
        self.has_started_response = True
        self._response_has_body = self.method != "HEAD" and status not in messages.BODILESS
        framing = []
        if self._chunks_allowed and status not in messages.BODILESS:
            framing = [(b"Transfer-Encoding", b"chunked")]
        elif self._response_has_body:
            self.keep_alive = False
        self.connection.write(messages.encode_head(status, headers, framing, not self.keep_alive))

    async def write(self, data: bytes) -> None:
        """Send a part of the body; return once the write buffer has drained.

        A response that has no body by definition is sent without it.
        """
        if not self._response_has_body:
            return
        self.connection.write(messages.encode_chunk(data) if self._chunks_allowed else data)
        await self.connection.drained()

    def end(self) -> None:
        """End the body."""
        self.has_ended = True
        if self._chunks_allowed and self._response_has_body:
            self.connection.write(messages.LAST_CHUNK)

    def abort(self) -> None:
        """Close the connection immediately, so that the response is not taken as complete."""
        self.connection.abort()

    # ---- what the connection calls ----

    def add_body_part(self, data: bytes) -> None:
        """Add a received part of the body; `on_parts_added` follows the last of several."""
        if not self.discards_body:
            self._body += data

    def on_parts_added(self) -> None:
        """Let the reader of the body go on if there is enough."""
        if self._waiter is not None and self._may_return():
            self._wake()

    def end_body(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._wake()

    def fail_body(self, error: HttpError) -> None:
        """Make the reader of the body fail with `error`, and drop what was received of it."""
        if self._error is None:
            self._error = error
        self.discard_body()
        self._wake()

    def discard_body(self) -> None:
        """Drop the received and all further parts of the body."""
        self.discards_body = True
        self._body = bytearray()

    def _may_return(self):
        if self.is_complete or self._error is not None:
            return True
        return len(self._body) > self._reader_limit

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
