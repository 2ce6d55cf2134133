"""A slow transfer of a large configuration must not remove a gateway from the directory.

No watch is sent during a transfer. Without a record of the gateway in the chunk requests it is
silent for 7.5 of 7.6 s. Gateways that are silent for 5 s are dropped, with the batching and
placement that they do.
"""

import asyncio

from tests.gateway.test_transfer import Source, random_entities
from traystall.gateway.configuration import ConfigurationFollower
from traystall.rpc.gen.wire.ttypes import GatewayRecord, TransferRequest, WatchRequest
from traystall.tables.gateways import GATEWAY_TIMEOUT_SECONDS

# Duration of one chunk, as on a narrow link with other traffic.
CHUNK_SECONDS = 0.5


class Daemon:
    """A control daemon that replies to watches at once and to chunk requests slowly."""

    def __init__(self, source, seen):
        self.source, self.seen = source, seen

    async def call(self, request, timeout):
        if isinstance(request, WatchRequest):
            self.seen.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.05)
            reply = self.source.offer()
            reply.fresh = True
            return reply
        assert isinstance(request, TransferRequest)
        assert request.gateway.identity == "g"
        self.seen.append(asyncio.get_running_loop().time())
        await asyncio.sleep(CHUNK_SECONDS)
        return self.source.copies.chunk(request)


def test_gateway_reports_itself_during_a_transfer():
    entities = random_entities(60)
    seen = []
    daemons = {name: Daemon(Source(entities), seen) for name in ("a", "b")}

    class Links:
        def link(self, address):
            return daemons[address]

    async def scenario():
        follower = ConfigurationFollower(
            Links(), ["a", "b"], [], lambda: GatewayRecord(identity="g", number=0)
        )
        following = asyncio.create_task(follower.follow_forever())
        # As PassGateway does for each announcement of a registry: at most two at a time.
        running = set()
        began = asyncio.get_running_loop().time()
        while not follower.held.number:
            if len(running) < 2:
                task = asyncio.create_task(follower.fetch_from("b"))
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(0.1)
        ended = asyncio.get_running_loop().time()
        following.cancel()
        gaps = [b - a for a, b in zip(seen, [*seen[1:], ended], strict=True) if b <= ended]
        return ended - began, max(gaps)

    seconds, silent = asyncio.run(scenario())
    assert silent < GATEWAY_TIMEOUT_SECONDS, f"silent for {silent:.1f} of {seconds:.1f} s"
