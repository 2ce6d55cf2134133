"""Give orders to engines while this daemon holds the leader's lease."""

import asyncio
import itertools
import json
import logging

import aiohttp

from traystall.control.exceptions import LeaseLost
from traystall.control.node import Node
from traystall.core import clock
from traystall.core.logs import decision
from traystall.systems.orders import (
    EngineState,
    LoadBudget,
    Loaded,
    Order,
    plan,
    wait_before_orders,
)
from traystall.tables.configuration import ConfigurationTables
from traystall.tables.entities import Kind

_ROUND_SECONDS = 1.0
_STATE_TIMEOUT = 1.0

logger = logging.getLogger(__name__)


class Orderer:
    """Observe engines and order what the plan asks for."""

    def __init__(self, node: Node):
        self._node = node
        self._sequence = itertools.count(1)
        self._elected: tuple[int, float] = (0, 0.0)
        self._budget = LoadBudget(rate=1.0)
        self._tables = ConfigurationTables()
        self._session: aiohttp.ClientSession | None = None

    async def run_forever(self) -> None:
        """Do a round of orders each second while the lease is held."""
        # No connection is kept, so that the client never resends an order by itself.
        connector = aiohttp.TCPConnector(force_close=True)
        self._session = aiohttp.ClientSession(connector=connector)
        while True:
            await asyncio.sleep(_ROUND_SECONDS)
            if not self._may_order():
                continue
            try:
                await self._round()
            except Exception:  # noqa: BLE001 - one bad round must not end all orders.
                logger.exception("order round failed")

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _may_order(self):
        replica = self._node.replica
        now = clock.monotonic()
        if not replica.holds_lease(now):
            return False
        if self._elected[0] != replica.term:
            self._elected = (replica.term, now)
        return True

    async def _round(self):
        tables = self._current_tables()
        models = tables.models()
        if not models:
            return
        engines = [t for t in tables.targets() if t.kind is Kind.ENGINE]
        found = await asyncio.gather(*(self._observe(target) for target in engines))
        states = {state.target: state for state in found if state is not None}
        policy = tables.order_policy()
        self._budget.rate = policy.loads_per_minute / 60
        orders = plan(models, engines, states, self._budget, clock.monotonic())
        by_name = {target.name: target for target in engines}
        await asyncio.gather(*(self._give(by_name[o.target], o, policy) for o in orders))

    def _current_tables(self):
        catalog = self._node.state.catalog
        if self._tables.number != catalog.number:
            self._tables = ConfigurationTables(catalog.number, catalog.entities)
        return self._tables

    async def _observe(self, target):
        timeout = aiohttp.ClientTimeout(total=_STATE_TIMEOUT)
        try:
            url = f"http://{target.address}/v1/state"
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.json()
            return EngineState(
                target.name, _loaded(body.get("ready", [])), _loaded(body.get("loading", []))
            )
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
            return None

    async def _give(self, target, order: Order, policy):
        term, elected_at = self._elected
        if not target.fencing:
            lease = self._node.replica.timing.lease
            if clock.monotonic() < wait_before_orders(elected_at, lease, policy.order_timeout):
                return
        sequence = next(self._sequence)
        body = {
            "term": term,
            "sequence": sequence,
            "models": [{"name": m.name, "version": m.version} for m in order.models],
        }
        outcome = await self._send(target, body, policy.order_timeout)
        decision(
            "order",
            target=target.name,
            term=term,
            sequence=sequence,
            why=order.why,
            outcome=outcome,
        )

    async def _send(self, target, body, timeout_seconds):
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        url = f"http://{target.address}/v1/orders"
        content = self._body_under_lease(json.dumps(body).encode(), body["term"])
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(
                url, data=content, headers=headers, timeout=timeout
            ) as response:
                return str(response.status)
        except (aiohttp.ClientError, TimeoutError, LeaseLost) as error:
            return type(error).__name__

    async def _body_under_lease(self, data, term):
        """Yield the body only if the lease still holds at the moment of writing.

        A daemon that was frozen after it decided to order must not finish the
        order when it wakes; a request cut before its body is not acted on.
        """
        replica = self._node.replica
        if replica.term != term or not replica.holds_lease(clock.monotonic()):
            raise LeaseLost("The lease ended before the order was written.")
        yield data


def _loaded(items):
    return frozenset(Loaded(item["name"], item["version"]) for item in items)
