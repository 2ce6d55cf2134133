"""Send orders to engines while this daemon holds the leader's lease."""

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING

from traystall.control.node import Node
from traystall.core import clock
from traystall.core.logs import decision
from traystall.permits.permits import Permits
from traystall.systems.orders import (
    EngineState,
    LoadBudget,
    Order,
    earliest_order_time,
    plan,
)
from traystall.tables.configuration import ConfigurationTables
from traystall.tables.entities import Kind

_ROUND_INTERVAL_SECONDS = 1.0
# An engine that was observed within this time counts as silent, not as gone.
_SILENT_SECONDS = 5.0

if TYPE_CHECKING:
    from traystall.control.order_client import OrderClient

logger = logging.getLogger(__name__)


class OrderSender:
    """Observe the engines and send them the orders that the plan contains."""

    def __init__(self, node: Node, permits: Permits):
        self._node = node
        self._permits = permits
        self._sequence = itertools.count(1)
        self._leadership: tuple[int, float] = (0, 0.0)
        self._budget = LoadBudget(rate=1.0)
        self._tables = ConfigurationTables()
        self._client: OrderClient | None = None
        # The last state of each engine that was observed lately, and when.
        self._last_states: dict[str, tuple[EngineState, float]] = {}

    async def run_forever(self) -> None:
        """Run one round of orders each second while the lease is held."""
        while True:
            await asyncio.sleep(_ROUND_INTERVAL_SECONDS)
            if not self._may_send_orders():
                continue
            try:
                await self._run_round()
            except Exception:  # noqa: BLE001 - a failed round must not stop later ones.
                logger.exception("order round failed")

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.close()

    def _may_send_orders(self):
        replica = self._node.replica
        now = clock.monotonic()
        if not replica.holds_lease(now):
            return False
        if self._leadership[0] != replica.term:
            self._leadership = (replica.term, now)
        return True

    async def _run_round(self):
        tables = self._current_tables()
        models = tables.models()
        if not models:
            return
        self._permits.refresh_lenders()
        client = self._open_client()
        engines = [t for t in tables.targets() if t.kind is Kind.ENGINE]
        observed = await asyncio.gather(*(client.observe(target) for target in engines))
        now = clock.monotonic()
        states = {state.target: state for state in observed if state is not None}
        self._last_states.update({name: (state, now) for name, state in states.items()})
        self._last_states = {
            name: (state, at)
            for name, (state, at) in self._last_states.items()
            if now - at <= _SILENT_SECONDS
        }
        silent = {n: state for n, (state, _) in self._last_states.items() if n not in states}
        policy = tables.order_policy()
        self._budget.rate = policy.loads_per_minute / 60
        orders = plan(models, engines, states, self._budget, now, silent)
        by_name = {target.name: target for target in engines}
        await asyncio.gather(*(self._send_order(by_name[o.target], o, policy) for o in orders))

    def _current_tables(self):
        catalog = self._node.state.catalog
        if self._tables.number != catalog.number:
            self._tables = ConfigurationTables(catalog.number, catalog.entities)
        return self._tables

    async def _send_order(self, target, order: Order, policy):
        term, elected_at = self._leadership
        if not target.fencing:
            lease = self._node.replica.timing.lease
            if clock.monotonic() < earliest_order_time(elected_at, lease, policy.order_timeout):
                return
        sequence = next(self._sequence)
        body = {
            "term": term,
            "sequence": sequence,
            "models": [{"name": m.name, "version": m.version} for m in order.models],
        }
        outcome = await self._open_client().send(target, body, policy.order_timeout)
        decision(
            "order",
            target=target.name,
            term=term,
            sequence=sequence,
            why=order.why,
            outcome=outcome,
        )

    def _holds_lease(self, term):
        replica = self._node.replica
        return replica.term == term and replica.holds_lease(clock.monotonic())

    def _open_client(self):
        """Return the client; its HTTP library is imported when it is first needed.

        Most groups send no orders, and the import takes 0.2 s of CPU time.
        """
        if self._client is None:
            from traystall.control.order_client import OrderClient

            self._client = OrderClient(self._holds_lease, self._permits)
        return self._client
