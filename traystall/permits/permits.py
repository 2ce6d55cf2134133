"""Take permits for requests to targets that name a limit, and lend them where this gateway does."""

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
from traystall.systems.permits import LentTarget
from traystall.systems.target_limits import AnnouncedLimit
from traystall.tables.gateways import GatewayRow
from traystall.tables.target_limits import TargetLimit

# An answer that takes longer, in seconds, costs a request more than another target does.
_ASK_SECONDS = 0.06
# A lender that did not answer is left out so long, in seconds, and a target whose lenders both
# don't is not asked for.
_SILENT_SECONDS = 1.0
_NO_LENDER_SECONDS = 0.3
# A permit may be used for so long, in seconds: a connection has to come up meanwhile.
_VALID_SECONDS = 0.25
# Those who ask again are spread between these parts of what the lender says.
_SPREAD = (0.5, 1.5)
# A log line tells when a limit begins, ends or changes by this factor.
_LOGGED_FACTOR = 2.0
# A limit that falls by more than this factor voids what was lent under the higher one.
_VOID_FACTOR = 1.5
# What is known of a target that this gateway doesn't know is kept so long, in seconds: it may be
# told of a limit before it is told of the target.
_KEPT_SECONDS = 10.0


class Permit(msgspec.Struct, frozen=True):
    """Allow one request to one life of a target, sent between two moments (monotonic seconds).

    `per_second` is the limit under which it was lent; a much lower one that is heard voids it.
    """

    life: str
    lender: str
    per_second: float
    valid_from: float
    valid_until: float


