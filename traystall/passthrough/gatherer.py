"""Bring pieces of many gateways together, so that targets get full batches.

For each pool one live gateway, the same in everyone's view, gathers the pieces
of all. Gathering is for efficiency only: when the gatherer can't be reached or
stops answering, a gateway calls the targets itself; a piece may be made twice.
"""

import asyncio
import logging

from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.passthrough.attempt import Attempt
from traystall.passthrough.context import PassContext
from traystall.passthrough.exceptions import ExchangeError
from traystall.passthrough.owners import gathering_key
from traystall.passthrough.piece_queue import PieceQueue
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    PingReply,
    PingRequest,
    StageCancel,
    StageFreed,
    StageReply,
    StageRequest,
)

# While a gatherer holds pieces it is asked this often, in seconds, whether it is there.
_PING_SECONDS = 0.15
_PING_TIMEOUT = 0.15
# Results to be given up are collected this long, in seconds.
_FREE_SECONDS = 0.01
_FREE_TIMEOUT = 1.0

logger = logging.getLogger(__name__)


class Gatherer:
    """Send pieces to the gatherer of their pool, or gather them here."""

    def __init__(self, context: PassContext, links: LinkPool):
        self._context = context
        self._links = links
        self._queues: dict[str, PieceQueue] = {}
        self._to_free: dict[tuple[str, str], list[str]] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self, request: StageRequest) -> StageReply:
        """Return the handles of all pieces of one stage, or why there are none."""
        owner = self._owner(request.pool)
        if owner is None:
            return await self.run_here(request)
        try:
            return await self._run_at(owner, request)
        except RpcError as error:
            self._context.owners.suspect(owner.identity)
            decision(
                "gather-here",
                request=request.request_id,
                stage=request.stage,
                gatherer=owner.identity,
                why=str(error),
            )
        return await self.run_here(request)

    async def run_here(self, request: StageRequest) -> StageReply:
        """Gather the pieces of one stage at this gateway."""
        return await self._queue(request.pool).run(request)

    def cancel(self, call_id: str) -> None:
        """Drop the pieces of a call that nobody waits for any more."""
        for queue in self._queues.values():
            queue.cancel(call_id)

    async def ping(self, request: PingRequest) -> PingReply:
        """Answer that this gateway is there."""
        return PingReply(identity=self._context.identity)

    def freed_here(self, pool: str, handles: list[str]) -> None:
        """Take in that results of a pool were given up."""
        queue = self._queues.get(pool)
        if queue is not None:
            queue.freed(handles)

    def free(self, pool: str, handles: list[str]) -> None:
        """Give results up at their makers, soon and many at a time."""
        if not self._to_free:
            self._spawn(self._free_soon())
        for handle in handles:
            maker = self._context.stage_dialect.maker(handle)
            self._to_free.setdefault((pool, maker), []).append(handle)

    def pump(self) -> None:
        """Call targets that have come free or are new."""
        for queue in self._queues.values():
            queue.pump()

    def close(self) -> None:
        """End what is under way."""
        for task in self._tasks:
            task.cancel()

    # ---- another gateway gathers ----

    def _owner(self, pool):
        return self._context.owners.owner(gathering_key(pool))

    async def _run_at(self, owner, request):
        link = self._links.link(owner.rpc_address)
        call = asyncio.create_task(link.call(request, max(0.1, request.seconds_left)))
        watch = asyncio.create_task(self._watch(link))
        try:
            await asyncio.wait({call, watch}, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            return watch.result()  # Raises what the watch has found.
        except asyncio.CancelledError:
            self._spawn(self._send(link, StageCancel(call_id=request.call_id)))
            raise
        finally:
            watch.cancel()
            call.cancel()
            await asyncio.gather(call, watch, return_exceptions=True)

    async def _watch(self, link):
        """Raise an RpcError once the gatherer doesn't answer."""
        while True:
            await asyncio.sleep(_PING_SECONDS)
            await link.call(PingRequest(sender=self._context.identity), _PING_TIMEOUT)

    async def _send(self, link, message):
        try:
            await link.send(message)
        except RpcError as error:
            logger.debug("gatherer not told", extra={"why": str(error)})

    # ---- this gateway gathers ----

    def _queue(self, pool):
        found = self._queues.get(pool)
        if found is None:
            found = self._queues[pool] = PieceQueue(self._context, pool)
        return found

    # ---- giving results up ----

    async def _free_soon(self):
        await asyncio.sleep(_FREE_SECONDS)
        batches, self._to_free = self._to_free, {}
        for (pool, maker), handles in batches.items():
            self._spawn(self._free_and_tell(pool, maker, handles))

    async def _free_and_tell(self, pool, maker, handles):
        """Give results up, then tell who counts the room: before that it is still taken."""
        await self._free_at(maker, handles)
        owner = self._owner(pool)
        if owner is None:
            self.freed_here(pool, handles)
        else:
            link = self._links.link(owner.rpc_address)
            await self._send(link, StageFreed(pool=pool, handles=handles))

    async def _free_at(self, maker, handles):
        view = self._context.board.at_address(maker)
        if view is None:
            return  # A maker that is gone holds nothing.
        call = self._context.stage_dialect.free(handles)
        data = (
            f"{call.method} {call.path} HTTP/1.1\r\nHost: {maker}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(call.body)}\r\n\r\n"
        ).encode() + call.body
        try:
            async with (
                asyncio.timeout(_FREE_TIMEOUT),
                Attempt(view, self._context.names, None) as attempt,
            ):
                await attempt.open(float("inf"))
                attempt.send(data)
                await attempt.read_whole()
        except (ExchangeError, TimeoutError) as error:
            logger.info("results not given up", extra={"maker": maker, "why": str(error)})

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
