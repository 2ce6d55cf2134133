"""Write a stream to a caller: complete events in order, without gaps or duplicates."""

from traystall.core import clock
from traystall.http.request import Request
from traystall.passthrough.entry import events
from traystall.passthrough.entry.messages import response_headers
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.exceptions import NoAnswer
from traystall.passthrough.exchange.connection import ResponseHead


class StreamSink:
    """Forward events to one caller, from one run or from several that resume each other.

    The response starts with the first event and has the status and headers of the first run.
    """

    def __init__(self, request: Request, passed: PassRequest):
        self._request = request
        self._passed = passed
        self._splitter = events.EventSplitter()
        self._head: ResponseHead | None = None
        # Id of the last event sent to the caller; a resumed run starts after it.
        self.last_id: str | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a part of the response was sent to the caller."""
        return self._request.has_started_response

    @property
    def partial(self) -> bytes:
        """Return the received bytes of an incomplete event."""
        return self._splitter.partial

    def start_run(self, head: ResponseHead) -> None:
        """Start to read a run; an incomplete event of an earlier run is discarded."""
        self._splitter = events.EventSplitter()
        if not self.is_open:
            self._head = head

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, without those the caller already has."""
        return [
            event for event in self._splitter.feed(chunk) if events.follows(event, self.last_id)
        ]

    async def write(self, event: bytes) -> None:
        """Forward one event; raise NoAnswer if an event before it is missing."""
        if self.is_open and not events.is_next(event, self.last_id):
            raise NoAnswer("An event is missing.", sent=True)
        self._open()
        await self._request.write(event)
        self.last_id = events.event_id(event) or self.last_id
        self._passed.record_event(clock.monotonic())

    async def finish(self) -> None:
        """End a complete stream."""
        self._open()
        if self.partial:
            await self._request.write(self.partial)
        self._request.end()

    def abort(self) -> None:
        """Abort the connection, so that the caller can tell the response is incomplete."""
        self._request.abort()

    def _open(self):
        if not self.is_open:
            self._request.begin(self._head.status, response_headers(self._head))
