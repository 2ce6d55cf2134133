"""Collect the pieces of many gateways at one batcher, so that targets get full batches.

The gateways of a cell agree on one live gateway, the batcher. It batches the pieces of all pools of
the cell and decides on the admission of requests, since it knows the load of all queues. Batching
only improves efficiency: if the batcher is unreachable or stops answering, a gateway tries the next
one and finally calls the targets itself. A piece may then run twice.
"""

import asyncio
import logging
from collections import Counter
from itertools import islice

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.passthrough.admission.budget import STAGE_CALL_SHARE
from traystall.passthrough.admission.controller import (
    AdmissionController,
    AdmissionDecision,
    AdmissionRequest,
)
from traystall.passthrough.context import PassContext
from traystall.passthrough.stages.cells import cell_of
from traystall.passthrough.stages.homes import StageLocality, stage_locality
from traystall.passthrough.stages.piece_queue import PieceQueue
from traystall.passthrough.stages.releases import ResultReleases
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    PingReply,
    PingRequest,
    StageCancel,
    StageReply,
    StageRequest,
)

# The reason of pieces of a request that was not admitted.
BUSY = "busy"
# How many batchers a gateway tries before it calls the targets itself.
_MAX_BATCHERS = 3
# Interval of health checks while a batcher processes a stage request.
_PING_INTERVAL_SECONDS = 0.15
# Longer than the retransmission of a lost packet: packet loss alone must not move the ownership.
_PING_TIMEOUT_SECONDS = 0.35
# Time after a stage's deadline in which the batcher can report that the stage is late: several
# times the retransmission of a lost packet on a link of 1.4 ms.
_REPLY_MARGIN_SECONDS = 0.3
# How long a request may wait for admission: a ratio of its route's latency goal, or for a request
# that its caller retries, of its remaining time.
_ADMISSION_WAIT_RATIO = 0.2
_RETRY_WAIT_RATIO = 0.4
# Interval at which a waiting request is checked for admission.
_ADMISSION_POLL_SECONDS = 0.05

logger = logging.getLogger(__name__)


