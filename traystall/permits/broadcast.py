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
_TURN_SECONDS = 0.2
# A gateway that could not be told is told again after so many seconds.
_AGAIN_SECONDS = 1.0
# What changes by less than this factor is told by those who ask for permits only.
_TOLD_FACTOR = 2.0

logger = logging.getLogger(__name__)


class LimitBroadcaster:
    """Tell what is known of limits: the first lender tells every gateway, others the lenders."""

    def __init__(self, permits: Permits, links: LinkPool, rows, data_centre_of, lives):
        """Use `data_centre_of(life)` for where a target is, and `lives()` for those known."""
        self._permits = permits
        self._links = links
        self._rows = rows
        self._data_centre_of = data_centre_of
        self._lives = lives
        # What each gateway was told last, and when one that could not be reached is told again.
        self._told: dict[str, dict[str, float | None]] = {}
        self._again_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run_forever(self) -> None:
        """Look again and again, and note who serves."""
        try:
            while True:
                await asyncio.sleep(_TURN_SECONDS)
                self.review()
        finally:
            for task in self._tasks:
                task.cancel()

    def review(self) -> None:
        """Tell what is new to whom it is new."""
        rows = [row for row in self._rows() if row.lends]
        now = clock.monotonic()
        self._permits.refresh_lenders()
        limits = self._permits.limits()
        if limits:
            self._permits.retain(self._lives())
        metrics.limited_targets.set({}, sum(limit.is_limited for limit in limits.values()))
        if not limits:
            return
        self._told = {row.identity: self._told.get(row.identity, {}) for row in rows}
        wanted = self._news(limits)
        for row in rows:
            found = wanted.get(row.identity)
            if found and now >= self._again_at.get(row.identity, 0.0):
                self._again_at[row.identity] = now + _AGAIN_SECONDS
                self._spawn(self._tell(row, found))

    def _news(self, limits) -> dict[str, list[str]]:
        """Return for each gateway the lives of which it should be told something."""
        own = self._permits.identity
        found: dict[str, list[str]] = {}
        heard, self._permits.heard = self._permits.heard, set()
        for life, limit in list(limits.items()):
            lenders = self._permits.ranks.lenders(life, self._data_centre_of(life))
            if lenders and own == lenders[0]:
                others = [name for name in self._told if name != own]
                news = [n for n in others if self._is_news(n, life, limit.per_second)]
            else:
                news = [n for n in lenders if n != own] if life in heard else []
            for name in news:
                found.setdefault(name, []).append(life)
        return found

    def _is_news(self, name, life, per_second) -> bool:
        told = self._told[name].get(life)
        if told is None or per_second is None:
            return told != per_second
        return not 1 / _TOLD_FACTOR < per_second / told < _TOLD_FACTOR

    async def _tell(self, row: GatewayRow, lives):
        records = [self._permits.record(life) for life in lives]
        message = LimitNews(sender=self._permits.identity, limits=records)
        try:
            await self._links.link(row.rpc_address).send(message)
        except RpcError as error:
            logger.info("limits not told", extra={"peer": row.identity, "why": str(error)})
            self._permits.heard.update(lives)
            return
        self._again_at.pop(row.identity, None)
        told = self._told.setdefault(row.identity, {})
        told.update((record.life, record.per_second) for record in records)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
