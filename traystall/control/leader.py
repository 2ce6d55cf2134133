"""Call whoever leads the group now, this daemon or another."""

import asyncio

from traystall.control.node import Node
from traystall.control.service import ControlService
from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcRefused, RpcTimeout, RpcUnavailable
from traystall.rpc.client import LinkPool
from traystall.rpc.messages import encode
from traystall.rpc.pacing import transfer_seconds

_RETRY_SECONDS = 0.05
_CALL_TIMEOUT = 1.0
# How often is looked whether the daemon that is asked still leads, in seconds.
_REVIEW_SECONDS = 0.05


class LeaderCalls:
    """Send calls that may be repeated to the leader, and follow it when it changes."""

    def __init__(self, node: Node, service: ControlService, links: LinkPool):
        self._node = node
        self._service = service
        self._links = links

    async def call(self, request, timeout: float):
        """Return the leader's reply; raise RpcError if none came within `timeout` seconds."""
        deadline = clock.monotonic() + timeout
        # A time-out that doesn't grow with it sends a large request again behind its own copies.
        longest = _CALL_TIMEOUT + transfer_seconds(len(encode(request)))
        error: RpcError = RpcUnavailable("No leader is known.")
        while (left := deadline - clock.monotonic()) > 0:
            try:
                return await self._call_once(request, left, longest)
            except RpcRefused as refusal:
                if refusal.code not in ("not-leader", "in-doubt"):
                    raise
                error = refusal
            except RpcError as failure:
                error = failure
            await asyncio.sleep(min(_RETRY_SECONDS, max(0.0, deadline - clock.monotonic())))
        raise error

    async def _call_once(self, request, left, longest):
        if self._node.replica.is_leader:
            try:
                async with asyncio.timeout(left):
                    return await self._service.handle(request)
            except TimeoutError as error:
                raise RpcTimeout("The change was not confirmed in time.") from error
        address = self._node.leader_address()
        if not address:
            raise RpcUnavailable("No leader is known.")
        return await self._call_at(address, request, min(left, longest))

    async def _call_at(self, address, request, seconds):
        """Return the reply of one daemon; give it up as soon as another one is known to lead."""
        call = asyncio.create_task(self._links.link(address).call(request, seconds))
        try:
            while not call.done():
                await asyncio.wait({call}, timeout=_REVIEW_SECONDS)
                if not call.done() and self._node.leader_address() not in ("", address):
                    raise RpcUnavailable(f"{address} does not lead any more.")
            return call.result()
        finally:
            call.cancel()
