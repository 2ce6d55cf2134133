"""Bring pieces of many gateways together, so that targets get full batches.

One live gateway of each cell, the same in everyone's view, batches the pieces of
all pools, so that it can tell which requests may begin. Batching is for efficiency only: when
the batcher can't be reached or stops answering, a gateway calls the targets
itself; a piece may be made twice.
"""

import asyncio
import logging
from collections import Counter
from itertools import islice

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.passthrough.admission.controller import (
    AdmissionController,
    AdmissionDecision,
    AdmissionRequest,
)
from traystall.passthrough.context import PassContext
from traystall.passthrough.stages.cells import cell_of
from traystall.passthrough.stages.homes import StageHome, home_of_stage
from traystall.passthrough.stages.piece_queue import PieceQueue
from traystall.passthrough.stages.releases import Releases
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    PingReply,
    PingRequest,
    StageCancel,
    StageReply,
    StageRequest,
)

# The reason of pieces of a request that was refused before it began.
BUSY = "busy"
# So many batchers are asked in turn before a gateway calls the targets itself.
_MAX_BATCHERS = 3
# While a batcher holds pieces it is asked this often, in seconds, whether it is there.
_PING_SECONDS = 0.15
# Longer than a lost packet takes to be sent again: loss alone must not move the ownership.
_PING_TIMEOUT = 0.35
# A batcher that ends a stage because its time is over is given so long, in seconds, to say so:
# some times what a lost packet takes to be sent again on a link of 1.4 ms.
_REPLY_SECONDS = 0.3
# The part of the aim that a request may wait to be let in, the part of the time left for one
# that came back, and how often that is asked, in seconds.
_ADMISSION_PART = 0.2
_WAIT_PART = 0.4
_ASK_SECONDS = 0.05

logger = logging.getLogger(__name__)


