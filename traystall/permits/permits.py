"""Acquire permits for requests to rate-limited targets, and grant them where this gateway lends."""

from collections.abc import Callable, Iterable

import msgspec

from traystall.core import clock, metrics
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
from traystall.systems.permits import PermitSchedule
from traystall.tables.gateways import GatewayRow

# Validity of a permit: long enough to open a connection.
_PERMIT_VALIDITY_SECONDS = 0.25
# Retries are spread uniformly between these multiples of the lender's spread.
_RETRY_SPREAD = (0.5, 1.5)
# A limit that falls by more than this factor invalidates permits granted under the higher limit.
_VOID_FACTOR = 1.5


class Permit(msgspec.Struct, frozen=True):
    """Allow one request to one incarnation of a target within a period in monotonic seconds.

    `per_second` is the limit under which the permit was granted. A much lower limit that becomes
    known later invalidates it.
    """

    life: str
    lender: str
    per_second: float
    valid_from: float
    valid_until: float


class Permits(SharedLimits):
    """Store the rate limits of targets, acquire permits from the lenders, and grant them."""

    def __init__(
        self,
        identity: str,
        rows: Callable[[], Iterable[GatewayRow]],
        random,
        lender_ranking: LenderRanking | None = None,
    ):
        super().__init__(identity, rows, random, lender_ranking)
        self._schedules: dict[str, PermitSchedule] = {}

    def news(self, records: list[TargetLimitRecord]) -> LimitNews:
        """Return the message that tells other gateways of rate limits."""
        return LimitNews(sender=self.identity, limits=records)

    def records_in(self, news: LimitNews) -> list[TargetLimitRecord]:
        """Return the rate limits in a message of another gateway."""
        return news.limits or []

    def granted_count(self, life: str) -> int:
        """Return the number of permits granted here for one incarnation of a target."""
        return self._schedules[life].granted_count if life in self._schedules else 0

    # ---- acquiring permits ----

    async def take(
        self, life: str, data_centre: str, patience: float = 0.0, is_spare: bool = False
    ) -> Permit:
        """Return a permit to send one request at a time within `patience` seconds.

        The limit holds for all gateways together, so a single lender grants the permits. With a
        separate share for each gateway, 195 gateways could send 195 requests at once after an idle
        period. Raise PermitDenied if no permit is available in time or no lender replies.
        """
        limit = self.limit(life)
        now = clock.monotonic()
        closed_until = limit.spare_closed_until if is_spare else limit.opens_at
        if now < closed_until:
            raise PermitDenied(closed_until - now)
        request = PermitRequest(
            sender=self.identity,
            known=self.record(life),
            data_centre=data_centre,
            patience=patience,
            spare=is_spare,
        )
        replies = []
        for lender in self.lender_ranking.lenders(life, data_centre):
            reply = await self._ask_lender(lender, request)
            if reply is None or not reply.lends:
                replies.append(reply)
                continue
            limit.unlent_until = float("-inf")
            self._merge_record(reply.known, lender)
            if reply.granted:
                return self._permit_from(limit, lender, reply, now)
            self._defer_requests(limit, reply, patience, is_spare)
            raise PermitDenied(reply.wait)
        self._record_unlent(limit, replies)
        self._defer_requests_for(limit, NO_LENDER_BACKOFF_SECONDS, is_spare)
        raise PermitDenied(NO_LENDER_BACKOFF_SECONDS)

    def give_back(self, permit: Permit) -> None:
        """Return an unused permit to its lender, so that another gateway can use its send time."""
        left = permit.valid_from - clock.monotonic()
        if left <= 0:
            return
        message = PermitReturn(life=permit.life, left=left)
        if permit.lender == self.identity:
            self.on_permit_returned(message)
        elif self.links is not None:
            address = self._address(permit.lender)
            if address:
                self._spawn(self._send(address, message))

    def covers(self, life: str, permit: Permit | None) -> bool:
        """Return whether the target's limit allows a request now with this permit."""
        limit = self.limit(life)
        if not limit.is_limited:
            return True
        if permit is None or permit.life != life:
            return False
        is_invalidated = permit.per_second > limit.per_second * _VOID_FACTOR
        return not is_invalidated and clock.monotonic() <= permit.valid_until

    def _permit_from(self, limit, lender, reply, requested_at) -> Permit:
        """Return the permit of a reply; its validity is relative to the time of the request."""
        known = reply.known
        valid_from = requested_at + reply.wait
        # A lender without a limit has more recent information than this gateway.
        per_second = known.per_second or limit.per_second or 0.0
        return Permit(
            known.life, lender, per_second, valid_from, valid_from + _PERMIT_VALIDITY_SECONDS
        )

    def _defer_requests(self, limit, reply, patience, is_spare):
        """Defer further permit requests until one may be available, with a random spread."""
        spread = self._random.uniform(*_RETRY_SPREAD) * (reply.spread or 0.0)
        self._defer_requests_for(limit, max(reply.wait - patience, spread), is_spare)

    # ---- granting permits ----

    def grant(self, request: PermitRequest) -> PermitReply:
        """Handle a permit request of another gateway or of this one."""
        now = clock.monotonic()
        life = request.known.life
        self._merge_record(request.known, request.sender)
        data_centre = request.data_centre or ""
        part = self.lender_ranking.part(life, data_centre, now) if self.may_grant else 0.0
        limit = self.limit(life)
        if not part:
            return self._refusal(life, data_centre)
        if not limit.is_limited:
            known = self.record(life)
            return PermitReply(lends=True, granted=True, wait=0.0, spread=0.0, known=known)
        schedule = self._schedules.setdefault(life, PermitSchedule())
        rate = limit.per_second * part
        patience = request.patience or 0.0
        result = schedule.grant(rate, request.sender, patience, bool(request.spare), now)
        if result.is_granted:
            metrics.permits_lent_total.inc({})
        return PermitReply(
            lends=True,
            granted=result.is_granted,
            wait=result.wait,
            spread=result.spread,
            known=self.record(life),
        )

    def on_permit_returned(self, message: PermitReturn) -> None:
        """Handle the return of an unused permit."""
        schedule = self._schedules.get(message.life)
        if schedule is not None:
            now = clock.monotonic()
            schedule.give_back(now + (message.left or 0.0), now)

    def _forget(self, life):
        super()._forget(life)
        self._schedules.pop(life, None)
