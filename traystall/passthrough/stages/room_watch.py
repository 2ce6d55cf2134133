"""Ask workers how much room they have, where the gateway that calls them can't know.

A gateway that takes over from another one does not know of the results that the
other's requests still hold, and neither does one after a loss of power. Calls
that run out of room are lost work, so the worker is asked before its first call,
and again after each refusal for want of room.
"""

import asyncio
import logging

from traystall.core import clock
from traystall.core.logs import decision
from traystall.passthrough.exceptions import ExchangeError
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.stages.piece_calls import request_bytes
from traystall.passthrough.stages.workers import Worker
from traystall.routes.models import BatchProfile

# How long an answer is waited for, in seconds, and how often a worker is asked at the most.
_TIMEOUT = 0.15
_EVERY_SECONDS = 0.4

logger = logging.getLogger(__name__)


class RoomWatch:
    """Ask the workers of one pool; `on_answer` is called whenever one has told its room."""

    def __init__(self, context, on_answer):
        self._context = context
        self._on_answer = on_answer
        self._tasks: set[asyncio.Task] = set()

    def review(self, view, worker: Worker, profile: BatchProfile, now: float) -> None:
        """Ask a worker whose room is unknown, was refused, or is partly taken by others."""
        if not profile.room_bytes or now - worker.asked_at < _EVERY_SECONDS:
            return
        if worker.is_room_known and not worker.book.foreign(now):
            return
        first = worker.asked_at == float("-inf")
        worker.asked_at = now
        if first:
            worker.wait_until = now + _TIMEOUT
        task = asyncio.create_task(self._ask(view, worker, profile))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, view, worker, profile):
        try:
            async with asyncio.timeout(_TIMEOUT):
                free = await self._free_bytes(view)
        except (ExchangeError, TimeoutError, ValueError) as error:
            logger.debug("room not told", extra={"target": view.identity, "why": str(error)})
            return
        now = clock.monotonic()
        worker.is_room_known = True
        worker.wait_until = float("-inf")
        foreign = worker.book.record_free_bytes(
            free, profile.room_bytes, now, profile.result_lifetime
        )
        if foreign:
            decision("room", target=view.identity, free=free, foreign=foreign)
        self._on_answer()

    async def _free_bytes(self, view) -> int:
        dialect = self._context.stage_dialect
        headers = {self._context.names.expected_incarnation: view.identity}
        async with Attempt(view, self._context.names, None, is_work=False) as attempt:
            await attempt.open(float("inf"))
            attempt.send(request_bytes(dialect.report(), view.report.address, headers))
            answer = await attempt.read_response()
        if answer.head.status != 200:
            raise ValueError(f"The target answered {answer.head.status}.")
        return dialect.free_bytes(answer.body)
