"""Acquire permits for requests to rate-limited targets, and grant them where this gateway lends."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.permits.exceptions import PermitDenied
from traystall.permits.lenders import LenderRanking
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    LimitNews,
    PermitReply,
    PermitRequest,
    PermitReturn,
    TargetLimitRecord,
)
from traystall.systems.permits import PermitSchedule
from traystall.systems.target_limits import AnnouncedLimit
from traystall.tables.gateways import GatewayRow
from traystall.tables.target_limits import TargetLimit

# Timeout of a permit request. A longer wait costs a request more than the use of another target.
_REQUEST_TIMEOUT_SECONDS = 0.06
# Backoff after a lender didn't reply, and for a target of which no lender replies.
_LENDER_BACKOFF_SECONDS = 1.0
_NO_LENDER_BACKOFF_SECONDS = 0.3
# Validity of a permit: long enough to open a connection.
_PERMIT_VALIDITY_SECONDS = 0.25
# Retries are spread uniformly between these multiples of the lender's spread.
_RETRY_SPREAD = (0.5, 1.5)
# A change of a limit by less than this factor isn't logged.
_LOGGED_FACTOR = 2.0
# A limit that falls by more than this factor invalidates permits granted under the higher limit.
_VOID_FACTOR = 1.5
# The limit of an unknown target is kept this long, because a gateway may learn of a limit before it
# learns of the target.
_UNKNOWN_RETENTION_SECONDS = 10.0


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


class Permits:
    """Store the rate limits of targets, acquire permits from the lenders, and grant them.

    A target's incarnation is identified by `life`. `rows()` returns the directory of gateways.
    Without `links`, only the permits that this gateway grants itself are available. `may_grant` is
    unset while the gateway stops.
    """

    def __init__(
        self,
        identity: str,
        rows: Callable[[], Iterable[GatewayRow]],
        random,
        lender_ranking: LenderRanking | None = None,
    ):
        self.identity = identity
        self.links: LinkPool | None = None
        self.may_grant = True
        self.lender_ranking = lender_ranking or LenderRanking(identity)
        self._rows = rows
        self._random = random
        self._limits: dict[str, TargetLimit] = {}
        # The subset that has ever had a limit, and since when an incarnation has been unknown here.
        self._announced: dict[str, TargetLimit] = {}
        self._unknown_since: dict[str, float] = {}
        self._schedules: dict[str, PermitSchedule] = {}
        self._lender_retry_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        # Incarnations whose limit changed in a response to this gateway and isn't distributed yet.
        self.undistributed: set[str] = set()

    # ---- known limits ----

    def limit(self, life: str) -> TargetLimit:
        """Return the limit of one incarnation of a target; always the same object."""
        return self._limits.setdefault(life, TargetLimit())

    def register_incarnation(self, life: str, limit: TargetLimit | None) -> TargetLimit:
        """Return the limit of a new incarnation, with `limit` if the incarnation announced it.

        An incarnation may become known only after its first responses.
        """
        if limit is not None and limit.is_limited:
            self._limits[life] = self._announced[life] = msgspec.structs.replace(limit)
        return self.limit(life)

    def limits(self) -> dict[str, TargetLimit]:
        """Return the limits of all incarnations that have ever announced one, by incarnation."""
        return self._announced

    def granted_count(self, life: str) -> int:
        """Return the number of permits granted here for one incarnation of a target."""
        return self._schedules[life].granted_count if life in self._schedules else 0

    def observe_answer(
        self, life: str, announced: AnnouncedLimit, sent_at: float, request: str
    ) -> None:
        """Apply the limit in a response to a request that was sent at `sent_at`."""
        limit = self.limit(life)
        before = limit.per_second
        if announced.per_second is None:
            changed = limit.end(sent_at)
        else:
            changed = limit.name(announced.per_second, sent_at, request, clock.monotonic())
        if changed:
            self._announced[life] = limit
            self._log_change(life, before, limit)
        if changed or (announced.per_second is None and limit.confirm_end(sent_at)):
            self.undistributed.add(life)

    def merge_limits(self, news: LimitNews) -> None:
        """Merge the limits that another gateway sent."""
        for record in news.limits or ():
            self._merge_record(record, news.sender or "")

    def retain(self, lives: set[str]) -> None:
        """Remove incarnations that are not in `lives` and have been unknown for some time."""
        now = clock.monotonic()
        unknown = self._limits.keys() - lives
        self._unknown_since = {life: self._unknown_since.get(life, now) for life in unknown}
        for life, since in list(self._unknown_since.items()):
            if now - since > _UNKNOWN_RETENTION_SECONDS:
                self.undistributed.discard(life)
                for held in (self._limits, self._announced, self._schedules):
                    held.pop(life, None)

    def record(self, life: str) -> TargetLimitRecord:
        """Return the limit of an incarnation as a record for another gateway."""
        limit = self.limit(life)
        announced_at = limit.sent_at if limit.is_limited else limit.ended_at
        age = clock.monotonic() - announced_at
        return TargetLimitRecord(life=life, per_second=limit.per_second, age=age)

    def _merge_record(self, record, sender):
        now = clock.monotonic()
        limit = self.limit(record.life)
        before = limit.per_second
        if limit.merge_remote(record.per_second, now - (record.age or 0.0), sender, now):
            self._announced[record.life] = limit
            self._log_change(record.life, before, limit)

    def _log_change(self, life, before, limit):
        after = limit.per_second
        if before and after and 1 / _LOGGED_FACTOR < after / before < _LOGGED_FACTOR:
            return
        decision(
            "target-limited" if limit.is_limited else "target-limit-ended",
            target=life,
            per_second=after,
            before=before,
            by=limit.source,
        )

    def refresh_lenders(self) -> None:
        """Update the lenders from the current directory of gateways."""
        self.lender_ranking.note(self._rows(), clock.monotonic())

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
        closed_until = limit.spare_closed_until if is_spare else limit.closed_until
        if now < closed_until:
            raise PermitDenied(closed_until - now)
        request = PermitRequest(
            sender=self.identity,
            known=self.record(life),
            data_centre=data_centre,
            patience=patience,
            spare=is_spare,
        )
        for lender in self.lender_ranking.lenders(life, data_centre):
            reply = await self._request_permit(lender, request)
            if reply is None or not reply.lends:
                continue
            self._merge_record(reply.known, lender)
            if reply.granted:
                return self._permit_from(limit, lender, reply, now)
            self._defer_requests(limit, reply, patience, is_spare)
            raise PermitDenied(reply.wait)
        self._defer_requests_for(limit, _NO_LENDER_BACKOFF_SECONDS, is_spare)
        raise PermitDenied(_NO_LENDER_BACKOFF_SECONDS)

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

    async def _request_permit(self, lender, request) -> PermitReply | None:
        if lender == self.identity:
            return self.grant(request)
        now = clock.monotonic()
        address = self._address(lender)
        if self.links is None or not address or now < self._lender_retry_at.get(lender, 0.0):
            return None
        try:
            return await self.links.link(address).call(request, _REQUEST_TIMEOUT_SECONDS)
        except RpcError as error:
            self._lender_retry_at[lender] = clock.monotonic() + _LENDER_BACKOFF_SECONDS
            decision("lender-silent", lender=lender, target=request.known.life, why=str(error))
            return None

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

    def _defer_requests_for(self, limit, seconds, is_spare):
        until = clock.monotonic() + seconds
        if is_spare:
            limit.spare_closed_until = until
        else:
            limit.closed_until = until

    def _address(self, identity) -> str:
        return next((r.rpc_address for r in self._rows() if r.identity == identity), "")

    # ---- granting permits ----

    def grant(self, request: PermitRequest) -> PermitReply:
        """Handle a permit request of another gateway or of this one."""
        now = clock.monotonic()
        life = request.known.life
        self._merge_record(request.known, request.sender)
        part = (
            self.lender_ranking.part(life, request.data_centre or "", now)
            if self.may_grant
            else 0.0
        )
        limit = self.limit(life)
        if not part:
            return PermitReply(lends=False, granted=False, known=self.record(life))
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

    def close(self) -> None:
        """Cancel the messages in progress."""
        for task in self._tasks:
            task.cancel()

    async def _send(self, address, message):
        try:
            await self.links.link(address).send(message)
        except RpcError as error:
            decision("permit-lost", lender=address, target=message.life, why=str(error))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
