"""The limits that targets announce to all gateways together, and how their lenders are asked.

An announcement bounds what all gateways together may send to a target. One gateway, the target's
lender, grants it to all of them bit by bit.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.permits.lenders import SETTLE_SECONDS, LenderRanking
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    LimitNews,
    PermitReply,
    PermitRequest,
    TargetLimitRecord,
)
from traystall.systems.target_limits import AnnouncedLimit
from traystall.tables.gateways import GatewayRow
from traystall.tables.target_limits import TargetLimit

# Backoff after a lender didn't reply, and for a target of which no lender replies.
_LENDER_BACKOFF_SECONDS = 1.0
NO_LENDER_BACKOFF_SECONDS = 0.3
# A change of a limit by less than this factor isn't logged.
_LOGGED_FACTOR = 2.0
# The limit of an unknown target is kept this long, because a gateway may learn of a limit before it
# learns of the target.
_UNKNOWN_RETENTION_SECONDS = 10.0


class SharedLimits:
    """Store what targets announce, exchange it with other gateways, and ask lenders.

    A target's incarnation is identified by `life`. `rows()` returns the directory of gateways.
    Without `links`, only this gateway can lend. `may_grant` is unset while the gateway stops.
    Subclasses define what is announced and lent.
    """

    # Log events of the start and end of a limit, and the gauge of targets with one.
    start_event = "target-limited"
    end_event = "target-limit-ended"
    gauge = metrics.limited_targets
    # Timeout of a request to a lender. A longer wait costs a request more than the use of another
    # target.
    request_timeout_seconds = 0.06

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
        # When the last request to a lender failed.
        self._lender_failed_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        # Incarnations whose limit changed in a response to this gateway and isn't distributed yet.
        self.undistributed: set[str] = set()

    def news(self, records: list[TargetLimitRecord]) -> LimitNews:
        """Return the message that tells other gateways of limits."""
        raise NotImplementedError

    def records_in(self, news: LimitNews) -> list[TargetLimitRecord]:
        """Return the limits in a message of another gateway."""
        raise NotImplementedError

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
        for record in self.records_in(news):
            self._merge_record(record, news.sender or "")

    def retain(self, lives: set[str]) -> None:
        """Remove incarnations that are not in `lives` and have been unknown for some time."""
        now = clock.monotonic()
        unknown = self._limits.keys() - lives
        self._unknown_since = {life: self._unknown_since.get(life, now) for life in unknown}
        for life, since in list(self._unknown_since.items()):
            if now - since > _UNKNOWN_RETENTION_SECONDS:
                self.undistributed.discard(life)
                self._forget(life)

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
            self.start_event if limit.is_limited else self.end_event,
            target=life,
            per_second=after,
            before=before,
            by=limit.source,
        )

    def refresh_lenders(self) -> None:
        """Update the lenders from the current directory of gateways."""
        self.lender_ranking.note(self._rows(), clock.monotonic())

    def close(self) -> None:
        """Cancel the messages in progress."""
        for task in self._tasks:
            task.cancel()

    def grant(self, request: PermitRequest) -> PermitReply:
        """Handle a request of another gateway or of this one."""
        raise NotImplementedError

    def _forget(self, life):
        """Remove what is known of an incarnation."""
        self._limits.pop(life, None)
        self._announced.pop(life, None)

    async def _ask_lender(self, lender, request) -> PermitReply | None:
        if lender == self.identity:
            return self.grant(request)
        address = self._address(lender)
        if self.links is None or not address or self._is_silent(lender, address):
            return None
        try:
            return await self._call(address, request)
        except RpcError as error:
            self._lender_failed_at[lender] = clock.monotonic()
            decision("lender-silent", lender=lender, target=request.known.life, why=str(error))
            return None

    def _is_silent(self, lender, address) -> bool:
        """Return whether a lender failed to reply shortly before, and nothing came from it since.

        A late reply shows that it is slow and not gone.
        """
        failed_at = self._lender_failed_at.get(lender, float("-inf"))
        is_backing_off = clock.monotonic() < failed_at + _LENDER_BACKOFF_SECONDS
        return is_backing_off and self.links.link(address).last_received_at < failed_at

    async def _call(self, address, request) -> PermitReply:
        """Send a request to a lender; raise RpcError if it does not reply in time."""
        return await self.links.link(address).call(request, self.request_timeout_seconds)

    def _refusal(self, life, data_centre) -> PermitReply:
        """Return the reply of a gateway that does not lend now; `wait` tells when it will."""
        settled_at = self.lender_ranking.settled_at(life, data_centre) if self.may_grant else None
        wait = None if settled_at is None else max(0.0, settled_at - clock.monotonic())
        return PermitReply(lends=False, granted=False, wait=wait, known=self.record(life))

    def _record_unlent(self, limit, replies: list[PermitReply | None]) -> None:
        """Record until when no lender grants, if all of them have said from when on they will.

        A lender that did not reply may be lending to others.
        """
        waits = [reply.wait if reply is not None else None for reply in replies]
        if waits and None not in waits:
            limit.unlent_until = clock.monotonic() + min(*waits, SETTLE_SECONDS)

    def _defer_requests_for(self, limit, seconds, is_spare):
        until = clock.monotonic() + seconds
        if is_spare:
            limit.spare_closed_until = until
        else:
            limit.closed_until = until

    def _address(self, identity) -> str:
        return next((r.rpc_address for r in self._rows() if r.identity == identity), "")

    async def _send(self, address, message):
        try:
            await self.links.link(address).send(message)
        except RpcError as error:
            decision("permit-lost", lender=address, target=message.life, why=str(error))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