class Batcher:
    """Send pieces to the gateway that batches, or batch them here."""

    def __init__(self, context: PassContext, links: LinkPool):
        self._context = context
        self._links = links
        # By cell and pool, and by cell.
        self._queues: dict[tuple[str, str], PieceQueue] = {}
        self._books: dict[str, AdmissionController] = {}
        # By cell, how long the queues of its shared pools were, and when that was told.
        self._waits: dict[str, tuple[dict[str, float], float]] = {}
        # Calls whose requests came back and wait to be let in.
        self._wait_for_room: set[str] = set()
        self._releases = Releases(context, links, self.on_results_freed)
        self._tasks: set[asyncio.Task] = set()

    async def run(self, request: StageRequest) -> StageReply:
        """Return the handles of all pieces of one stage, or why there are none."""
        for _ in range(_MAX_BATCHERS):
            owner = self._owner(self._cell(request))
            if owner is None:
                break
            try:
                self._pass_on(request)
                reply = await self._run_at(owner, request)
            except RpcError as error:
                self._leave(owner, request, error)
                continue
            self._releases.note_batched(reply.handles, owner.rpc_address)
            if reply.waits:
                self._waits[self._cell(request)] = (reply.waits, clock.monotonic())
            return reply
        self._pass_on(request)
        return await self.run_locally(request)

    def latest_queue_waits(self) -> dict[str, dict[str, float]]:
        """Return how long the queues of shared pools were, by cell, as this gateway was told."""
        return {cell: waits for cell, (waits, _) in self._waits.items()}

    def _pass_on(self, request):
        """Tell whoever batches what was told last of the queues of its cell."""
        waits, at = self._waits.get(self._cell(request), (None, 0.0))
        if waits:
            request.waits, request.waits_age = waits, clock.monotonic() - at

    def _leave(self, owner, request, error):
        """Note that a batcher does not serve; the next one in order is asked then."""
        self._context.owners.on_error(owner.identity, error)
        decision(
            "batcher-left",
            request=request.request_id,
            stage=request.stage,
            batcher=owner.identity,
            why=str(error),
        )

    async def run_locally(self, request: StageRequest) -> StageReply:
        """Batch the pieces of one stage at this gateway, or refuse a request that begins."""
        cell = self._cell(request)
        if request.waits:
            age = request.waits_age or 0.0
            self._book(cell).merge_peer_waits(request.waits, age, clock.monotonic())
        verdict = await self._let_in(request, cell)
        if not verdict.admitted:
            rest = self._rest(request)
            after_rest = self._context.after_rest(rest) if rest else 0.0
            retry_after = max(verdict.retry_after, after_rest)
            return StageReply(
                handles=[],
                reasons=[BUSY] * len(request.pieces),
                retry_after=retry_after,
                waits=self._book(cell).waits(clock.monotonic()) or None,
            )
        book = self._book(cell)
        book.requested(request.request_id, request.stage)
        reply = await self._queue(cell, request.pool).run(request, self._home(request))
        now = clock.monotonic()
        reply.waits = book.waits(now) or None
        if all(reply.handles):
            book.made(request.request_id, request.stage, self._usual_seconds(request), now)
        return reply

    def _rest(self, request) -> float:
        """Return how long a pool of its stages rests as a whole, in seconds; 0 if none does."""
        route = self._context.index.route_named(request.route)
        pools = {stage.pool for stage in route.stages} if route is not None else set()
        places = tuple(request.places or ())
        return max((self._context.backoff_left(pool, places) for pool in pools), default=0.0)

    def _home(self, request) -> StageHome:
        """Return where a stage is best made, by where its inputs lie and who reads its results."""
        route = self._context.index.route_named(request.route)
        counts = request.counts or []
        if route is None or len(counts) != len(route.stages):
            return StageHome(request.data_centre or "", request.away_bytes or 0)
        inputs = self._input_bytes(route, counts, request)
        return home_of_stage(route.stages, counts, request.stage, inputs, request.data_centre or "")

    def _input_bytes(self, route, counts, request) -> Counter[str]:
        """Return the bytes that each piece of a stage reads, by the data centre where they lie."""
        held: Counter[str] = Counter()
        handles = iter(request.inputs or ())
        for earlier in route.stages[request.stage].after:
            for handle in islice(handles, counts[earlier]):
                worker = self._context.stage_dialect.worker(handle)
                held[worker] += route.stages[earlier].result_bytes
        found: Counter[str] = Counter()
        for worker, size in held.items():
            view = self._context.board.at_address(worker)
            if view is not None:  # One that is gone holds nothing.
                found[view.report.data_centre] += size
        return found

    def _usual_seconds(self, request) -> float:
        """Return how long the longest chain of a request takes without waiting."""
        route = self._context.index.route_named(request.route)
        if route is None:
            return 0.0
        ends: list[float] = []
        for index, stage in enumerate(route.stages):
            begins = max((ends[earlier] for earlier in stage.after), default=0.0)
            count = request.counts[index] if request.counts else 0
            own = self._context.usual_stage_seconds(stage.pool) if count else 0.0
            ends.append(begins + own)
        return max(ends, default=0.0)

    def cancel(self, call_id: str, request_id: str) -> None:
        """Drop the pieces of a call that nobody waits for any more; its request is over."""
        self._wait_for_room.discard(call_id)
        self._end(request_id)
        for queue in self._queues.values():
            queue.cancel(call_id)

    def abandon(self, request_id: str, data_centre: str) -> None:
        """Tell that a request is over and will ask for nothing more."""
        self._end(request_id)
        owner = self._owner(cell_of(request_id, data_centre, self._context.cells()))
        if owner is not None:
            message = StageCancel(call_id="", request_id=request_id)
            self._spawn(self._send(self._links.link(owner.rpc_address), message))

    async def ping(self, request: PingRequest) -> PingReply:
        """Answer that this gateway is there."""
        return PingReply(identity=self._context.identity)

    def on_results_freed(self, pool: str, handles: list[str]) -> None:
        """Take in that results of a pool were given up."""
        for (_, name), queue in self._queues.items():
            if name == pool:
                queue.freed(handles)

    def free(self, pool: str, handles: list[str]) -> None:
        """Give results up."""
        self._releases.give_up(pool, handles)

    async def drain(self, seconds: float) -> None:
        """Return once nobody waits for pieces that are batched here, or after `seconds`."""
        deadline = clock.monotonic() + seconds
        while clock.monotonic() < deadline and any(q.is_busy() for q in self._queues.values()):
            await asyncio.sleep(0.02)

    def dispatch(self) -> None:
        """Call targets that have come free or are new."""
        for queue in self._queues.values():
            queue.dispatch()

    def close(self) -> None:
        """End what is under way."""
        self._releases.close()
        for task in self._tasks:
            task.cancel()

    # ---- another gateway batches ----

    def _owner(self, cell):
        return self._context.batching_owner(cell)

    def _cell(self, request) -> str:
        data_centre = request.data_centre or ""
        return cell_of(request.request_id, data_centre, self._context.cells())

    async def _run_at(self, owner, request):
        link = self._links.link(owner.rpc_address)
        seconds = max(0.1, request.seconds_left) + _REPLY_SECONDS
        call = asyncio.create_task(link.call(request, seconds))
        watch = asyncio.create_task(self._watch(link))
        try:
            await asyncio.wait({call, watch}, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            return watch.result()  # Raises what the watch has found.
        except asyncio.CancelledError:
            self._spawn(
                self._send(
                    link, StageCancel(call_id=request.call_id, request_id=request.request_id)
                )
            )
            raise
        finally:
            watch.cancel()
            call.cancel()
            await asyncio.gather(call, watch, return_exceptions=True)

    async def _watch(self, link):
        """Raise an RpcError once the batcher doesn't answer."""
        while True:
            await asyncio.sleep(_PING_SECONDS)
            await link.call(PingRequest(sender=self._context.identity), _PING_TIMEOUT)

    async def _send(self, link, message):
        try:
            await link.send(message)
        except RpcError as error:
            logger.debug("batcher not told", extra={"why": str(error)})

    # ---- this gateway batches ----

    async def _let_in(self, request, cell) -> AdmissionDecision:
        """Return the verdict on a request, which may wait a while for it."""
        verdict = self._admit(request, cell, 0.0)
        if verdict.admitted or request.refuse_at_once:
            return verdict
        began = clock.monotonic()
        patience = self._patience(request, verdict)
        waited = 0.0
        if self._rest(request) > patience or verdict.seconds_to_admission > patience:
            # Nothing that could happen meanwhile would let it in.
            self._refuse(request, cell, verdict, waited)
            return verdict
        self._wait_for_room.add(request.call_id)
        try:
            while not verdict.admitted and request.call_id in self._wait_for_room:
                if waited + _ASK_SECONDS > patience:
                    self._refuse(request, cell, verdict, waited)
                    break
                await asyncio.sleep(_ASK_SECONDS)
                waited = clock.monotonic() - began
                verdict = self._admit(request, cell, waited)
        finally:
            self._wait_for_room.discard(request.call_id)
        request.seconds_left -= waited
        request.seconds_to_start -= waited
        return verdict

    def _patience(self, request, verdict) -> float:
        """Return how long a request may wait to be let in, in seconds.

        A refusal within a quarter of the aim is worth most to its caller. Where pools are shared by
        parts, who came back waits no longer than others: its turn comes like theirs.
        """
        if verdict.came_back and not verdict.shared:
            return (request.seconds_left or 0.0) * _WAIT_PART
        route = self._context.index.route_named(request.route)
        return route.aim * _ADMISSION_PART if route is not None else 0.0

    def _refuse(self, request, cell, verdict, waited):
        self._book(cell).record_refusal(request.mark or "", clock.monotonic())
        metrics.not_admitted_total.inc({"route": request.route or "", "pool": verdict.binding})
        decision(
            "not-admitted",
            request=request.request_id,
            route=request.route,
            wait=round(verdict.wait, 3),
            slack=round((request.seconds_to_start or 0.0) - waited, 3),
            waited=round(waited, 3),
            came_back=verdict.came_back,
            part=round(verdict.part, 3),
            binding=verdict.binding,
            rates={
                name: round(queue.rate(clock.monotonic()), 1)
                for (place, name), queue in self._queues.items()
                if place == cell
            },
            retry_after=round(verdict.retry_after, 3),
        )

    def _admit(self, request, cell, waited) -> AdmissionDecision:
        route = self._context.index.route_named(request.route)
        if route is None or len(request.counts or ()) != len(route.stages):
            return AdmissionDecision(True, 0.0)
        now = clock.monotonic()
        arrival = AdmissionRequest(
            request_id=request.request_id,
            route=route,
            counts=tuple(request.counts),
            priority=request.priority or 0,
            slack=(request.seconds_to_start or 0.0) - waited,
            seconds_left=(request.seconds_left or 0.0) - waited,
            mark=request.mark or "",
            customer=request.customer or "",
            made=frozenset(range(request.stage)) if request.inputs else frozenset(),
        )
        pools = {stage.pool for stage in route.stages}
        loads = {pool: self._queue(cell, pool).load(now) for pool in pools}
        book = self._book(cell)
        verdict = book.admit(arrival, loads, now, self._context.shared_pools())
        if verdict.shared:
            metrics.shared_part.set({"route": route.name}, verdict.part)
            for pool, wait in book.waits(now).items():
                metrics.shared_pool_wait.set({"pool": pool}, wait)
        return verdict

    def _book(self, cell) -> AdmissionController:
        return self._books.setdefault(cell, AdmissionController())

    def _end(self, request_id):
        for book in self._books.values():
            book.ended(request_id)

    def _queue(self, cell, pool) -> PieceQueue:
        found = self._queues.get((cell, pool))
        if found is None:
            found = self._queues[cell, pool] = PieceQueue(self._context, pool, cell)
        return found

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