class Permits:
    """Hold what targets take from all gateways together, and ask for it or lend it.

    `rows()` returns the directory of gateways. Without `links` only what this gateway lends itself
    can be had. `may_lend` is unset when it is about to stop.
    """

    def __init__(
        self,
        identity: str,
        rows: Callable[[], Iterable[GatewayRow]],
        random,
        ranks: LenderRanking | None = None,
    ):
        self.identity = identity
        self.links: LinkPool | None = None
        self.may_grant = True
        self.ranks = ranks or LenderRanking(identity)
        self._rows = rows
        self._random = random
        self._limits: dict[str, TargetLimit] = {}
        # Of these the ones that have ever named a limit, and since when a life is not known here.
        self._named: dict[str, TargetLimit] = {}
        self._unknown_since: dict[str, float] = {}
        self._lent: dict[str, LentTarget] = {}
        self._silent_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        # Lives of which this gateway has heard something new by itself, until that is passed on.
        self.heard: set[str] = set()

    # ---- what is known ----

    def limit(self, life: str) -> TargetLimit:
        """Return what is known of one life of a target; the same object each time."""
        return self._limits.setdefault(life, TargetLimit())

    def register_incarnation(self, life: str, limit: TargetLimit | None) -> TargetLimit:
        """Return what is known of a life that is new here; `limit` if it has said that itself.

        A life may be known late, after its first answers have come.
        """
        if limit is not None and limit.is_limited:
            self._limits[life] = self._named[life] = msgspec.structs.replace(limit)
        return self.limit(life)

    def limits(self) -> dict[str, TargetLimit]:
        """Return what is known of those that have ever named a limit, by the names of lives."""
        return self._named

    def granted_count(self, life: str) -> int:
        """Return how many requests to a life of a target were lent here."""
        return self._lent[life].granted_count if life in self._lent else 0

    def observe_answer(self, life: str, word: AnnouncedLimit, sent_at: float, request: str) -> None:
        """Take in what an answer says to a request that was sent at `sent_at`."""
        limit = self.limit(life)
        before = limit.per_second
        if word.per_second is None:
            changed = limit.end(sent_at)
        else:
            changed = limit.name(word.per_second, sent_at, request, clock.monotonic())
        if changed:
            self._named[life] = limit
            self._log(life, before, limit)
        if changed or (word.per_second is None and limit.confirm_end(sent_at)):
            self.heard.add(life)

    def merge_limits(self, news: LimitNews) -> None:
        """Take in what another gateway knows."""
        for record in news.limits or ():
            self._take_record(record, news.sender or "")

    def retain(self, lives: set[str]) -> None:
        """Forget lives of targets that have been gone for a while."""
        now = clock.monotonic()
        unknown = self._limits.keys() - lives
        self._unknown_since = {life: self._unknown_since.get(life, now) for life in unknown}
        for life, since in list(self._unknown_since.items()):
            if now - since > _KEPT_SECONDS:
                self.heard.discard(life)
                for held in (self._limits, self._named, self._lent):
                    held.pop(life, None)

    def record(self, life: str) -> TargetLimitRecord:
        """Return what is known of a life, to be told."""
        limit = self.limit(life)
        said_at = limit.sent_at if limit.is_limited else limit.ended_at
        age = clock.monotonic() - said_at
        return TargetLimitRecord(life=life, per_second=limit.per_second, age=age)

    def _take_record(self, record, sender):
        now = clock.monotonic()
        limit = self.limit(record.life)
        before = limit.per_second
        if limit.take_told(record.per_second, now - (record.age or 0.0), sender, now):
            self._named[record.life] = limit
            self._log(record.life, before, limit)

    def _log(self, life, before, limit):
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
        """Note who serves now: of these two lend."""
        self.ranks.note(self._rows(), clock.monotonic())

    # ---- asking ----

    async def take(
        self, life: str, data_centre: str, patience: float = 0.0, is_spare: bool = False
    ) -> Permit:
        """Return a permit to send one request, for a moment within `patience` seconds.

        A promise to a target binds all gateways together, so one of them deals it out: a part for
        each would be 195 requests at once after a quiet spell. Raise PermitDenied if others have
        what the target takes until then, or nobody can be asked.
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
        for lender in self.ranks.lenders(life, data_centre):
            reply = await self._ask(lender, request)
            if reply is None or not reply.lends:
                continue
            self._take_record(reply.known, lender)
            if reply.granted:
                return self._permit(limit, lender, reply, now)
            self._close(limit, reply, patience, is_spare)
            raise PermitDenied(reply.wait)
        self._close_for(limit, _NO_LENDER_SECONDS, is_spare)
        raise PermitDenied(_NO_LENDER_SECONDS)

    def give_back(self, permit: Permit) -> None:
        """Return a permit that was not used: somebody else may have its moment."""
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
        """Return whether a request may be sent now by what the target takes."""
        limit = self.limit(life)
        if not limit.is_limited:
            return True
        if permit is None or permit.life != life:
            return False
        is_void = permit.per_second > limit.per_second * _VOID_FACTOR
        return not is_void and clock.monotonic() <= permit.valid_until

    async def _ask(self, lender, request) -> PermitReply | None:
        if lender == self.identity:
            return self.grant(request)
        now = clock.monotonic()
        address = self._address(lender)
        if self.links is None or not address or now < self._silent_until.get(lender, 0.0):
            return None
        try:
            return await self.links.link(address).call(request, _ASK_SECONDS)
        except RpcError as error:
            self._silent_until[lender] = clock.monotonic() + _SILENT_SECONDS
            decision("lender-silent", lender=lender, target=request.known.life, why=str(error))
            return None

    def _permit(self, limit, lender, reply, asked_at) -> Permit:
        """Return the permit of a reply; its time runs from when it was asked for."""
        known = reply.known
        valid_from = asked_at + reply.wait
        # A lender that knows of no limit any more has heard a later word.
        per_second = known.per_second or limit.per_second or 0.0
        return Permit(known.life, lender, per_second, valid_from, valid_from + _VALID_SECONDS)

    def _close(self, limit, reply, patience, is_spare):
        """Ask for a target again when something may be lent, spread among those who want it."""
        spread = self._random.uniform(*_SPREAD) * (reply.spread or 0.0)
        self._close_for(limit, max(reply.wait - patience, spread), is_spare)

    def _close_for(self, limit, seconds, is_spare):
        until = clock.monotonic() + seconds
        if is_spare:
            limit.spare_closed_until = until
        else:
            limit.closed_until = until

    def _address(self, identity) -> str:
        return next((r.rpc_address for r in self._rows() if r.identity == identity), "")

    # ---- lending ----

    def grant(self, request: PermitRequest) -> PermitReply:
        """Answer a gateway that asks for a permit."""
        now = clock.monotonic()
        life = request.known.life
        self._take_record(request.known, request.sender)
        part = self.ranks.part(life, request.data_centre or "", now) if self.may_grant else 0.0
        limit = self.limit(life)
        if not part:
            return PermitReply(lends=False, granted=False, known=self.record(life))
        if not limit.is_limited:
            known = self.record(life)
            return PermitReply(lends=True, granted=True, wait=0.0, spread=0.0, known=known)
        granted_count = self._lent.setdefault(life, LentTarget())
        rate = limit.per_second * part
        patience = request.patience or 0.0
        loan = granted_count.grant(rate, request.sender, patience, bool(request.spare), now)
        if loan.is_granted:
            metrics.permits_lent_total.inc({})
        return PermitReply(
            lends=True,
            granted=loan.is_granted,
            wait=loan.wait,
            spread=loan.spread,
            known=self.record(life),
        )

    def on_permit_returned(self, message: PermitReturn) -> None:
        """Take back a permit that somebody did not use."""
        granted_count = self._lent.get(message.life)
        if granted_count is not None:
            now = clock.monotonic()
            granted_count.give_back(now + (message.left or 0.0), now)

    def close(self) -> None:
        """End what is under way."""
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
