"""Call whoever leads the group now, this daemon or another."""

import asyncio

from traystall.control.node import Node
from traystall.control.service import ControlService
from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcRefused, RpcTimeout, RpcUnavailable
from traystall.rpc.client import LinkPool

_RETRY_SECONDS = 0.05
_CALL_TIMEOUT = 1.0


class LeaderCalls:
    """Send calls that may be repeated to the leader, and follow it when it changes."""

    def __init__(self, node: Node, service: ControlService, links: LinkPool):
        self._node = node
        self._service = service
        self._links = links

    async def call(self, request, timeout: float):
        """Return the leader's reply; raise RpcError if none came within `timeout` seconds."""
        deadline = clock.monotonic() + timeout
        error: RpcError = RpcUnavailable("No leader is known.")
        while (left := deadline - clock.monotonic()) > 0:
            try:
                return await self._call_once(request, left)
            except RpcRefused as refusal:
                if refusal.code not in ("not-leader", "in-doubt"):
                    raise
                error = refusal
            except RpcError as failure:
                error = failure
            await asyncio.sleep(min(_RETRY_SECONDS, max(0.0, deadline - clock.monotonic())))
        raise error

    async def _call_once(self, request, left):
        if self._node.replica.is_leader:
            try:
                async with asyncio.timeout(left):
                    return await self._service.handle(request)
            except TimeoutError as error:
                raise RpcTimeout("The change was not confirmed in time.") from error
        address = self._node.leader_address()
        if not address:
            raise RpcUnavailable("No leader is known.")
        return await self._links.link(address).call(request, min(left, _CALL_TIMEOUT))
