"""Free results at their workers, and notify the batchers that count the results' memory."""

import asyncio
import logging
from collections.abc import Callable

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.context import PassContext
from traystall.passthrough.exceptions import ExchangeError, TargetHeldBack
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.stages.piece_calls import request_bytes
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import StageFreed

# Results are collected this long, so that a worker gets one call for many of them.
_COLLECT_SECONDS = 0.01
_CALL_TIMEOUT_SECONDS = 1.0
# A call without an answer is retried after a pause. Retries, pauses and timeouts together outlast
# the four seconds for which workers keep a result by specification.
_MAX_RETRIES = 3
# Shortest delay of results whose worker takes no calls because of its rate limit or backoff.
_MIN_HELD_BACK_SECONDS = 0.5
_RETRY_PAUSE_SECONDS = 0.2

logger = logging.getLogger(__name__)


class ResultReleases:
    """Collect the results to be freed, and remember which batcher counts the memory of each.

    The notification goes to the gateway that batched the pieces, even if another gateway is the
    batcher now, because the former counts the memory of the results. While gateways of two data
    centres see different batchers, a notification to the wrong one would leave the memory counted
    as used until the results expire. Next to a data centre with packet loss this affected 9 to 12
    of the about 11 heavy results that a worker holds, for two seconds (ages logged at each call).
    """

    def __init__(
        self,
        context: PassContext,
        links: LinkPool,
        free_locally: Callable[[str, list[str]], None],
    ):
        self._context = context
        self._links = links
        # Called with the pool and handles of freed results that this gateway counts.
        self._free_locally = free_locally
        self._waiting: dict[tuple[str, str], list[str]] = {}
        # The RPC address of the gateway that batched a result, unless it is this gateway.
        self._batcher_addresses: dict[str, str] = {}
        # Since when results wait because their worker takes no calls for them.
        self._held_back_since: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def note_batched(self, handles: list[str], address: str) -> None:
        """Record that the gateway at `address` batched the pieces of some results."""
        for handle in handles:
            if handle:
                self._batcher_addresses[handle] = address

    def release(self, pool: str, handles: list[str]) -> None:
        """Free results of a pool after a short delay, many in one call."""
        if not self._waiting:
            self._spawn(self._flush_soon())
        for handle in handles:
            worker = self._context.stage_dialect.worker(handle)
            self._waiting.setdefault((pool, worker), []).append(handle)

    def close(self) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    async def _flush_soon(self):
        await asyncio.sleep(_COLLECT_SECONDS)
        batches, self._waiting = self._waiting, {}
        for (pool, worker), handles in batches.items():
            self._spawn(self._send(pool, worker, handles))

    async def _send(self, pool, worker, handles):
        """Call the worker, then notify the batchers: until the call the memory is still in use.

        A worker that did not answer has usually processed the call; the retry makes sure of it.
        """
        view = self._context.board.at_address(worker)
        if view is not None and not await self._wait_out_backoff(view, pool):
            for handle in handles:
                self._batcher_addresses.pop(handle, None)
            return
        try:
            # A worker that is gone holds no results.
            if view is not None and not await self._call(view, worker, handles):
                self._spawn(self._retry_call(view, worker, handles))
        except TargetHeldBack:
            await self._release_later(pool, handles, view)
            return
        counted: dict[str, list[str]] = {}
        for handle in handles:
            self._held_back_since.pop(handle, None)
            counted.setdefault(self._batcher_addresses.pop(handle, ""), []).append(handle)
        for address, found in counted.items():
            await self._notify_batcher(address, pool, found)

    async def _wait_out_backoff(self, view, pool) -> bool:
        """Wait for the end of a worker's backoff; return False if the results expire before that.

        Expired results count as memory in use until the end of their lifetime.
        """
        lifetime = self._result_lifetime(pool)
        began = clock.monotonic()
        while (now := clock.monotonic()) < view.availability.backoff_until:
            if lifetime and view.availability.backoff_until - began > lifetime:
                return False
            await asyncio.sleep(view.availability.backoff_until - now)
        return True

    async def _release_later(self, pool, handles, view):
        """Queue results again once their worker takes calls that carry no work.

        Work takes precedence within a worker's rate limit. Results that would expire before that
        are dropped here and count as memory in use until the end of their lifetime.
        """
        now = clock.monotonic()
        wait = max(_MIN_HELD_BACK_SECONDS, view.blocked_until() - now)
        wait = max(wait, view.limit.spare_closed_until - now)
        lifetime = self._result_lifetime(pool)
        retained = []
        for handle in handles:
            since = self._held_back_since.setdefault(handle, now)
            if lifetime and now + wait - since > lifetime:
                del self._held_back_since[handle]
                self._batcher_addresses.pop(handle, None)
            else:
                retained.append(handle)
        if retained:
            await asyncio.sleep(wait)
            self.release(pool, retained)

    def _result_lifetime(self, pool) -> float:
        """Return how long workers of a pool keep results, in seconds; 0 if unknown."""
        found = self._context.index.pools.get(pool)
        return found.batches.result_lifetime if found and found.batches else 0.0

    async def _notify_batcher(self, address, pool, handles):
        if not address:
            self._free_locally(pool, handles)
            return
        try:
            await self._links.link(address).send(StageFreed(pool=pool, handles=handles))
        except RpcError as error:
            logger.debug("could not notify the batcher", extra={"why": str(error)})

    async def _retry_call(self, view, worker, handles):
        for _ in range(_MAX_RETRIES):
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
            try:
                if await self._call(view, worker, handles):
                    return
            except TargetHeldBack:
                continue

    async def _call(self, view, worker, handles) -> bool:
        """Return whether the worker answered; raise TargetHeldBack if it takes no calls now."""
        call = self._context.stage_dialect.free(handles)
        try:
            async with (
                PeerTimeout(_CALL_TIMEOUT_SECONDS),
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
