"""Client for engines: query which models they hold, and order which ones to load."""

import json
from collections.abc import AsyncIterator, Callable

import aiohttp

from traystall.control.exceptions import LeaseLost
from traystall.core import clock
from traystall.core.limited_body import read_limited
from traystall.core.peer_timeout import PeerTimeout
from traystall.permits.exceptions import PermitDenied
from traystall.permits.permits import Permits
from traystall.systems.orders import EngineState, LoadedModel
from traystall.systems.retry_after import RETRY_AFTER, SERVICE_UNAVAILABLE, parse_retry_after
from traystall.systems.target_limits import LIMIT_HEADER, parse_limit
from traystall.tables.availability import Availability
from traystall.tables.entities import Target

_STATE_TIMEOUT_SECONDS = 1.0
_OK = 200
# Outcome of an order that was not sent because its target asked for a backoff (Retry-After).
BACKING_OFF = "resting"
# Outcome of an order that was not sent because other processes hold the target's permits.
RATE_LIMITED = "limited"
# HTTP statuses from this one on are failures.
_MIN_FAILURE_STATUS = 500


class OrderClient:
    """Call engines; `holds_lease(term)` returns whether the leader's lease of a term still holds.

    `permits` requests permits for rate-limited engines from the gateways that grant them.
    """

    def __init__(self, holds_lease: Callable[[int], bool], permits: Permits):
        self._holds_lease = holds_lease
        self._permits = permits
        # Targets that asked this daemon for a backoff, by address.
        self._availability: dict[str, Availability] = {}
        # Connections are not reused, so that the client never resends an order on its own.
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def observe(self, target: Target) -> EngineState | None:
        """Return a target's ready and loading models; None if unknown, backing off or limited."""
        if self._is_backing_off(target) or not await self._acquire_permit(target, is_spare=True):
            return None
        sent_at = clock.monotonic()
        try:
            url = f"http://{target.address}/v1/state"
            async with (
                PeerTimeout(_STATE_TIMEOUT_SECONDS),
                self._session.get(url, timeout=aiohttp.ClientTimeout()) as response,
            ):
                self._record_announcements(target, response, sent_at)
                if response.status != _OK:
                    # The body of an error holds no state: a busy engine would appear to hold no
                    # models.
                    return None
                body = json.loads(await read_limited(response))
            return EngineState(
                target.name, _to_models(body.get("ready", [])), _to_models(body.get("loading", []))
            )
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
            return None

    async def send(self, target: Target, body: dict, timeout_seconds: float) -> str:
        """Send an order; return the response status, or the name of the reason or exception."""
        if self._is_backing_off(target):
            return BACKING_OFF
        if not await self._acquire_permit(target):
            return RATE_LIMITED
        sent_at = clock.monotonic()
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        url = f"http://{target.address}/v1/orders"
        content = self._body_under_lease(json.dumps(body).encode(), body["term"])
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(
                url, data=content, headers=headers, timeout=timeout
            ) as response:
                self._record_announcements(target, response, sent_at, is_work=True)
                return str(response.status)
        except (aiohttp.ClientError, TimeoutError, LeaseLost) as error:
            return type(error).__name__

    def _is_backing_off(self, target):
        availability = self._availability.get(target.address)
        if availability is None or availability.is_backing_off(clock.monotonic()):
            return availability is not None
        del self._availability[target.address]
        return False

    async def _acquire_permit(self, target, is_spare=False) -> bool:
        """Return whether the engine's limit, shared by all processes, allows one more request."""
        limit_key = _limit_key(target)
        if not self._permits.limit(limit_key).is_limited:
            return True
        try:
            await self._permits.take(limit_key, target.data_centre, is_spare=is_spare)
        except PermitDenied:
            return False
        return True

    def _record_announcements(self, target, response, sent_at, is_work=False):
        """Record a limit or backoff that a target announced; it holds for orders and queries."""
        self._record_limit(target, response, sent_at, is_work)
        if response.status != SERVICE_UNAVAILABLE:
            return
        seconds = parse_retry_after(
            response.headers.getall(RETRY_AFTER, []), response.headers.get("Date")
        )
        if seconds:
            availability = self._availability.setdefault(target.address, Availability())
            availability.request_backoff(seconds, "", clock.monotonic())

    def _record_limit(self, target, response, sent_at, is_work):
        """Record an announced limit; only a successful response to work proves that one ended."""
        announced = parse_limit(response.headers.getall(LIMIT_HEADER, []))
        if announced is None:
            return
        if announced.per_second is not None or (is_work and response.status < _MIN_FAILURE_STATUS):
            self._permits.observe_answer(_limit_key(target), announced, sent_at, "")

    async def _body_under_lease(self, data: bytes, term: int) -> AsyncIterator[bytes]:
        """Yield the body only if the lease still holds when it is written.

        A daemon that was suspended after it decided on an order must not complete the order when it
        resumes. An engine does not act on a request that ends before its body.
        """
        if not self._holds_lease(term):
            raise LeaseLost("The lease ended before the order was written.")
        yield data


def _limit_key(target: Target) -> str:
    """Return the key under which all processes share an engine's limit."""
    return f"{target.name}@{target.address}"


def _to_models(items):
    return frozenset(LoadedModel(item["name"], item["version"]) for item in items)
