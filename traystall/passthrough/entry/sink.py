"""The caller's side of a stream: whole events only, in order, none missing and none twice."""

from traystall.core import clock
from traystall.http.request import Request
from traystall.passthrough.entry import events
from traystall.passthrough.entry.messages import answer_headers
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.exceptions import NoAnswer
from traystall.passthrough.exchange.connection import ResponseHead


class StreamSink:
    """Pass events on to one caller, from one run or from several that continue it.

    The answer opens with its first event and keeps the head of its first run.
    """

    def __init__(self, request: Request, passed: PassRequest):
        self._request = request
        self._passed = passed
        self._splitter = events.EventSplitter()
        self._head: ResponseHead | None = None
        # What the caller already holds; a continued run begins after it.
        self.last_id: str | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the caller has been sent a part of the answer."""
        return self._request.has_begun

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
        self._open()
        await self._request.write(event)
        self.last_id = events.event_id(event) or self.last_id
        self._passed.note_event(clock.monotonic())

    async def finish(self) -> None:
        """End a whole stream."""
        self._open()
        if self.partial:
            await self._request.write(self.partial)
        self._request.end()

    def abort(self) -> None:
        """Break the connection off: what was sent must not be taken for whole."""
        self._request.abort()

    def _open(self):
        if not self.is_open:
            self._request.begin(self._head.status, answer_headers(self._head))
