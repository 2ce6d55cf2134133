"""Distribute the rate limits of targets to all gateways.

A gateway reports a change that it observed to the target's lenders, and the first lender sends it
to every gateway.
"""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.permits.shared_limits import SharedLimits
from traystall.rpc.client import LinkPool
from traystall.tables.gateways import GatewayRow

# Interval of the distribution: every gateway knows a limit after two intervals.
_INTERVAL_SECONDS = 0.2
# Delay before limits are sent again to a gateway that was unreachable.
_RETRY_SECONDS = 1.0
# A smaller relative change isn't sent; gateways learn it with their next permit reply.
_PUBLISHED_FACTOR = 2.0

logger = logging.getLogger(__name__)


class LimitBroadcaster:
    """Send known limits: the first lender to every gateway, other gateways to the lenders."""

    def __init__(self, permits: SharedLimits, links: LinkPool, rows, data_centre_of, lives):
        """Use `data_centre_of(life)` to locate a target and `lives()` for the known ones."""
        self._permits = permits
        self._links = links
        self._rows = rows
        self._data_centre_of = data_centre_of
        self._lives = lives
        # The limits last sent to each gateway, and when to retry one that was unreachable.
        self._sent: dict[str, dict[str, float | None]] = {}
        self._retry_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run_forever(self) -> None:
        """Distribute limits at a fixed interval and update the lenders."""
        try:
            while True:
                await asyncio.sleep(_INTERVAL_SECONDS)
                self.review()
        finally:
            for task in self._tasks:
                task.cancel()

    def review(self) -> None:
        """Update the lenders and send changed limits to the gateways that need them."""
        rows = [row for row in self._rows() if row.lends]
        now = clock.monotonic()
        self._permits.refresh_lenders()
        limits = self._permits.limits()
        if limits:
            self._permits.retain(self._lives())
        self._permits.gauge.set({}, sum(limit.is_limited for limit in limits.values()))
        if not limits:
            return
        self._sent = {row.identity: self._sent.get(row.identity, {}) for row in rows}
        pending = self._pending_updates(limits)
        for row in rows:
            found = pending.get(row.identity)
            if found and now >= self._retry_at.get(row.identity, 0.0):
                self._retry_at[row.identity] = now + _RETRY_SECONDS
                self._spawn(self._send_limits(row, found))

    def _pending_updates(self, limits) -> dict[str, list[str]]:
        """Return the target incarnations whose limits each gateway should receive."""
        own = self._permits.identity
        found: dict[str, list[str]] = {}
        undistributed, self._permits.undistributed = self._permits.undistributed, set()
        for life, limit in list(limits.items()):
            lenders = self._permits.lender_ranking.lenders(life, self._data_centre_of(life))
            if lenders and own == lenders[0]:
                others = [name for name in self._sent if name != own]
                recipients = [n for n in others if self._needs_update(n, life, limit.per_second)]
            else:
                recipients = [n for n in lenders if n != own] if life in undistributed else []
            for name in recipients:
                found.setdefault(name, []).append(life)
        return found

    def _needs_update(self, name, life, per_second) -> bool:
        sent = self._sent[name].get(life)
        if sent is None or per_second is None:
            return sent != per_second
        return not 1 / _PUBLISHED_FACTOR < per_second / sent < _PUBLISHED_FACTOR

    async def _send_limits(self, row: GatewayRow, lives):
        records = [self._permits.record(life) for life in lives]
        message = self._permits.news(records)
        try:
            await self._links.link(row.rpc_address).send(message)
        except RpcError as error:
            logger.info("limits not sent", extra={"peer": row.identity, "why": str(error)})
            self._permits.undistributed.update(lives)
            return
        self._retry_at.pop(row.identity, None)
        sent = self._sent.setdefault(row.identity, {})
        sent.update((record.life, record.per_second) for record in records)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
