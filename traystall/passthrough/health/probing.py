"""Find out whether a data centre that was taken for cut off can be reached again.

Asked in the background, so that no request has to find out by waiting.
"""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.passthrough.context import PassContext
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import PingRequest

_PROBE_SECONDS = 0.4
_PROBE_TIMEOUT = 0.35
# So many gateways of a data centre are asked at once.
_PEERS = 2


class DataCentreProber:
    """Ask gateways of each data centre that is out whether they are there."""

    def __init__(self, context: PassContext, links: LinkPool):
        self._context = context
        self._links = links

    async def probe_forever(self) -> None:
        """Ask again and again."""
        while True:
            await asyncio.sleep(_PROBE_SECONDS)
            for data_centre in self._context.places.unreachable():
                await self.probe(data_centre)

    async def probe(self, data_centre: str) -> None:
        """Ask one data centre; it stays out as long as nobody there answers."""
        rows = [
            row
            for row in self._context.follower.directory
            if row.data_centre == data_centre and row.state == "serving"
        ]
        chosen = self._context.random.sample(rows, min(_PEERS, len(rows)))
        heard = await asyncio.gather(*(self._ping(row.rpc_address) for row in chosen))
        if any(heard):
            self._context.places.on_response(data_centre)
            decision("data-centre-heard", of=data_centre)
        elif chosen:
            self._context.places.extend_outage(data_centre, clock.monotonic())

    async def _ping(self, address) -> bool:
        request = PingRequest(sender=self._context.identity)
        try:
            await self._links.link(address).call(request, _PROBE_TIMEOUT)
        except RpcError:
            return False
        return True
