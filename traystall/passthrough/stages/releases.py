"""Give results up at their workers, and tell who counts the room that they took."""

import asyncio
import logging
from collections.abc import Callable

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.passthrough.context import PassContext
from traystall.passthrough.exceptions import ExchangeError, TargetHeldBack
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.stages.piece_calls import request_bytes
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import StageFreed

# Results are collected this long, in seconds, so that a worker gets one call for many.
_COLLECT_SECONDS = 0.01
_CALL_TIMEOUT = 1.0
# A worker that has not answered is told again after a pause, in seconds: with the time-outs
# these outlast the four seconds for which the pages' workers keep a result.
_MORE_TRIES = 3
# Results whose worker takes no call for them are collected so long at least, in seconds.
_HELD_BACK_SECONDS = 0.5
_PAUSE_SECONDS = 0.2

logger = logging.getLogger(__name__)


class Releases:
    """Hold the results that are to be given up, and where the room of each is counted.

    Who batched the pieces is told, whoever batches now: it counts the room of their results.
    While two data centres see different batchers, room that is told to the wrong one would
    seem taken until the results' lifetime is over. Beside a lossy data centre 9 to 12 of the about
    11 heavy results that a worker holds were such, for two seconds (ages logged at each call).
    """

    def __init__(
        self,
        context: PassContext,
        links: LinkPool,
        count_here: Callable[[str, list[str]], None],
    ):
        self._context = context
        self._links = links
        # Takes in the pool and handles of results that this gateway itself has counted.
        self._count_here = count_here
        self._waiting: dict[tuple[str, str], list[str]] = {}
        # The links' address of the gateway that batched a result, unless it is this one.
        self._counted_at: dict[str, str] = {}
        # Since when results wait that their worker takes no call for.
        self._held_back_since: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def note_batched(self, handles: list[str], address: str) -> None:
        """Note that the gateway at `address` has batched the pieces of some results."""
        for handle in handles:
            if handle:
                self._counted_at[handle] = address

    def give_up(self, pool: str, handles: list[str]) -> None:
        """Give results of a pool up, soon and many at a time."""
        if not self._waiting:
            self._spawn(self._send_soon())
        for handle in handles:
            worker = self._context.stage_dialect.worker(handle)
            self._waiting.setdefault((pool, worker), []).append(handle)

    def close(self) -> None:
        """End what is under way."""
        for task in self._tasks:
            task.cancel()

    async def _send_soon(self):
        await asyncio.sleep(_COLLECT_SECONDS)
        batches, self._waiting = self._waiting, {}
        for (pool, worker), handles in batches.items():
            self._spawn(self._send(pool, worker, handles))

    async def _send(self, pool, worker, handles):
        """Tell the worker, then who counts its room: before that it is still taken.

        A worker that did not answer has mostly heard it all the same; it is told again to be sure.
        """
        view = self._context.board.at_address(worker)
        if view is not None and not await self._outlast_rest(view, pool):
            for handle in handles:
                self._counted_at.pop(handle, None)
            return
        try:
            # A worker that is gone holds nothing.
            if view is not None and not await self._call(view, worker, handles):
                self._spawn(self._call_again(view, worker, handles))
        except TargetHeldBack:
            await self._give_up_later(pool, handles, view)
            return
        counted: dict[str, list[str]] = {}
        for handle in handles:
            self._held_back_since.pop(handle, None)
            counted.setdefault(self._counted_at.pop(handle, ""), []).append(handle)
        for address, found in counted.items():
            await self._tell(address, pool, found)

    async def _outlast_rest(self, view, pool) -> bool:
        """Wait until a worker has rested; False if it drops the results sooner by itself.

        Their room then counts as taken until their lifetime is over.
        """
        lifetime = self._result_lifetime(pool)
        began = clock.monotonic()
        while (now := clock.monotonic()) < view.availability.backoff_until:
            if lifetime and view.availability.backoff_until - began > lifetime:
                return False
            await asyncio.sleep(view.availability.backoff_until - now)
        return True

    async def _give_up_later(self, pool, handles, view):
        """Give results up with others when their worker takes a call that may as well be left out.

        Work goes first there. What it drops sooner by itself counts as taken until then.
        """
        now = clock.monotonic()
        wait = max(_HELD_BACK_SECONDS, view.blocked_until() - now)
        wait = max(wait, view.limit.spare_closed_until - now)
        lifetime = self._result_lifetime(pool)
        kept = []
        for handle in handles:
            since = self._held_back_since.setdefault(handle, now)
            if lifetime and now + wait - since > lifetime:
                del self._held_back_since[handle]
                self._counted_at.pop(handle, None)
            else:
                kept.append(handle)
        if kept:
            await asyncio.sleep(wait)
            self.give_up(pool, kept)

    def _result_lifetime(self, pool) -> float:
        """Return how long workers of a pool keep results, in seconds; 0 if that is not known."""
        found = self._context.index.pools.get(pool)
        return found.batches.result_lifetime if found and found.batches else 0.0

    async def _tell(self, address, pool, handles):
        if not address:
            self._count_here(pool, handles)
            return
        try:
            await self._links.link(address).send(StageFreed(pool=pool, handles=handles))
        except RpcError as error:
            logger.debug("batcher not told", extra={"why": str(error)})

    async def _call_again(self, view, worker, handles):
        for _ in range(_MORE_TRIES):
            await asyncio.sleep(_PAUSE_SECONDS)
            try:
                if await self._call(view, worker, handles):
                    return
            except TargetHeldBack:
                continue

    async def _call(self, view, worker, handles) -> bool:
        """Return whether the worker has answered; raise TargetHeldBack if it takes no call now."""
        call = self._context.stage_dialect.free(handles)
        try:
            async with (
                asyncio.timeout(_CALL_TIMEOUT),
                Attempt(view, self._context.names, None, is_work=False) as attempt,
            ):
                await attempt.open(float("inf"))
                headers = {self._context.names.expected_incarnation: view.identity}
                attempt.send(request_bytes(call, worker, headers))
                await attempt.read_response()
        except TargetHeldBack:
            raise
        except (ExchangeError, TimeoutError) as error:
            logger.info("results not given up", extra={"worker": worker, "why": str(error)})
            return False
        return True

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
