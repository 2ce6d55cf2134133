"""One attempt at one target: send the request, match the response to it, and read the body."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec

from traystall.core import clock, metrics
from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.exceptions import NoAnswer, TargetHeldBack
from traystall.passthrough.exchange.answer_room import AnswerRoom
from traystall.passthrough.exchange.connection import (
    ResponseEnd,
    ResponseHead,
    SentRequest,
    TargetConnection,
)
from traystall.passthrough.health.board import TargetView
from traystall.permits.exceptions import PermitDenied
from traystall.permits.leases import Lease
from traystall.permits.permits import Permit

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# The same for responses to calls of this gateway: handles of results, and health pages.
MAX_OWN_RESPONSE_BYTES = 1024 * 1024
# Late responses to earlier requests on the same connection are skipped up to this count and, each,
# to `_MAX_STRAY_BYTES`.
_MAX_STRAY_RESPONSES = 2
_MISDIRECTED = 421
# Longest exchange with a target if the caller names no time.
_LONGEST_EXCHANGE_SECONDS = 10.0
_MAX_STRAY_BYTES = 1024 * 1024
Wait = Callable[[], Awaitable[None]]
# Statuses with which a gateway guarantees that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class TargetResponse(msgspec.Struct, frozen=True):
    """Hold the complete response of a target."""

    head: ResponseHead
    body: bytes


class Attempt:
    """Exchange one request and its response with a target, as an asynchronous context manager.

    On exit the connection returns to the pool if the response was read completely. Otherwise it
    is closed, and the target cancels the work. `is_work` is false for requests about earlier work,
    such as releasing results; a target that is shutting down still accepts these. `is_own_call` is
    true for calls with an id of this gateway's, which some targets don't send back.
    """

    def __init__(
        self,
        view: TargetView,
        names: HeaderNames,
        request_id: str | None,
        is_work: bool = True,
        is_own_call: bool = False,
    ):
        self.view = view
        self._is_work = is_work
        self._is_own_call = is_own_call
        self._is_first_after_backoff = False
        self.head: ResponseHead | None = None
        self._names = names
        self._request_id = request_id
        self._connection: TargetConnection | None = None
        self._is_complete = False
        self._permit: Permit | None = None
        self._lease: Lease | None = None
        self.was_sent = False
        # Whether the target, or most of its pool, was silent while this attempt waited for data.
        self.was_silent = False
        self.sent_at = 0.0
        # What ended the response, and the gateway that tunnelled it; for logs, set on exit.
        self.ended_by: ResponseEnd | None = None
        self.via = ""

    async def __aenter__(self):
        return self

    async def __aexit__(self, kind, error, traceback):
        connection, self._connection = self._connection, None
        self.view.availability.on_finished(self._is_first_after_backoff)
        if self._permit is not None and not self.was_sent:
            self.view.permits.give_back(self._permit)
        if self._lease is not None:
            self.view.leases.give_back(self._lease)
        if connection is None:
            return
        self._record_end(connection)
        if not self.was_sent:
            self.view.connections.return_unused(connection)
        elif self._is_complete and error is None:
            self.view.connections.release(connection, self.head)
        else:
            self.view.connections.discard(connection)

    def _record_end(self, connection):
        """Record how the response came and what ended it."""
        if not self.was_sent:
            return
        self.via, self.ended_by = connection.via, connection.ended_by
        path = "tunnel" if connection.via else "direct"
        metrics.responses_total.inc({"path": path, "ended_by": connection.ended_by.value})

    @property
    def is_open(self) -> bool:
        """Return whether it has a connection."""
        return self._connection is not None

    async def open(
        self,
        max_idle_seconds: float,
        patience: float = 0.0,
        longest_seconds: float = _LONGEST_EXCHANGE_SECONDS,
    ) -> None:
        """Acquire a connection; raise ConnectFailed if there is none. Nothing is sent here.

        A kept connection is used only if it was idle for at most `max_idle_seconds`. Raise
        TargetHeldBack, here and in `send`, if the target does not accept this request now, or if
        its rate limit leaves no permit within the next `patience` seconds. The exchange takes at
        most `longest_seconds`; a brittle target's place is leased for that time.
        """
        self._require_availability("choice")
        if self.view.limit.is_limited:
            await self._take_permit(patience)
        if self._is_work and self.view.brittle.is_limited:
            await self._take_lease(longest_seconds)
        self._is_first_after_backoff = self._is_work and self.view.availability.on_sent()
        self._connection = await self.view.connections.acquire(max_idle_seconds)

    def send(self, data: bytes) -> None:
        """Send the request; from this call on, the target may have run it."""
        # The target may have asked for a backoff while the connection was being established.
        if self.view.availability.is_backing_off(clock.monotonic()) or (
            self._is_work and self.view.availability.leaves
        ):
            self._raise_held_back("sending")
        # The target may also have announced a rate limit in that time; no permit was taken then.
        if not self.view.is_covered(self._permit):
            self._raise_held_back("limit")
        self.sent_at = clock.monotonic()
        self._connection.send(
            data, SentRequest(self.sent_at, self._request_id, self._is_work, True)
        )
        self.was_sent = True

    async def _take_permit(self, patience):
        """Take a permit to send within the target's rate limit, and wait until it is valid."""
        view = self.view
        try:
            self._permit = await view.permits.take(
                view.report.life, view.report.data_centre, patience, is_spare=not self._is_work
            )
        except PermitDenied:
            self._raise_held_back("limit")
        wait = self._permit.valid_from - clock.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)

    async def _take_lease(self, seconds):
        """Lease a place at a brittle target, which would end if it had to reject requests."""
        report = self.view.report
        try:
            self._lease = await self.view.leases.take(
                report.life, report.data_centre, max(1, report.slots), seconds
            )
        except PermitDenied:
            self._raise_held_back("brittle")

    def _require_availability(self, where):
        """Raise TargetHeldBack unless the target accepts this request now."""
        now = clock.monotonic()
        availability = self.view.availability
        if not (
            availability.may_send_work(now)
            if self._is_work
            else not availability.is_backing_off(now)
        ):
            self._raise_held_back(where)

    def _raise_held_back(self, where):
        metrics.held_back_total.inc({"pool": self.view.report.pool, "where": where})
        raise TargetHeldBack(f"{self.view.identity} does not take this now.")

    async def read_head(self, wait: Wait | None = None) -> ResponseHead:
        """Return the head of the response to this request; skip responses to earlier ones.

        `wait()` returns once there is data to read; without it the wait is not limited.
        """
        for _ in range(_MAX_STRAY_RESPONSES):
            if wait is not None:
                await wait()
            head = await self._connection.head()
            if self._matches_request(head):
                self.head = head
                return head
            if self._connection.requests < 2 or head.until_close:
                break
            await self._connection.body(_MAX_STRAY_BYTES)
        raise NoAnswer("The answer belongs to another request.", sent=True)

    async def read_response(self) -> TargetResponse:
        """Return the complete response to a call of this gateway."""
        return await self.read_body(await self.read_head(), MAX_OWN_RESPONSE_BYTES)

    async def read_body(
        self,
        head: ResponseHead,
        limit: int = MAX_RESPONSE_BYTES,
        room: AnswerRoom | None = None,
    ) -> TargetResponse:
        """Read the body that belongs to `head`, of at most `limit` bytes, into `room` if given."""
        body = await self._connection.body(limit, room)
        self._is_complete = True
        return TargetResponse(head, body)

    async def chunks(self, wait: Wait) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; `wait()` returns once there is data to read."""
        await wait()
        while chunk := await self._connection.chunk():
            yield chunk
            await wait()
        self._is_complete = True

    @property
    def has_data(self) -> bool:
        """Return whether the response, or its end, can be read on without waiting."""
        return self._connection.has_data

    async def wait_for_data(self) -> None:
        """Return once the response, or its end, can be read on without waiting."""
        await self._connection.wait_for_data()

    async def has_data_within(self, seconds: float) -> bool:
        """Return whether there is data to read after at most `seconds`."""
        try:
            async with PeerTimeout(seconds):
                await self.wait_for_data()
        except TimeoutError:
            return False
        return True

    def can_be_sent(self) -> bool:
        """Return whether its connection is open and the target still accepts the request."""
        availability = self.view.availability
        return (
            not self._connection.is_closed
            and not availability.is_backing_off(clock.monotonic())
            and not (self._is_work and availability.leaves)
            and self.view.is_covered(self._permit)
        )

    def has_not_run(self) -> bool:
        """Return whether the response declares that the target has not run the request."""
        head = self.head
        if head is None:
            return False
        return head.status == _MISDIRECTED or head.get(self._names.not_run) is not None

    def _matches_request(self, head):
        if self._request_id is None:
            return True
        found = head.get(self._names.request_id)
        is_success = 200 <= head.status < 300
        if self._is_own_call:
            if found is None:
                # A call may run twice, so a late refusal of an earlier one does no harm.
                return not is_success or not self.view.echoes_call_ids
            self.view.echoes_call_ids = True
            return found == self._request_id
        if found is None and not is_success and self._connection.requests > 1:
            raise NoAnswer("A refusal without an id may be of an earlier request.", sent=True)
        if found is None:
            # Error responses may omit the request id; a success must carry it.
            return not is_success
        return found == self._request_id
