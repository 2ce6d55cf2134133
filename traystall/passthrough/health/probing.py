"""Probe unreachable data centres in the background.

The probes find out when a data centre is reachable again, so that no request has to wait for a
timeout to do so.
"""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.passthrough.context import PassContext
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import PingRequest

_PROBE_INTERVAL_SECONDS = 0.4
_PROBE_TIMEOUT_SECONDS = 0.35
# Number of gateways of a data centre that one probe contacts.
_PROBED_GATEWAYS = 2


class DataCentreProber:
    """Ping gateways in each unreachable data centre."""

    def __init__(self, context: PassContext, links: LinkPool):
        self._context = context
        self._links = links

    async def probe_forever(self) -> None:
        """Probe all unreachable data centres at a fixed interval."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
            for data_centre in self._context.places.unreachable():
                await self.probe(data_centre)

    async def probe(self, data_centre: str) -> None:
        """Ping gateways of a data centre; without a response its outage is extended."""
        rows = [
            row
            for row in self._context.follower.directory
            if row.data_centre == data_centre and row.state == "serving"
        ]
        chosen = self._context.random.sample(rows, min(_PROBED_GATEWAYS, len(rows)))
        responses = await asyncio.gather(*(self._ping(row.rpc_address) for row in chosen))
        if any(responses):
            self._context.places.on_response(data_centre)
            decision("data-centre-heard", of=data_centre)
        elif chosen:
            self._context.places.extend_outage(data_centre, clock.monotonic())

    async def _ping(self, address) -> bool:
        request = PingRequest(sender=self._context.identity)
        try:
            await self._links.link(address).call(request, _PROBE_TIMEOUT_SECONDS)
        except RpcError:
            return False
        return True
