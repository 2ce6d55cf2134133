"""Find a target for the next attempt of a stage while the current attempt still runs.

A sound target may be silent for a second and then go on. An attempt that takes too long is
therefore left only once another target has been heard, has a slot and the retry budget allows it.
"""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import TargetError
from traystall.core.logs import decision
from traystall.gateway.context import GatewayContext
from traystall.gateway.dispatch import NoCandidate, TooLateToStart
from traystall.gateway.stage_run import StageRun, Successor
from traystall.gateway.target_notices import apply_backoff, apply_rate_limit
from traystall.permits.exceptions import PermitDenied
from traystall.systems import breakers
from traystall.systems.queues import Waiter
from traystall.tables.targets import TargetRow

# A target that was heard within this time is not silent.
_HEARD_SECONDS = 0.3
_PROBE_TIMEOUT_SECONDS = 0.25
_REVIEW_INTERVAL_SECONDS = 0.05
# Other targets that are probed at a time.
_MAX_PROBED = 3
# Time that a slot of a heard target is waited for; it may have fallen silent by then.
_SLOT_WAIT_SECONDS = 0.3


class Successors:
    """Find successors of attempts; requests share the probes of a target."""

    def __init__(self, context: GatewayContext):
        self._context = context
        self._probes: dict[str, asyncio.Task] = {}

    async def find(
        self, run: StageRun, target: TargetRow, rows: list[TargetRow], waiter: Waiter
    ) -> Successor | None:
        """Return one of `rows` for the next attempt, or None if there will be none in time.

        `target` is that of the current attempt; `waiter` describes the next one.
        """
        rows = list(rows)
        while rows and clock.monotonic() < waiter.latest_start:
            self._context.random.shuffle(rows)
            await self._probe_silent([target, *rows])
            now = clock.monotonic()
            if not _is_heard(target, now):
                run.was_silent = True
            heard = {row.target.name for row in rows if _is_heard(row, now)}
            successor = await self._reserve(waiter, heard) if heard else None
            if successor is not None:
                return successor
            await asyncio.sleep(_REVIEW_INTERVAL_SECONDS)
        return None

    def give_back(self, run: StageRun, successor: Successor) -> None:
        """Return the slot and the retry of an attempt that is not made."""
        self._context.retry_budget.give_back()
        self._release(run.row.priority, successor)

    async def _reserve(self, waiter, names) -> Successor | None:
        """Return a slot at one of the named targets with a retry token, or None."""
        rows = self._context.targets.pool(waiter.stage.pool)
        waiter.since = clock.monotonic()
        waiter.excluded = frozenset(row.target.name for row in rows) - names
        try:
            async with asyncio.timeout(_SLOT_WAIT_SECONDS):
                row = await self._context.dispatcher.acquire(waiter)
        except (NoCandidate, TooLateToStart, TimeoutError):
            return None
        successor = Successor(row, waiter.is_recovery_attempt)
        if self._context.retry_budget.take():
            return successor
        decision("no-retry-budget", request=waiter.request_id, stage=waiter.stage.name)
        self._release(waiter.priority, successor)
        return None

    def _release(self, priority, successor):
        row = successor.target
        breakers.on_abandoned(row.breaker)
        self._context.dispatcher.release(row, priority, successor.is_recovery_attempt)

    async def _probe_silent(self, rows):
        """Probe those of the first rows that were not heard; return once one or all have ended."""
        now = clock.monotonic()
        silent = [row for row in rows[: 1 + _MAX_PROBED] if not _is_heard(row, now)]
        probes = [self._probe(row) for row in silent]
        if probes:
            await asyncio.wait(probes)

    def _probe(self, row) -> asyncio.Task:
        name = row.target.name
        if name not in self._probes:
            task = self._probes[name] = asyncio.create_task(self._ask(row))
            task.add_done_callback(lambda _: self._probes.pop(name, None))
        return self._probes[name]

    async def _ask(self, row):
        context = self._context
        if row.availability.is_backing_off(clock.monotonic()):
            return
        try:
            await context.take_spare_permit(row)
        except PermitDenied:
            return
        sent_at = clock.monotonic()

        def on_head(status, headers):
            row.heard_at = clock.monotonic()
            apply_backoff(row, status, headers)
            apply_rate_limit(context.permits, row, status, headers, sent_at, is_work=False)

        url = f"http://{row.target.address}/v1/state"
        try:
            await context.http.get_json(url, _PROBE_TIMEOUT_SECONDS, on_head=on_head)
        except TargetError as error:
            decision("probe-failed", target=row.target.name, why=str(error))


def _is_heard(row, now):
    return now - row.heard_at <= _HEARD_SECONDS
