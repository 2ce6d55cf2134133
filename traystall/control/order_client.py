"""The calls of orders: what an engine holds, and what it shall load."""

import json
from collections.abc import AsyncIterator, Callable

import aiohttp

from traystall.control.exceptions import LeaseLost
from traystall.core import clock
from traystall.permits.exceptions import PermitDenied
from traystall.permits.permits import Permits
from traystall.systems.orders import EngineState, LoadedModel
from traystall.systems.retry_after import RETRY_AFTER, SERVICE_UNAVAILABLE, parse_retry_after
from traystall.systems.target_limits import LIMIT_HEADER, parse_limit
from traystall.tables.availability import Availability
from traystall.tables.entities import Target

_STATE_TIMEOUT_SECONDS = 1.0
_OK = 200
# The outcome of an order that was not sent since its target has asked for rest.
RESTING = "resting"
# The outcome of an order that was not sent since others have what its target takes.
LIMITED = "limited"
# Statuses from here on are failures.
_FAILURES = 500


class OrderClient:
    """Call engines; `may_order(term)` says whether the lease of a term still holds.

    `permits` asks the gateways that lend what an engine takes.
    """

    def __init__(self, may_order: Callable[[int], bool], permits: Permits):
        self._may_order = may_order
        self._permits = permits
        # What targets have asked of this daemon, by address.
        self._asked: dict[str, Availability] = {}
        # No connection is kept, so that the client never resends an order by itself.
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def observe(self, target: Target) -> EngineState | None:
        """Return what a target holds and loads, or None if it does not say or rests."""
        if self._rests(target) or not await self._is_lent(target, is_spare=True):
            return None
        timeout = aiohttp.ClientTimeout(total=_STATE_TIMEOUT_SECONDS)
        sent_at = clock.monotonic()
        try:
            url = f"http://{target.address}/v1/state"
            async with self._session.get(url, timeout=timeout) as response:
                self._note(target, response, sent_at)
                if response.status != _OK:
                    # Its body tells nothing: one that is busy seemed to hold no model.
                    return None
                body = await response.json()
            return EngineState(
                target.name, _loaded(body.get("ready", [])), _loaded(body.get("loading", []))
            )
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
            return None

    async def send(self, target: Target, body: dict, timeout_seconds: float) -> str:
        """Give an order; return the status of the answer, or the name of what went wrong."""
        if self._rests(target):
            return RESTING
        if not await self._is_lent(target):
            return LIMITED
        sent_at = clock.monotonic()
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        url = f"http://{target.address}/v1/orders"
        content = self._body_under_lease(json.dumps(body).encode(), body["term"])
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(
                url, data=content, headers=headers, timeout=timeout
            ) as response:
                self._note(target, response, sent_at, is_work=True)
                return str(response.status)
        except (aiohttp.ClientError, TimeoutError, LeaseLost) as error:
            return type(error).__name__

    def _rests(self, target):
        availability = self._asked.get(target.address)
        if availability is None or availability.is_backing_off(clock.monotonic()):
            return availability is not None
        del self._asked[target.address]
        return False

    async def _is_lent(self, target, is_spare=False) -> bool:
        """Return whether an engine takes one more request of all processes together."""
        life = _life(target)
        if not self._permits.limit(life).is_limited:
            return True
        try:
            await self._permits.take(life, target.data_centre, is_spare=is_spare)
        except PermitDenied:
            return False
        return True

    def _note(self, target, response, sent_at, is_work=False):
        """Take in what a target asks for: orders and questions wait as well."""
        self._note_limit(target, response, sent_at, is_work)
        if response.status != SERVICE_UNAVAILABLE:
            return
        seconds = parse_retry_after(
            response.headers.getall(RETRY_AFTER, []), response.headers.get("Date")
        )
        if seconds:
            availability = self._asked.setdefault(target.address, Availability())
            availability.request_backoff(seconds, "", clock.monotonic())

    def _note_limit(self, target, response, sent_at, is_work):
        """Take in a limit; only an answer to work that is no failure shows that one has ended."""
        word = parse_limit(response.headers.getall(LIMIT_HEADER, []))
        if word is None:
            return
        if word.per_second is not None or (is_work and response.status < _FAILURES):
            self._permits.observe_answer(_life(target), word, sent_at, "")

    async def _body_under_lease(self, data: bytes, term: int) -> AsyncIterator[bytes]:
        """Yield the body only if the lease still holds at the moment of writing.

        A daemon that was frozen after it decided to order must not finish the
        order when it wakes; a request cut before its body is not acted on.
        """
        if not self._may_order(term):
            raise LeaseLost("The lease ended before the order was written.")
        yield data


def _life(target: Target) -> str:
    """Return the name under which all processes know an engine's limit."""
    return f"{target.name}@{target.address}"


def _loaded(items):
    return frozenset(LoadedModel(item["name"], item["version"]) for item in items)
