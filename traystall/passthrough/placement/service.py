"""Ask the gateway that places a pool's prompts, or place here if it does not answer."""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcTimeout
from traystall.core.logs import decision
from traystall.passthrough.entry.request import PassRequest
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.ownership.owners import placing_key
from traystall.passthrough.placement.engines import (
    EngineChoice,
    EnginePlacer,
    Placement,
    PromptPart,
)
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import PlaceNote, PlaceReply, PlaceRequest

# An answer that takes longer than this, in seconds, costs more than a worse choice.
_ASK_TIMEOUT = 0.06
# So many late answers in a row and another gateway is asked.
_MAX_LATE = 3
_STARTED = "started"
_ENDED = "ended"
# Choices for the same request far apart in time are made anew; so are notes out of order.
_RETAIN_SECONDS = 5.0

logger = logging.getLogger(__name__)


class PlacementService:
    """Place prompts on engines, for this gateway and for those that ask it."""

    def __init__(self, context, links: LinkPool):
        self._context = context
        self._links = links
        self._placers: dict[str, EnginePlacer] = {}
        self._tasks: set[asyncio.Task] = set()
        self._retain_due = 0.0
        self._late = 0

    async def choose_engine(self, passed: PassRequest, book: bool) -> TargetView | None:
        """Return the engine for a request; `book` counts the prompt as being read there."""
        request = PlaceRequest(
            pool=passed.pool,
            request_id=passed.request_id,
            parts=[part.name for part in passed.prompt.parts],
            sizes=[part.tokens for part in passed.prompt.parts],
            tokens=passed.prompt.tokens,
            data_centre=passed.stages_data_centre,
            input_bytes=passed.input_bytes,
            excluded=sorted(passed.tried | self._held_back(passed.pool)),
            book=book,
            places=list(passed.places),
        )
        owner = self._context.owners.owner(placing_key(passed.pool))
        if owner is not None:
            view = await self._ask(owner, request)
            if view is not None:
                passed.placer_address = owner.rpc_address
                return view
        passed.placer_address = ""
        reply = self._place(request, as_coordinator=owner is None)
        return self._context.board.view(reply.identity) if reply.identity else None

    def place_for_peer(self, request: PlaceRequest) -> PlaceReply:
        """Place a prompt for another gateway."""
        return self._place(request, as_coordinator=True)

    def _place(self, request, *, as_coordinator) -> PlaceReply:
        """Place a prompt by what this gateway knows; `for_all` if it places for all gateways."""
        now = clock.monotonic()
        placer = self._placer(request.pool, now)
        placement = Placement(
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
        choices = self._choices(request.pool, set(request.excluded or ()), places, as_coordinator)
        if request.book:
            identity = placer.place(placement, choices, now)
            if identity:
                self._context.cold.record_sent(self._context.board.view(identity))
            return PlaceReply(identity=identity)
        return PlaceReply(identity=placer.likely(placement, choices, now))

    def started(self, passed: PassRequest) -> None:
        """Tell that a request's first event came."""
        self._tell(passed, _STARTED)

    def ended(self, passed: PassRequest) -> None:
        """Tell that a request's attempt is over."""
        self._tell(passed, _ENDED)

    def on_place_note(self, note: PlaceNote) -> None:
        """Take in what became of a placement."""
        now = clock.monotonic()
        placer = self._placer(note.pool, now)
        if note.what == _STARTED:
            placer.started(note.request_id, now)
        else:
            placer.ended(note.request_id, now)

    def close(self) -> None:
        """End what is under way."""
        for task in self._tasks:
            task.cancel()

    async def _ask(self, owner, request) -> TargetView | None:
        try:
            reply = await self._links.link(owner.rpc_address).call(request, _ASK_TIMEOUT)
        except RpcError as error:
            self._on_error(owner, error)
            decision("place-here", request=request.request_id, why=str(error))
            return None
        self._late = 0
        view = self._context.board.view(reply.identity or "")
        if view is None or view.is_replaced or self._context.is_evacuated(view):
            return None
        now = clock.monotonic()
        if not view.connections.has_free_connection() or now < view.avoid_until:
            return None
        # The other gateway may not know that it leaves, and what it asks here binds only this one.
        return view if view.may_send_work(now) else None

    def _held_back(self, pool) -> set[str]:
        return self._context.board.unavailable(pool, clock.monotonic())

    def _on_error(self, owner, error):
        """Leave a placer out that is gone, or that has been late several times in a row.

        A single late answer may be a lost packet.
        """
        self._late += 1
        if not isinstance(error, RpcTimeout) or self._late >= _MAX_LATE:
            self._late = 0
            self._context.owners.on_error(owner.identity, error)

    def _tell(self, passed, what):
        """Tell who placed a request, whoever places now: only there it is counted."""
        note = PlaceNote(pool=passed.pool, request_id=passed.request_id, what=what)
        self.on_place_note(note)
        if passed.placer_address:
            task = asyncio.create_task(self._send(self._links.link(passed.placer_address), note))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, link, note):
        try:
            await link.send(note)
        except RpcError as error:
            logger.debug("placer not told", extra={"why": str(error)})

    def _placer(self, pool, now) -> EnginePlacer:
        placer = self._placers.setdefault(pool, EnginePlacer())
        if now >= self._retain_due:
            self._retain_due = now + _RETAIN_SECONDS
            for name, held in self._placers.items():
                views = self._context.board.pool(name)
                held.retain({view.identity for view in views}, now)
            self._context.cold.retain()
        return placer

    def _choices(self, pool, excluded, places, as_coordinator) -> list[EngineChoice]:
        found = self._context.index.pools.get(pool)
        memory = found.engine.memory_tokens if found and found.engine else 0
        return [
            EngineChoice(view.identity, view.report.data_centre, memory, view.ratio)
            for view in self._context.usable(pool, places, include_closed=as_coordinator)
            if view.identity not in excluded
            and view.connections.has_free_connection()
            and self._context.cold.may_send(view, as_coordinator=as_coordinator)
        ]
