"""A gateway that fetches a large configuration slowly must not fall out of the directory.

While it fetched, no watch went out: it was silent for 7.5 of 7.6 s, and gateways that are silent
for 5 s are dropped, with what they batch and place.
"""

import asyncio

from tests.gateway.test_transfer import Source, random_entities
from traystall.gateway.configuration import ConfigurationFollower
from traystall.rpc.gen.wire.ttypes import GatewayRecord, TransferRequest, WatchRequest
from traystall.tables.gateways import GATEWAY_TIMEOUT_SECONDS

# One chunk takes so long, in seconds: a narrow link beside traffic.
CHUNK_SECONDS = 0.5


class Daemon:
    """A control daemon that answers watches at once and chunks slowly."""

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


def test_gateway_is_heard_of_while_it_fetches():
    entities = random_entities(60)
    seen = []
    daemons = {name: Daemon(Source(entities), seen) for name in ("a", "b")}

    class Links:
        def link(self, address):
            return daemons[address]

    async def play():
        follower = ConfigurationFollower(
            Links(), ["a", "b"], [], lambda: GatewayRecord(identity="g", number=0)
        )
        following = asyncio.create_task(follower.follow_forever())
        # As PassGateway does on each word of a registry: two at a time at the most.
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

    seconds, silent = asyncio.run(play())
    assert silent < GATEWAY_TIMEOUT_SECONDS, f"silent for {silent:.1f} of {seconds:.1f} s"