class Batcher:
    """Send pieces to the batcher of their cell, or batch them locally."""

    def __init__(self, context: PassContext, links: LinkPool):
        self._context = context
        self._links = links
        # Keyed by cell and pool.
        self._queues: dict[tuple[str, str], PieceQueue] = {}
        # Keyed by cell.
        self._admission_controllers: dict[str, AdmissionController] = {}
        # Keyed by cell: the last known waits of its shared pools in seconds, and when they came in.
        self._queue_waits: dict[str, tuple[dict[str, float], float]] = {}
        # Ids of stage calls whose requests wait for admission.
        self._awaiting_admission: set[str] = set()
        self._releases = ResultReleases(context, links, self.on_results_freed)
        self._tasks: set[asyncio.Task] = set()

    async def run(self, request: StageRequest) -> StageReply:
        """Return the result handles of all pieces of one stage, or the reasons for a failure."""
        self._context.budget(request.pool).on_request(clock.monotonic(), STAGE_CALL_SHARE)
        for _ in range(_MAX_BATCHERS):
            owner = self._owner(self._cell(request))
            if owner is None:
                break
            try:
                self._attach_queue_waits(request)
                reply = await self._run_remotely(owner, request)
            except RpcError as error:
                self._mark_unavailable(owner, request, error)
                continue
            self._releases.note_batched(reply.handles, owner.rpc_address)
            if reply.waits:
                self._queue_waits[self._cell(request)] = (reply.waits, clock.monotonic())
            return reply
        self._attach_queue_waits(request)
        return await self.run_locally(request)

    def latest_queue_waits(self) -> dict[str, dict[str, float]]:
        """Return the waits of shared pools in seconds that batchers last reported, by cell."""
        return {cell: waits for cell, (waits, _) in self._queue_waits.items()}

    def _attach_queue_waits(self, request):
        """Attach the last known waits of the cell's queues, for a batcher that has taken over."""
        waits, at = self._queue_waits.get(self._cell(request), (None, 0.0))
        if waits:
            request.waits, request.waits_age = waits, clock.monotonic() - at

    def _mark_unavailable(self, owner, request, error):
        """Mark a batcher as unavailable, so that the next one in order becomes the owner."""
        self._context.owners.on_error(owner.identity, error)
        decision(
            "batcher-left",
            request=request.request_id,
            stage=request.stage,
            batcher=owner.identity,
            why=str(error),
        )

    async def run_locally(self, request: StageRequest) -> StageReply:
        """Batch the pieces of one stage at this gateway, or refuse a request that starts."""
        cell = self._cell(request)
        if request.waits:
            age = request.waits_age or 0.0
            self._admission_controller(cell).merge_peer_waits(request.waits, age, clock.monotonic())
        verdict = await self._wait_for_admission(request, cell)
        if not verdict.admitted:
            backoff = self._backoff_seconds(request)
            after_backoff = self._context.spread_retry_after(backoff) if backoff else 0.0
            retry_after = max(verdict.retry_after, after_backoff)
            return StageReply(
                handles=[],
                reasons=[BUSY] * len(request.pieces),
                retry_after=retry_after,
                waits=self._admission_controller(cell).waits(clock.monotonic()) or None,
            )
        book = self._admission_controller(cell)
        book.requested(request.request_id, request.stage)
        reply = await self._queue(cell, request.pool).run(request, self._locality(request))
        now = clock.monotonic()
        reply.waits = book.waits(now) or None
        if all(reply.handles):
            book.made(request.request_id, request.stage, self._usual_seconds(request), now)
        return reply

    def _backoff_seconds(self, request) -> float:
        """Return the seconds until no pool of a request has all targets in backoff, or 0."""
        route = self._context.index.route_named(request.route)
        pools = {stage.pool for stage in route.stages} if route is not None else set()
        places = tuple(request.places or ())
        return max((self._context.backoff_left(pool, places) for pool in pools), default=0.0)

    def _locality(self, request) -> StageLocality:
        """Return the preferred data centre of a stage by its inputs and its results' readers."""
        route = self._context.index.route_named(request.route)
        counts = request.counts or []
        if route is None or len(counts) != len(route.stages):
            return StageLocality(request.data_centre or "", request.away_bytes or 0)
        inputs = self._input_bytes_by_data_centre(route, counts, request)
        return stage_locality(
            route.stages, counts, request.stage, inputs, request.data_centre or ""
        )

    def _input_bytes_by_data_centre(self, route, counts, request) -> Counter[str]:
        """Return the input bytes of each piece of a stage, by the data centre that holds them."""
        held: Counter[str] = Counter()
        handles = iter(request.inputs or ())
        for earlier in route.stages[request.stage].after:
            for handle in islice(handles, counts[earlier]):
                worker = self._context.stage_dialect.worker(handle)
                held[worker] += route.stages[earlier].result_bytes
        found: Counter[str] = Counter()
        for worker, size in held.items():
            view = self._context.board.at_address(worker)
            if view is not None:  # A target that is gone holds no results.
                found[view.report.data_centre] += size
        return found

    def _usual_seconds(self, request) -> float:
        """Return the duration of a request's longest chain of stages without queueing."""
        route = self._context.index.route_named(request.route)
        if route is None:
            return 0.0
        ends: list[float] = []
        for index, stage in enumerate(route.stages):
            start = max((ends[earlier] for earlier in stage.after), default=0.0)
            count = request.counts[index] if request.counts else 0
            own = self._context.usual_stage_seconds(stage.pool) if count else 0.0
            ends.append(start + own)
        return max(ends, default=0.0)

    def cancel(self, call_id: str, request_id: str) -> None:
        """Drop the pieces of a cancelled stage call and end its request."""
        self._awaiting_admission.discard(call_id)
        self._end_request(request_id)
        for queue in self._queues.values():
            queue.cancel(call_id)

    def abandon(self, request_id: str, data_centre: str) -> None:
        """End a request here and notify its batcher that no stages of it will follow."""
        self._end_request(request_id)
        owner = self._owner(cell_of(request_id, data_centre, self._context.cells()))
        if owner is not None:
            message = StageCancel(call_id="", request_id=request_id)
            self._spawn(self._send(self._links.link(owner.rpc_address), message))

    async def ping(self, request: PingRequest) -> PingReply:
        """Answer a health check."""
        return PingReply(identity=self._context.identity)

    def on_results_freed(self, pool: str, handles: list[str]) -> None:
        """Count results of a pool as freed in the queues of this gateway."""
        for (_, name), queue in self._queues.items():
            if name == pool:
                queue.freed(handles)

    def free(self, pool: str, handles: list[str]) -> None:
        """Free results at their workers."""
        self._releases.release(pool, handles)

    async def drain(self, seconds: float) -> None:
        """Return once no stage call waits for pieces that are batched here, or after `seconds`."""
        deadline = clock.monotonic() + seconds
        while clock.monotonic() < deadline and any(q.is_busy() for q in self._queues.values()):
            await asyncio.sleep(0.02)

    def dispatch(self) -> None:
        """Dispatch waiting pieces to targets that are free or new."""
        for queue in self._queues.values():
            queue.dispatch()

    def close(self) -> None:
        """Cancel the background tasks."""
        self._releases.close()
        for task in self._tasks:
            task.cancel()

    # ---- batching at another gateway ----

    def _owner(self, cell):
        return self._context.batching_owner(cell)

    def _cell(self, request) -> str:
        data_centre = request.data_centre or ""
        return cell_of(request.request_id, data_centre, self._context.cells())

    async def _run_remotely(self, owner, request):
        link = self._links.link(owner.rpc_address)
        seconds = max(0.1, request.seconds_left) + _REPLY_MARGIN_SECONDS
        call = asyncio.create_task(link.call(request, seconds))
        health_check = asyncio.create_task(self._monitor(link))
        try:
            await asyncio.wait({call, health_check}, return_when=asyncio.FIRST_COMPLETED)
            # A failed health check raises its error.
            return call.result() if call.done() else health_check.result()
        except asyncio.CancelledError:
            self._spawn(self._cancel_remotely(owner, request, call))
            raise
        except RpcError:
            call.cancel()
            raise
        finally:
            # There is no await from here on, since a reply would be lost with its results if this
            # task were cancelled there.
            health_check.cancel()
            for task in (call, health_check):
                task.add_done_callback(_retrieve_error)

    async def _cancel_remotely(self, owner, request, call):
        """Cancel a stage call at its batcher, and free the results that it returns all the same."""
        message = StageCancel(call_id=request.call_id, request_id=request.request_id)
        await self._send(self._links.link(owner.rpc_address), message)
        try:
            reply = await call
        except RpcError as error:
            logger.debug("no reply to a cancelled stage call", extra={"why": str(error)})
            return
        self._releases.note_batched(reply.handles, owner.rpc_address)
        self.free(request.pool, [handle for handle in reply.handles if handle])

    async def _monitor(self, link):
        """Raise an RpcError once the batcher fails a health check."""
        while True:
            await asyncio.sleep(_PING_INTERVAL_SECONDS)
            await link.call(PingRequest(sender=self._context.identity), _PING_TIMEOUT_SECONDS)

    async def _send(self, link, message):
        try:
            await link.send(message)
        except RpcError as error:
            logger.debug("could not notify the batcher", extra={"why": str(error)})

    # ---- batching at this gateway ----

    async def _wait_for_admission(self, request, cell) -> AdmissionDecision:
        """Return the verdict on a request; a request that is refused at first may wait a while."""
        verdict = self._admit(request, cell, 0.0)
        if verdict.admitted or request.refuse_at_once:
            return verdict
        started_at = clock.monotonic()
        patience = self._max_admission_wait(request, verdict)
        waited = 0.0
        if self._backoff_seconds(request) > patience or verdict.seconds_to_admission > patience:
            # The request can't be admitted within its allowed wait.
            self._record_refusal(request, cell, verdict, waited)
            return verdict
        self._awaiting_admission.add(request.call_id)
        try:
            while not verdict.admitted and request.call_id in self._awaiting_admission:
                if waited + _ADMISSION_POLL_SECONDS > patience:
                    self._record_refusal(request, cell, verdict, waited)
                    break
                await asyncio.sleep(_ADMISSION_POLL_SECONDS)
                waited = clock.monotonic() - started_at
                verdict = self._admit(request, cell, waited)
        finally:
            self._awaiting_admission.discard(request.call_id)
        request.seconds_left -= waited
        request.seconds_to_start -= waited
        return verdict

    def _max_admission_wait(self, request, verdict) -> float:
        """Return how long a request may wait for admission, in seconds.

        A refusal is most useful to a caller within a quarter of the latency goal. In pools with
        capacity shares a retried request waits no longer than others, because shares alone decide
        whose turn it is.
        """
        if verdict.came_back and not verdict.shared:
            return (request.seconds_left or 0.0) * _RETRY_WAIT_RATIO
        route = self._context.index.route_named(request.route)
        return route.aim * _ADMISSION_WAIT_RATIO if route is not None else 0.0

    def _record_refusal(self, request, cell, verdict, waited):
        self._admission_controller(cell).record_refusal(request.mark or "", clock.monotonic())
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
                for (queue_cell, name), queue in self._queues.items()
                if queue_cell == cell
            },
            retry_after=round(verdict.retry_after, 3),
        )

    def _admit(self, request, cell, waited) -> AdmissionDecision:
        route = self._context.index.route_named(request.route)
        if route is None or len(request.counts or ()) != len(route.stages):
            return AdmissionDecision(True, 0.0)
        now = clock.monotonic()
        admission_request = AdmissionRequest(
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
        book = self._admission_controller(cell)
        verdict = book.admit(admission_request, loads, now, self._context.shared_pools())
        if verdict.shared:
            metrics.shared_part.set({"route": route.name}, verdict.part)
            for pool, wait in book.waits(now).items():
                metrics.shared_pool_wait.set({"pool": pool}, wait)
        return verdict

    def _admission_controller(self, cell) -> AdmissionController:
        return self._admission_controllers.setdefault(cell, AdmissionController())

    def _end_request(self, request_id):
        for book in self._admission_controllers.values():
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


def _retrieve_error(task: asyncio.Task) -> None:
    """Keep the event loop from reporting an error that nobody awaits any more."""
    if not task.cancelled():
        task.exception()
