"""The calls of orders: what an engine holds, and what it shall load."""

import json
from collections.abc import AsyncIterator, Callable

import aiohttp

from traystall.control.exceptions import LeaseLost
from traystall.systems.orders import EngineState, Loaded
from traystall.tables.entities import Target

_STATE_TIMEOUT_SECONDS = 1.0


class OrderClient:
    """Call engines; `may_order(term)` says whether the lease of a term still holds."""

    def __init__(self, may_order: Callable[[int], bool]):
        self._may_order = may_order
        # No connection is kept, so that the client never resends an order by itself.
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def observe(self, target: Target) -> EngineState | None:
        """Return what a target holds and loads, or None if it does not say."""
        timeout = aiohttp.ClientTimeout(total=_STATE_TIMEOUT_SECONDS)
        try:
            url = f"http://{target.address}/v1/state"
            async with self._session.get(url, timeout=timeout) as response:
                body = await response.json()
            return EngineState(
                target.name, _loaded(body.get("ready", [])), _loaded(body.get("loading", []))
            )
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
            return None

    async def send(self, target: Target, body: dict, timeout_seconds: float) -> str:
        """Give an order; return the status of the answer, or the name of what went wrong."""
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

    async def _body_under_lease(self, data: bytes, term: int) -> AsyncIterator[bytes]:
        """Yield the body only if the lease still holds at the moment of writing.

        A daemon that was frozen after it decided to order must not finish the
        order when it wakes; a request cut before its body is not acted on.
        """
        if not self._may_order(term):
            raise LeaseLost("The lease ended before the order was written.")
        yield data


def _loaded(items):
    return frozenset(Loaded(item["name"], item["version"]) for item in items)
