"""Client for the group's current leader, which may be this daemon or another."""

import asyncio

from traystall.control.node import Node
from traystall.control.service import ControlService
from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcRefused, RpcTimeout, RpcUnavailable
from traystall.rpc.client import LinkPool
from traystall.rpc.messages import encode
from traystall.rpc.pacing import transfer_seconds

_RETRY_INTERVAL_SECONDS = 0.05
_CALL_TIMEOUT_SECONDS = 1.0
# Interval between checks whether the called daemon is still the leader.
_REVIEW_INTERVAL_SECONDS = 0.05


class LeaderClient:
    """Send calls to the leader and retry them when it changes; they must be safe to repeat."""

    def __init__(self, node: Node, service: ControlService, links: LinkPool):
        self._node = node
        self._service = service
        self._links = links

    async def call(self, request, timeout: float):
        """Return the leader's reply; raise RpcError if none came within `timeout` seconds."""
        deadline = clock.monotonic() + timeout
        # The timeout grows with the request's size. Otherwise a large request would be sent again
        # while earlier copies of it still fill the link.
        max_call_seconds = _CALL_TIMEOUT_SECONDS + transfer_seconds(len(encode(request)))
        error: RpcError = RpcUnavailable("No leader is known.")
        while (left := deadline - clock.monotonic()) > 0:
            try:
                return await self._call_once(request, left, max_call_seconds)
            except RpcRefused as refusal:
                if refusal.code not in ("not-leader", "in-doubt"):
                    raise
                error = refusal
            except RpcError as failure:
                error = failure
            await asyncio.sleep(
                min(_RETRY_INTERVAL_SECONDS, max(0.0, deadline - clock.monotonic()))
            )
        raise error

    async def _call_once(self, request, left, max_call_seconds):
        if self._node.replica.is_leader:
            try:
                async with asyncio.timeout(left):
                    return await self._service.handle(request)
            except TimeoutError as error:
                raise RpcTimeout("The change was not confirmed in time.") from error
        address = self._node.leader_address()
        if not address:
            raise RpcUnavailable("No leader is known.")
        return await self._call_at(address, request, min(left, max_call_seconds))

    async def _call_at(self, address, request, seconds):
        """Return the reply of one daemon; raise RpcUnavailable once another leader is known."""
        call = asyncio.create_task(self._links.link(address).call(request, seconds))
        try:
            while not call.done():
                await asyncio.wait({call}, timeout=_REVIEW_INTERVAL_SECONDS)
                if not call.done() and self._node.leader_address() not in ("", address):
                    raise RpcUnavailable(f"{address} does not lead any more.")
            return call.result()
        finally:
            call.cancel()
