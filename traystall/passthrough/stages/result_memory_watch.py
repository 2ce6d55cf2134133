"""Query the free result memory of workers where the calling gateway can't know it.

A gateway that takes over from another one, or restarts after a power loss, does not know the
results that earlier requests still hold. A call that runs out of memory is wasted work, so the
worker is queried before its first call and after each refusal for lack of memory.
"""

import asyncio
import logging

from traystall.core import clock
from traystall.core.logs import decision
from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.exceptions import ExchangeError
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.stages.piece_calls import request_bytes
from traystall.passthrough.stages.workers import Worker
from traystall.routes.models import BatchProfile

# Timeout of a query, and the shortest interval between two queries of a worker.
_TIMEOUT_SECONDS = 0.15
_MIN_INTERVAL_SECONDS = 0.4

logger = logging.getLogger(__name__)


class ResultMemoryWatch:
    """Query the workers of one pool; `on_answer` is called after each successful query."""

    def __init__(self, context, on_answer):
        self._context = context
        self._on_answer = on_answer
        self._tasks: set[asyncio.Task] = set()

    def review(self, view, worker: Worker, profile: BatchProfile, now: float) -> None:
        """Query a worker whose free memory is unknown or partly held by other gateways' results."""
        if not profile.room_bytes or now - worker.memory_requested_at < _MIN_INTERVAL_SECONDS:
            return
        if worker.is_memory_known and not worker.book.foreign(now):
            return
        first = worker.memory_requested_at == float("-inf")
        worker.memory_requested_at = now
        if first:
            worker.memory_wait_until = now + _TIMEOUT_SECONDS
        task = asyncio.create_task(self._query(view, worker, profile))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _query(self, view, worker, profile):
        try:
            async with PeerTimeout(_TIMEOUT_SECONDS):
                free = await self._free_bytes(view)
        except (ExchangeError, TimeoutError, ValueError) as error:
            logger.debug(
                "free memory not reported", extra={"target": view.identity, "why": str(error)}
            )
            return
        now = clock.monotonic()
        worker.is_memory_known = True
        worker.memory_wait_until = float("-inf")
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
