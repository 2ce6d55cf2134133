"""Keep the requests of this gateway to cold targets within its share of their rate limit."""

from traystall.core import clock
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.health.cold import (
    ColdStartLimit,
    RecentRequestCounter,
    coordinator_allowance,
    gateway_allowance,
)
from traystall.routes.models import Pool

# Stands for a pool that the configuration does not declare.
_NO_POOL = Pool("")


class ColdStartLimiter:
    """Limit the requests to cold targets in pools that declare a rate for them."""

    def __init__(self, context, rule: ColdStartLimit):
        self._context = context
        self._rule = rule
        self._recent = RecentRequestCounter()

    def may_send(self, view: TargetView, *, as_coordinator: bool = False) -> bool:
        """Return whether a target may get one more request now.

        `as_coordinator` tells that this gateway sends the requests of all gateways.
        """
        now = clock.monotonic()
        pool = self._pool(view.report.pool)
        if now >= view.cold_until or not pool.cold_per_second:
            return True
        return self._recent.count(view.identity, now) < self._allowance(view, pool, as_coordinator)

    def record_sent(self, view: TargetView) -> None:
        """Record a request to a target, which may be cold now or become cold within the window."""
        if self._pool(view.report.pool).cold_per_second:
            self._recent.record(view.identity, clock.monotonic())

    def mark_cold(self, data_centre: str) -> None:
        """Treat the targets of a restored data centre as cold until they report otherwise."""
        board = self._context.board
        board.mark_data_centre_cold(data_centre, self._cold_seconds, clock.monotonic())

    def retain(self) -> None:
        """Drop the counts of targets that no longer exist."""
        self._recent.retain(self._context.board.identities())

    def _allowance(self, view, pool, as_coordinator) -> int:
        if as_coordinator:
            return coordinator_allowance(self._rule, pool.cold_per_second)
        # For pools of engines and of batching workers, one gateway acts for all others: it places
        # the prompts, or it batches the pieces.
        divides_all = pool.engine is None and pool.batches is None
        return gateway_allowance(
            self._rule,
            pool.cold_per_second,
            view.identity,
            self._context.identity,
            [row.identity for row in self._context.follower.directory],
            divides_all=divides_all,
        )

    def _cold_seconds(self, name) -> float:
        return self._pool(name).cold_seconds

    def _pool(self, name) -> Pool:
        return self._context.index.pools.get(name, _NO_POOL)
