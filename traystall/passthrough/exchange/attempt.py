"""One attempt at one target: send, read the head of the right answer, read what follows."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from traystall.core import clock, metrics
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.exceptions import NoAnswer, TargetHeldBack
from traystall.passthrough.exchange.connection import ResponseHead, Sending, TargetConnection
from traystall.passthrough.health.board import TargetView
from traystall.permits.exceptions import PermitDenied
from traystall.permits.permits import Permit

MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Answers of earlier requests that may come in the place where one is due.
_MAX_STRAY_ANSWERS = 2
_MISDIRECTED = 421
_MAX_STRAY_BYTES = 1024 * 1024
# Statuses by which a gateway promises that a request has not run.
PROMISES = (408, 421, 429, 503)


class Answer(msgspec.Struct, frozen=True):
    """Hold a target's whole answer."""

    head: ResponseHead
    body: bytes


class Attempt:
    """Hold one exchange with a target; use as an asynchronous context manager.

    Leaving it gives the connection back if the answer was read whole, and
    closes it otherwise, which makes the target drop the work. With `is_work`
    unset it is about work that the target has had before, which one that leaves still takes.
    """

    def __init__(
        self, view: TargetView, names: HeaderNames, request_id: str | None, is_work: bool = True
    ):
        self.view = view
        self._is_work = is_work
        self._is_first = False
        self.head: ResponseHead | None = None
        self._names = names
        self._request_id = request_id
        self._connection: TargetConnection | None = None
        self._whole = False
        self._permit: Permit | None = None
        self.was_sent = False
        self.sent_at = 0.0

    async def __aenter__(self):
        return self

    async def __aexit__(self, kind, error, traceback):
        connection, self._connection = self._connection, None
        self.view.availability.on_finished(self._is_first)
        if self._permit is not None and not self.was_sent:
            self.view.permits.give_back(self._permit)
        if connection is None:
            return
        if not self.was_sent:
            self.view.connections.give_back(connection)
        elif self._whole and error is None:
            self.view.connections.release(connection, self.head)
        else:
            self.view.connections.discard(connection)

    async def open(self, fresh_within: float, patience: float = 0.0) -> None:
        """Get a connection; raise ConnectFailed if there is none: nothing was sent.

        Raise TargetHeldBack, here and in `send`, if the target has asked not to be sent this, or
        if others have what it takes for the next `patience` seconds.
        """
        self._require_leave("choice")
        if self.view.limit.is_limited:
            await self._take_permit(patience)
        self._is_first = self._is_work and self.view.availability.on_sent()
        self._connection = await self.view.connections.acquire(fresh_within)

    def send(self, data: bytes) -> None:
        """Send the request. From here on it may have run."""
        # Asked again here: a target may ask for rest while a connection to it comes up.
        if self.view.availability.is_backing_off(clock.monotonic()) or (
            self._is_work and self.view.availability.leaves
        ):
            self._hold_back("sending")
        # So may a limit: what all gateways may send together was not asked for then.
        if not self.view.is_covered(self._permit):
            self._hold_back("limit")
        self.sent_at = clock.monotonic()
        self._connection.send(data, Sending(self.sent_at, self._request_id, self._is_work, True))
        self.was_sent = True

    async def _take_permit(self, patience):
        """Take a permit and wait for its moment."""
        view = self.view
        try:
            self._permit = await view.permits.take(
                view.report.life, view.report.data_centre, patience, is_spare=not self._is_work
            )
        except PermitDenied:
            self._hold_back("limit")
        wait = self._permit.valid_from - clock.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)

    def _require_leave(self, where):
        """Raise TargetHeldBack unless what the target asked for allows this one."""
        now = clock.monotonic()
        availability = self.view.availability
        if not (
            availability.may_send_work(now)
            if self._is_work
            else not availability.is_backing_off(now)
        ):
            self._hold_back(where)

    def _hold_back(self, where):
        metrics.held_back_total.inc({"pool": self.view.report.pool, "where": where})
        raise TargetHeldBack(f"{self.view.identity} does not take this now.")

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer to this request; skip answers of earlier ones."""
        for _ in range(_MAX_STRAY_ANSWERS):
            head = await self._connection.head()
            if self._belongs(head):
                self.head = head
                return head
            if self._connection.requests < 2 or head.until_close:
                break
            await self._connection.body(_MAX_STRAY_BYTES)
        raise NoAnswer("The answer belongs to another request.", sent=True)

    async def read_response(self) -> Answer:
        """Return the whole answer."""
        return await self.read_whole_after(await self.read_head())

    async def read_whole_after(self, head: ResponseHead) -> Answer:
        """Return the whole answer whose head was read."""
        body = await self._connection.body(MAX_ANSWER_BYTES)
        self._whole = True
        return Answer(head, body)

    async def chunks(self, longest_pause: float | None = None) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise NoAnswer after a pause of `longest_pause` seconds."""
        while chunk := await self._next_chunk(longest_pause):
            yield chunk
        self._whole = True

    async def _next_chunk(self, longest_pause):
        if longest_pause is None:
            return await self._connection.chunk()
        try:
            return await before(clock.monotonic() + longest_pause, self._connection.chunk())
        except TimeoutError:
            raise NoAnswer("The stream has stalled.", sent=True) from None

    def has_not_run(self) -> bool:
        """Return whether the target says that it has not run the request."""
        head = self.head
        if head is None:
            return False
        return head.status == _MISDIRECTED or head.get(self._names.not_run) is not None

    def _belongs(self, head):
        if self._request_id is None:
            return True
        found = head.get(self._names.request_id)
        if found is None:
            # Refusals may come without it; a success must name its request.
            return not 200 <= head.status < 300
        return found == self._request_id


async def before(deadline: float, awaitable):
    """Return what `awaitable` gives by `deadline` (monotonic seconds); raise TimeoutError."""
    async with asyncio.timeout(max(0.0, deadline - clock.monotonic())):
        return await awaitable
