"""Place prompts on engines through the placer of a pool, or locally if it does not respond.

The placer of a pool is the one gateway that places its prompts for all gateways.
"""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcTimeout
from traystall.core.logs import decision
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.ownership.owners import placing_key
from traystall.passthrough.placement.engines import (
    EngineCandidate,
    EnginePlacer,
    PlacementQuery,
    PromptPart,
)
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import PlaceNote, PlaceReply, PlaceRequest

# A slower response costs more than a worse choice of the engine.
_REQUEST_TIMEOUT_SECONDS = 0.06
# After this many timeouts in a row the request goes to another gateway.
_MAX_TIMEOUT_COUNT = 3
_STARTED = "started"
_ENDED = "ended"
# Interval at which engines that are gone and placements without a reported end are removed.
_RETAIN_INTERVAL_SECONDS = 5.0

logger = logging.getLogger(__name__)


class PlacementService:
    """Place prompts on engines for this gateway and for the peers that send their prompts to it."""

    def __init__(self, context, links: LinkPool):
        self._context = context
        self._links = links
        self._placers: dict[str, EnginePlacer] = {}
        self._tasks: set[asyncio.Task] = set()
        self._retain_due = 0.0
        self._timeout_count = 0

    async def choose_engine(self, passed: PassRequest, book: bool) -> TargetView | None:
        """Return the engine for a request; `book` adds the prompt to the load of that engine."""
        request = _place_request(passed, self._excluded(passed), book)
        owner = self._context.owners.owner(placing_key(passed.pool))
        if owner is not None:
            view = await self._ask(owner, request)
            # The placer may know targets of other versions that are not known here.
            if view is not None and passed.version in (None, view.report.version):
                if book:
                    self._set_placer(passed, owner.rpc_address)
                return view
        if book:
            self._set_placer(passed, "")
        # Other targets may have appeared, or asked for rest, while the placer was asked.
        request.excluded = self._excluded(passed)
        reply = self._place(request, as_coordinator=owner is None)
        return self._context.board.view(reply.identity) if reply.identity else None

    def book_again(self, passed: PassRequest, view: TargetView, is_started: bool) -> None:
        """Add a request to the load of the engine that runs it, because it did not leave it."""
        self.ended(passed)
        others = [v.identity for v in self._context.board.pool(passed.pool) if v is not view]
        request = _place_request(passed, others, True)
        if passed.placer_address:
            self._start(self._send_booking(self._links.link(passed.placer_address), request))
        else:
            self._place(request, as_coordinator=False)
        if is_started:
            self.started(passed)

    def _set_placer(self, passed, address):
        """Record which gateway has booked a request; end its booking at another one."""
        if passed.placer_address != address:
            self.ended(passed)
        passed.placer_address = address

    def place_for_peer(self, request: PlaceRequest) -> PlaceReply:
        """Place a prompt for another gateway."""
        return self._place(request, as_coordinator=True)

    def _place(self, request, *, as_coordinator) -> PlaceReply:
        """Place a prompt by local state; `as_coordinator` is set at the placer of the pool."""
        now = clock.monotonic()
        placer = self._placer(request.pool, now)
        placement = PlacementQuery(
            request.request_id,
            tuple(
                PromptPart(name, size)
                for name, size in zip(request.parts or (), request.sizes or (), strict=False)
            ),
            request.tokens or 0,
            request.data_centre or "",
            request.input_bytes or 0,
        )
        places = tuple(request.places or ())
        candidates = self._candidates(
            request.pool, set(request.excluded or ()), places, as_coordinator
        )
        if request.book:
            identity = placer.place(placement, candidates, now)
            if identity:
                self._context.cold.record_sent(self._context.board.view(identity))
            return PlaceReply(identity=identity)
        return PlaceReply(identity=placer.best_engine(placement, candidates, now))

    def started(self, passed: PassRequest) -> None:
        """Report the first event of a request."""
        self._tell(passed, _STARTED)

    def ended(self, passed: PassRequest) -> None:
        """Report the end of a request's attempt."""
        self._tell(passed, _ENDED)

    def on_place_note(self, note: PlaceNote) -> None:
        """Record a report on a placement."""
        now = clock.monotonic()
        placer = self._placer(note.pool, now)
        if note.what == _STARTED:
            placer.started(note.request_id, now)
        else:
            placer.ended(note.request_id, now)

    def close(self) -> None:
        """Cancel the reports that are being sent."""
        for task in self._tasks:
            task.cancel()

    async def _ask(self, owner, request) -> TargetView | None:
        try:
            reply = await self._links.link(owner.rpc_address).call(
                request, _REQUEST_TIMEOUT_SECONDS
            )
        except RpcError as error:
            self._on_error(owner, error)
            decision("place-here", request=request.request_id, why=str(error))
            return None
        self._timeout_count = 0
        view = self._context.board.view(reply.identity or "")
        if view is None or view.is_replaced or self._context.is_evacuated(view):
            return None
        now = clock.monotonic()
        if not view.connections.has_free_connection() or now < view.avoid_until:
            return None
        # The placer may not know that the target is leaving, or that it has asked this gateway
        # alone to back off.
        return view if view.may_send_work(now) else None

    def _excluded(self, passed) -> list[str]:
        """Return the targets that a request must not get now."""
        unavailable = self._context.board.unavailable(passed.pool, clock.monotonic())
        excluded = self._context.excluded_targets(passed) | unavailable
        eligible = self._context.board.eligible(passed.pool, passed.places)
        left = [view for view in eligible if view.identity not in excluded]
        # The placer may not have found out that they are silent.
        silent = {view.identity for view in left if view.is_silent}
        return sorted(excluded | silent if len(silent) < len(left) else excluded)

    def _on_error(self, owner, error):
        """Exclude a placer that is gone or that has timed out several times in a row.

        A single timeout may be due to a lost packet.
        """
        self._timeout_count += 1
        if not isinstance(error, RpcTimeout) or self._timeout_count >= _MAX_TIMEOUT_COUNT:
            self._timeout_count = 0
            self._context.owners.on_error(owner.identity, error)

    def _tell(self, passed, what):
        """Record a report here, and send it to the gateway that placed the request.

        The pool may have another placer by now, but only the gateway that placed the request
        counts it.
        """
        note = PlaceNote(pool=passed.pool, request_id=passed.request_id, what=what)
        self.on_place_note(note)
        if passed.placer_address:
            self._start(self._send(self._links.link(passed.placer_address), note))

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_booking(self, link, request):
        try:
            await link.call(request, _REQUEST_TIMEOUT_SECONDS)
        except RpcError as error:
            logger.debug("placement not booked again", extra={"why": str(error)})

    async def _send(self, link, note):
        try:
            await link.send(note)
        except RpcError as error:
            logger.debug("placement report not sent", extra={"why": str(error)})

    def _placer(self, pool, now) -> EnginePlacer:
        placer = self._placers.setdefault(pool, EnginePlacer())
        if now >= self._retain_due:
            self._retain_due = now + _RETAIN_INTERVAL_SECONDS
            for name, held in self._placers.items():
                views = self._context.board.pool(name)
                held.retain({view.identity for view in views}, now)
            self._context.cold.retain()
        return placer

    def _candidates(self, pool, excluded, places, as_coordinator) -> list[EngineCandidate]:
        found = self._context.index.pools.get(pool)
        memory = found.engine.memory_tokens if found and found.engine else 0
        return [
            EngineCandidate(view.identity, view.report.data_centre, memory, view.ratio)
            for view in self._context.usable(pool, places, include_closed=as_coordinator)
            if view.identity not in excluded
            and view.connections.has_free_connection()
            and self._context.cold.may_send(view, as_coordinator=as_coordinator)
        ]


def _place_request(passed, excluded, book) -> PlaceRequest:
    return PlaceRequest(
        pool=passed.pool,
        request_id=passed.request_id,
        parts=[part.name for part in passed.prompt.parts],
        sizes=[part.tokens for part in passed.prompt.parts],
        tokens=passed.prompt.tokens,
        data_centre=passed.stages_data_centre,
        input_bytes=passed.input_bytes,
        excluded=excluded,
        book=book,
        places=list(passed.places),
    )
