"""Forward a request to a gateway in one of the customer's data centres.

This gateway is outside of them: it reads only the headers, stores no part of the body and logs no
payload.
"""

import logging

import aiohttp
from aiohttp import web

from traystall.core.logs import decision
from traystall.gateway import problems
from traystall.gateway.context import GatewayContext
from traystall.gateway.parsing import DEADLINE_HEADER, RELAYED_HEADER, Envelope
from traystall.gateway.problems import Refusal
from traystall.systems.residency import may_relay, relay_candidates
from traystall.tables.requests import RunState

_CONNECT_SECONDS = 0.5
_GRACE_SECONDS = 1.0
_CHUNK_BYTES = 64 * 1024
_FORWARDED_HEADERS = ("Content-Type", "Retry-After", "Cache-Control")
_HOP_HEADERS = {"host", "connection", "transfer-encoding", "content-length", "keep-alive"}

logger = logging.getLogger(__name__)


class Relay:
    """Forward requests of customers whose data must not be processed in this data centre."""

    def __init__(self, context: GatewayContext):
        self._context = context
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the client session; every relayed request gets a new connection."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, trust_env=False
        )

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def forward(self, request: web.Request, envelope: Envelope) -> web.StreamResponse:
        """Stream the response of the first reachable gateway; raise Refusal if there is none."""
        if envelope.relayed:
            raise Refusal(problems.PLACE_CHANGED, "Two gateways disagree on the places.")
        if not may_relay(envelope.customer):
            raise Refusal(problems.TRANSIT_REFUSED, "Call a gateway inside its data centres.")
        inside = relay_candidates(
            envelope.customer,
            self._context.follower.directory,
            self._context.identity,
            self._context.random,
        )
        for gateway in inside:
            response = await self._forward_to(request, envelope, gateway)
            if response is not None:
                return response
        raise Refusal(problems.OUT_OF_PLACE, "Try again shortly.", 2)

    async def _forward_to(self, request, envelope, gateway):
        """Return the response, or None if no connection to the gateway could be established."""
        decision(
            "relay",
            customer=envelope.customer.name,
            chosen=gateway.instance,
            target_data_centre=gateway.data_centre,
        )
        total = envelope.deadline_seconds + _GRACE_SECONDS
        timeout = aiohttp.ClientTimeout(total=total, connect=_CONNECT_SECONDS)
        try:
            async with self._session.post(
                f"http://{gateway.address}{request.rel_url}",
                data=request.content.iter_chunked(_CHUNK_BYTES),
                headers=self._headers(request, envelope),
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                return await self._stream_response(request, answer)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return None
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            if request.transport is None or request.task.cancelling():
                raise
            raise Refusal(
                problems.OUT_OF_PLACE, type(error).__name__, 2, RunState.MAY_HAVE_RUN
            ) from error

    def _headers(self, request, envelope):
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in _HOP_HEADERS
        }
        headers[RELAYED_HEADER] = self._context.settings.instance
        headers[DEADLINE_HEADER] = str(max(1, int(envelope.deadline_seconds * 1000)))
        return headers

    async def _stream_response(self, request, answer):
        outgoing = web.StreamResponse(
            status=answer.status,
            headers={
                name: answer.headers[name] for name in _FORWARDED_HEADERS if name in answer.headers
            },
        )
        await outgoing.prepare(request)
        try:
            async for chunk in answer.content.iter_any():
                await outgoing.write(chunk)
            await outgoing.write_eof()
        except (aiohttp.ClientError, TimeoutError):
            # The headers are sent: abort the connection to show that the response is incomplete.
            if request.transport is not None:
                request.transport.abort()
        return outgoing
