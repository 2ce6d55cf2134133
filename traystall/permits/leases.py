"""Lease places at brittle targets from their lenders, and lease them out where this gateway lends.

Permits bound the requests a second to a target; leases bound those at a target at the same time.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from traystall.core import clock, metrics
from traystall.core.ids import new_id
from traystall.permits.exceptions import PermitDenied
from traystall.permits.lenders import LenderRanking
from traystall.permits.shared_limits import NO_LENDER_BACKOFF_SECONDS, SharedLimits
from traystall.rpc.gen.wire.ttypes import (
    LimitNews,
    PermitReply,
    PermitRequest,
    PermitReturn,
    TargetLimitRecord,
)
from traystall.systems.leases import PlaceTable, places_of_second_lender
from traystall.systems.permits import FIRST_LENDER_SHARE
from traystall.tables.gateways import GatewayRow

# Time until a gateway that got no place asks the lender again, before jitter.
_RETRY_SECONDS = 0.03
_RETRY_SPREAD = (0.5, 1.5)
# A place may be handed on to another request of the same gateway for this long.
_HAND_ON_SECONDS = 1.0


class Lease(msgspec.Struct, frozen=True):
    """The right to have one request at one incarnation of a target.

    It ends at `until` (monotonic seconds) if it was not returned before.
    """

    life: str
    name: str
    lender: str
    until: float


class _Waiter(msgspec.Struct):
    """A request that waits until another one of this gateway ends, and takes up to `seconds`."""

    seconds: float
    place: asyncio.Future[Lease]


def _end_of_lease(life, name) -> PermitReturn:
    return PermitReturn(life=life, left=0.0, lease=name)


class Leases(SharedLimits):
    """Know which targets are brittle, lease places at them, and lease them out.

    What a brittle target announces is kept as a limit: the rejections a second that it bears.
    """

    start_event = "target-brittle"
    end_event = "target-brittle-ended"
    gauge = metrics.brittle_targets
    # The targets of a pool are brittle together, so to use another one takes a lender as well.
    request_timeout_seconds = 0.2

    def __init__(
        self,
        identity: str,
        rows: Callable[[], Iterable[GatewayRow]],
        random,
        lender_ranking: LenderRanking | None = None,
    ):
        super().__init__(identity, rows, random, lender_ranking)
        self._tables: dict[str, PlaceTable] = {}
        self._waiters: dict[str, list[_Waiter]] = {}

    def news(self, records: list[TargetLimitRecord]) -> LimitNews:
        """Return the message that tells other gateways of brittle targets."""
        return LimitNews(sender=self.identity, brittle=records)

    def records_in(self, news: LimitNews) -> list[TargetLimitRecord]:
        """Return the brittle targets in a message of another gateway."""
        return news.brittle or []

    async def take(self, life: str, data_centre: str, places: int, seconds: float) -> Lease:
        """Return a lease of one of the `places` of a target for up to `seconds`.

        It is a new one, or that of a request of this gateway which ends shortly. Raise PermitDenied
        if all are taken or no lender replies.
        """
        limit = self.limit(life)
        if clock.monotonic() >= limit.opens_at:
            lease = await self._ask_lenders(life, data_centre, places, seconds)
            if lease is not None:
                return lease
        lease = await self._wait_for_place(life, seconds)
        if lease is None:
            raise PermitDenied(max(0.0, limit.opens_at - clock.monotonic()))
        return lease

    async def _ask_lenders(self, life, data_centre, places, seconds) -> Lease | None:
        """Return a new lease, or None after a note of when to ask again."""
        limit = self.limit(life)
        request = PermitRequest(
            sender=self.identity,
            known=self.record(life),
            data_centre=data_centre,
            places=places,
            lease=new_id(),
            seconds=seconds + _HAND_ON_SECONDS,
        )
        until = clock.monotonic() + request.seconds
        replies = []
        for lender in self.lender_ranking.lenders(life, data_centre):
            reply = await self._ask_lender(lender, request)
            if reply is None or not reply.lends:
                replies.append(reply)
                continue
            limit.unlent_until = float("-inf")
            if reply.granted:
                return Lease(life, request.lease, lender, until)
            wait = _RETRY_SECONDS * self._random.uniform(*_RETRY_SPREAD)
            self._defer_requests_for(limit, wait, is_spare=False)
            return None
        self._record_unlent(limit, replies)
        self._defer_requests_for(limit, NO_LENDER_BACKOFF_SECONDS, is_spare=False)
        return None

    async def _wait_for_place(self, life, seconds) -> Lease | None:
        """Return the lease of a request that ends before lenders may be asked again, or None."""
        waiter = _Waiter(seconds, asyncio.get_running_loop().create_future())
        waiters = self._waiters.setdefault(life, [])
        waiters.append(waiter)
        wait = min(self.limit(life).opens_at - clock.monotonic(), _RETRY_SECONDS)
        try:
            await asyncio.wait((waiter.place,), timeout=wait)
        except asyncio.CancelledError:
            if not waiter.place.cancel():
                self.give_back(waiter.place.result())
            raise
        finally:
            waiters.remove(waiter)
            if not waiters:
                del self._waiters[life]
        return None if waiter.place.cancel() else waiter.place.result()

    def give_back(self, lease: Lease) -> None:
        """Return the place of a request that has ended, or hand it on to one that waits here."""
        if self._hand_on(lease):
            return
        message = _end_of_lease(lease.life, lease.name)
        if lease.lender == self.identity:
            self.on_returned(message)
        elif self.links is not None:
            address = self._address(lease.lender)
            if address:
                self._spawn(self._send(address, message))

    def _hand_on(self, lease) -> bool:
        longest = lease.until - clock.monotonic()
        for waiter in self._waiters.get(lease.life, ()):
            if waiter.seconds <= longest and not waiter.place.done():
                waiter.place.set_result(lease)
                return True
        return False

    def grant(self, request: PermitRequest) -> PermitReply:
        """Handle a request of another gateway or of this one for a place."""
        now = clock.monotonic()
        life = request.known.life
        self._merge_record(request.known, request.sender)
        data_centre = request.data_centre or ""
        part = self.lender_ranking.part(life, data_centre, now) if self.may_grant else 0.0
        if not part:
            return self._refusal(life, data_centre)
        places = request.places
        if part < FIRST_LENDER_SHARE:
            places = places_of_second_lender(places)
        table = self._tables.setdefault(life, PlaceTable())
        granted = table.lease(request.lease, places, request.seconds or 0.0, now)
        return PermitReply(lends=True, granted=granted, known=self.record(life))

    def on_returned(self, message: PermitReturn) -> None:
        """Handle the end of a lease, which may arrive before the request for it."""
        table = self._tables.setdefault(message.life, PlaceTable())
        table.release(message.lease, clock.monotonic())

    async def _call(self, address, request) -> PermitReply:
        is_answered = False
        try:
            reply = await super()._call(address, request)
            is_answered = True
            return reply
        finally:
            if not is_answered:
                # The lender may have leased a place in a reply that is late or lost.
                message = _end_of_lease(request.known.life, request.lease)
                self._spawn(self._send(address, message))

    def _forget(self, life):
        super()._forget(life)
        self._tables.pop(life, None)
