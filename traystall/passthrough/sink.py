"""The caller's side of a stream: whole events only, in order, none missing and none twice."""

from aiohttp import web

from traystall.core import clock
from traystall.passthrough import events
from traystall.passthrough.connection import ResponseHead
from traystall.passthrough.exceptions import NoAnswer
from traystall.passthrough.messages import answer_headers
from traystall.passthrough.request import PassRequest


class StreamSink:
    """Pass events on to one caller, from one run or from several that continue it.

    The answer opens with its first event and keeps the head of its first run.
    """

    def __init__(self, request: web.BaseRequest, passed: PassRequest):
        self._request = request
        self._passed = passed
        self._splitter = events.EventSplitter()
        self._head: ResponseHead | None = None
        self.response: web.StreamResponse | None = None
        # What the caller already holds; a continued run begins after it.
        self.last_id: str | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the caller has been sent a part of the answer."""
        return self.response is not None

    @property
    def partial(self) -> bytes:
        """Return what has come of an event that is not whole."""
        return self._splitter.partial

    def begin_part(self, head: ResponseHead) -> None:
        """Begin to take in a run; what an earlier one broke off is forgotten."""
        self._splitter = events.EventSplitter()
        if not self.is_open:
            self._head = head

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the whole events that a chunk completes, without those the caller holds."""
        return [
            event for event in self._splitter.feed(chunk) if events.follows(event, self.last_id)
        ]

    async def write(self, event: bytes) -> None:
        """Pass one event on; raise NoAnswer if one before it is missing."""
        if self.is_open and not events.is_next(event, self.last_id):
            raise NoAnswer("An event is missing.", sent=True)
        await self._open()
        await self.response.write(event)
        self.last_id = events.event_id(event) or self.last_id
        self._passed.note_event(clock.monotonic())

    async def finish(self) -> web.StreamResponse:
        """End a whole stream."""
        await self._open()
        if self.partial:
            await self.response.write(self.partial)
        await self.response.write_eof()
        return self.response

    def abort(self) -> None:
        """Break the connection off: what was sent must not be taken for whole."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _open(self):
        if self.response is None:
            response = web.StreamResponse(
                status=self._head.status, headers=answer_headers(self._head)
            )
            response.enable_chunked_encoding()
            self.response = response
            await response.prepare(self._request)
