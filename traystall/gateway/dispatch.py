"""Queue attempts at the gateway until an allowed target has a free slot."""

import asyncio
from collections import defaultdict

from traystall.core import clock
from traystall.core.exceptions import GatewayError
from traystall.core.logs import decision
from traystall.systems import breakers, routing, windows
from traystall.systems.queues import FairClock, Waiter, WaitTimes, is_held_back, order
from traystall.tables.entities import PriorityClass
from traystall.tables.targets import TargetRow, TargetTable


class NoCandidate(GatewayError):
    """No allowed target can run the stage, now or soon."""


class TooLateToStart(GatewayError):
    """No slot became free early enough to meet the deadline.

    `blocked_seconds` is the time until the first of the possible targets ends its backoff or rate
    limit, 0 if not all are blocked.
    """

    def __init__(self, detail, blocked_seconds=0.0):
        self.blocked_seconds = blocked_seconds
        super().__init__(detail)


class Dispatcher:
    """Assign slots at targets to waiting attempts, separately for each pool."""

    def __init__(self, targets: TargetTable, random):
        self._targets = targets
        self._random = random
        self._waiters: dict[str, list[Waiter]] = defaultdict(list)
        self._held_back_pools: dict[str, set[str]] = defaultdict(set)
        self._fair_clock = FairClock()
        # Timers that assign slots of a pool again when the first of its targets is unblocked.
        self._backoff_timers: dict[str, asyncio.TimerHandle] = {}
        self.waits = WaitTimes()

    def waiting(self, pool: str) -> int:
        """Return the number of attempts that wait for a target of the pool."""
        return len(self._waiters[pool])

    async def acquire(self, waiter: Waiter) -> TargetRow:
        """Wait for a slot and return its target; raise NoCandidate or TooLateToStart."""
        pool = waiter.stage.pool
        waiter.grant = asyncio.get_running_loop().create_future()
        self._waiters[pool].append(waiter)
        if waiter.next_pool:
            self._held_back_pools[waiter.next_pool].add(pool)
        self.assign(pool)
        try:
            async with asyncio.timeout(max(0.0, waiter.latest_start - clock.monotonic())):
                return await waiter.grant
        except TimeoutError as error:
            # A slot may have been granted in the same iteration of the event loop.
            self._return_slot(waiter)
            raise TooLateToStart("No target had room in time.") from error
        except asyncio.CancelledError:
            self._return_slot(waiter)
            raise
        finally:
            self.waits.record(pool, clock.monotonic() - waiter.since)
            self._remove(waiter)

    def release(
        self, row: TargetRow, priority: PriorityClass, is_recovery_attempt: bool = False
    ) -> None:
        """Return a slot and assign it to a waiting attempt.

        `is_recovery_attempt` has the value that the waiter got with the slot.
        """
        row.availability.on_finished(is_recovery_attempt)
        row.release_slot(priority)
        self.assign(row.target.pool)

    def assign(self, pool: str) -> None:
        """Assign the free slots of a pool to its waiting attempts."""
        waiters = self._waiters[pool]
        if not waiters:
            return
        now = clock.monotonic()
        rows = self._targets.pool(pool)
        for waiter in order(waiters, self._fair_clock) if len(waiters) > 1 else list(waiters):
            self._consider(waiter, rows, now)

    def assign_all(self) -> None:
        """Assign free slots in all pools, after time has passed or the state of targets changed."""
        for pool in list(self._waiters):
            self.assign(pool)

    def _is_held_back(self, waiter):
        next_pool = waiter.next_pool
        slots = sum(windows.allowance(row) for row in self._targets.pool(next_pool))
        return is_held_back(waiter, len(self._waiters[next_pool]), slots)

    def _consider(self, waiter, rows, now):
        if waiter.grant.done():
            return
        found = routing.candidates(rows, waiter.customer, waiter.stage, waiter.excluded, now)
        if not found:
            waiter.grant.set_exception(NoCandidate("No allowed target can run the stage."))
            return
        unblocked_at = min(row.blocked_until() for row in found)
        if unblocked_at > waiter.latest_start:
            detail = "All its targets rest or are limited until it is too late."
            waiter.grant.set_exception(TooLateToStart(detail, unblocked_at - now))
            return
        if self._is_held_back(waiter):
            return
        choice = routing.choose(found, waiter, now, self._random)
        if choice.row is None:
            self._schedule_assign(waiter.stage.pool, found, now)
            return
        choice.row.take(waiter.priority)
        waiter.is_recovery_attempt = choice.row.availability.on_sent()
        breakers.on_sent(choice.row.breaker)
        self._fair_clock.charge(waiter.customer)
        decision(
            "route",
            request=waiter.request_id,
            stage=waiter.stage.name,
            chosen=choice.row.target.name,
            target_data_centre=choice.row.target.data_centre,
            candidates=choice.candidates,
            why=choice.why,
            waited=round(now - waiter.since, 4),
        )
        waiter.grant.set_result(choice.row)

    def _schedule_assign(self, pool, rows, now):
        """Schedule an assignment for the end of the first block: no other event may cause one."""
        delays = [row.blocked_until() - now for row in rows if row.blocked_until() > now]
        if not delays:
            return
        loop = asyncio.get_running_loop()
        timer = self._backoff_timers.get(pool)
        if timer is not None and timer.when() <= loop.time() + min(delays):
            return
        if timer is not None:
            timer.cancel()
        self._backoff_timers[pool] = loop.call_later(min(delays), self._on_backoff_ended, pool)

    def _on_backoff_ended(self, pool):
        del self._backoff_timers[pool]
        self.assign(pool)

    def _return_slot(self, waiter):
        """Return a slot that was granted in the moment in which the waiter gave up."""
        grant = waiter.grant
        if grant.done() and not grant.cancelled() and grant.exception() is None:
            row = grant.result()
            breakers.on_abandoned(row.breaker)
            self.release(row, waiter.priority, waiter.is_recovery_attempt)

    def _remove(self, waiter):
        waiters = self._waiters[waiter.stage.pool]
        if waiter in waiters:
            waiters.remove(waiter)
        # Attempts that were held back because of this queue may start now.
        for pool in self._held_back_pools.get(waiter.stage.pool, ()):
            self.assign(pool)
