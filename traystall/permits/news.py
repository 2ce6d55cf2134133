"""Tell all gateways what targets take, and who lends it what this gateway has heard."""

import asyncio
import logging

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.permits.permits import Permits
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import LimitNews
from traystall.tables.gateways import GatewayRow

# So often is looked for something to tell, in seconds: all know a limit within two turns.
_INTERVAL_SECONDS = 0.2
# A gateway that could not be told is told again after so many seconds.
_RETRY_SECONDS = 1.0
# What changes by less than this factor is told by those who ask for permits only.
_PUBLISHED_FACTOR = 2.0

logger = logging.getLogger(__name__)


class LimitTeller:
    """Tell what is known of limits: the first lender tells every gateway, others the lenders."""

    def __init__(self, permits: Permits, links: LinkPool, rows, data_centre_of, lives):
        """Use `data_centre_of(life)` for where a target is, and `lives()` for those known."""
        self._permits = permits
        self._links = links
        self._rows = rows
        self._data_centre_of = data_centre_of
        self._lives = lives
        # What each gateway was told last, and when one that could not be reached is told again.
        self._sent: dict[str, dict[str, float | None]] = {}
        self._retry_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def tell_forever(self) -> None:
        """Look again and again, and note who serves."""
        try:
            while True:
                await asyncio.sleep(_INTERVAL_SECONDS)
                self.review()
        finally:
            for task in self._tasks:
                task.cancel()

    def review(self) -> None:
        """Tell what is new to whom it is new."""
        rows = [row for row in self._rows() if row.lends]
        now = clock.monotonic()
        self._permits.note_serving()
        limits = self._permits.limits()
        if limits:
            self._permits.retain(self._lives())
        metrics.limited_targets.set({}, sum(limit.is_limited for limit in limits.values()))
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
        """Return for each gateway the lives of which it should be told something."""
        own = self._permits.identity
        found: dict[str, list[str]] = {}
        heard, self._permits.heard = self._permits.heard, set()
        for life, limit in list(limits.items()):
            lenders = self._permits.ranks.lenders(life, self._data_centre_of(life))
            if lenders and own == lenders[0]:
                others = [name for name in self._sent if name != own]
                recipients = [n for n in others if self._needs_update(n, life, limit.per_second)]
            else:
                recipients = [n for n in lenders if n != own] if life in heard else []
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
        message = LimitNews(sender=self._permits.identity, limits=records)
        try:
            await self._links.link(row.rpc_address).send(message)
        except RpcError as error:
            logger.info("limits not told", extra={"peer": row.identity, "why": str(error)})
            self._permits.heard.update(lives)
            return
        self._retry_at.pop(row.identity, None)
        sent = self._sent.setdefault(row.identity, {})
        sent.update((record.life, record.per_second) for record in records)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
