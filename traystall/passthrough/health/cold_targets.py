"""Keep what this gateway sends to cold targets within its part of what they bear."""

from traystall.core import clock
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.health.cold import (
    ColdStartLimit,
    RecentRequestCounter,
    coordinator_allowance,
    own_allowance,
)
from traystall.routes.models import Pool

# What is known of a pool that is not declared.
_NO_POOL = Pool("")


class ColdStartLimiter:
    """Count what goes to targets of pools that declare what cold ones bear."""

    def __init__(self, context, rule: ColdStartLimit):
        self._context = context
        self._rule = rule
        self._book = RecentRequestCounter()

    def may_send(self, view: TargetView, *, as_coordinator: bool = False) -> bool:
        """Return whether a target may get one more request now.

        `for_all` says that this gateway sends what all others would.
        """
        now = clock.monotonic()
        pool = self._pool(view.report.pool)
        if now >= view.cold_until or not pool.cold_per_second:
            return True
        return self._book.count(view.identity, now) < self._allowance(view, pool, as_coordinator)

    def record_sent(self, view: TargetView) -> None:
        """Count a request for a target, should it be cold or become so."""
        if self._pool(view.report.pool).cold_per_second:
            self._book.note(view.identity, clock.monotonic())

    def mark_cold(self, data_centre: str) -> None:
        """Take the targets of a restored data centre for cold until they tell otherwise."""
        board = self._context.board
        board.expect_cold(data_centre, self._cold_seconds, clock.monotonic())

    def retain(self) -> None:
        """Forget what was sent to targets that are gone."""
        self._book.retain(self._context.board.identities())

    def _allowance(self, view, pool, as_coordinator) -> int:
        if as_coordinator:
            return coordinator_allowance(self._rule, pool.cold_per_second)
        # One gateway places the prompts of engines and batches the pieces of stages for all.
        is_dealt = pool.engine is None and pool.batches is None
        return own_allowance(
            self._rule,
            pool.cold_per_second,
            view.identity,
            self._context.identity,
            [row.identity for row in self._context.follower.directory],
            dealt=is_dealt,
        )

    def _cold_seconds(self, name) -> float:
        return self._pool(name).cold_seconds

    def _pool(self, name) -> Pool:
        return self._context.index.pools.get(name, _NO_POOL)
