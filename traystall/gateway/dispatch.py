"""Hold work at the gateway until an allowed target has room for it."""

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
    """Report that no allowed target can run the stage, now or soon."""


class TooLateToStart(GatewayError):
    """Report that no slot came free while the deadline could still be met.

    `rest` is how long all targets still rest that could have had it, in seconds.
    """

    def __init__(self, detail, rest=0.0):
        self.rest = rest
        super().__init__(detail)


class Dispatcher:
    """Grant slots on targets to waiting attempts, pool by pool."""

    def __init__(self, targets: TargetTable, random):
        self._targets = targets
        self._random = random
        self._waiters: dict[str, list[Waiter]] = defaultdict(list)
        self._held_for: dict[str, set[str]] = defaultdict(set)
        self._fair = FairClock()
        # When pools are looked at again since a target has rested.
        self._after_rest: dict[str, asyncio.TimerHandle] = {}
        self.waits = WaitTimes()

    def waiting(self, pool: str) -> int:
        """Return how many attempts wait for a target of the pool."""
        return len(self._waiters[pool])

    async def acquire(self, waiter: Waiter) -> TargetRow:
        """Return a target with its slot taken; raise NoCandidate or TooLateToStart."""
        pool = waiter.stage.pool
        waiter.grant = asyncio.get_running_loop().create_future()
        self._waiters[pool].append(waiter)
        if waiter.next_pool:
            self._held_for[waiter.next_pool].add(pool)
        self.assign(pool)
        try:
            async with asyncio.timeout(max(0.0, waiter.latest_start - clock.monotonic())):
                return await waiter.grant
        except TimeoutError as error:
            # A slot may have been granted in the very turn in which the time ended.
            self._give_back(waiter)
            raise TooLateToStart("No target had room in time.") from error
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            self.waits.record(pool, clock.monotonic() - waiter.since)
            self._forget(waiter)

    def release(
        self, row: TargetRow, priority: PriorityClass, is_recovery_attempt: bool = False
    ) -> None:
        """Give a slot back and hand it to whoever waits; `is_first` as the waiter had it."""
        row.availability.on_finished(is_recovery_attempt)
        row.release_slot(priority)
        self.assign(row.target.pool)

    def assign(self, pool: str) -> None:
        """Grant what can be granted now."""
        waiters = self._waiters[pool]
        if not waiters:
            return
        now = clock.monotonic()
        rows = self._targets.pool(pool)
        for waiter in order(waiters, self._fair) if len(waiters) > 1 else list(waiters):
            self._consider(waiter, rows, now)

    def assign_all(self) -> None:
        """Grant what time or news has made possible in any pool."""
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
        rested = min(row.blocked_until() for row in found)
        if rested > waiter.latest_start:
            detail = "All its targets rest or are limited until it is too late."
            waiter.grant.set_exception(TooLateToStart(detail, rested - now))
            return
        if self._is_held_back(waiter):
            return
        choice = routing.choose(found, waiter, now, self._random)
        if choice.row is None:
            self._assign_after_rest(waiter.stage.pool, found, now)
            return
        choice.row.take(waiter.priority)
        waiter.is_recovery_attempt = choice.row.availability.on_sent()
        breakers.on_sent(choice.row.breaker)
        self._fair.charge(waiter.customer)
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

    def _assign_after_rest(self, pool, rows, now):
        """Look again when the next target may be asked: nothing else may happen until then."""
        rests = [row.blocked_until() - now for row in rows if row.blocked_until() > now]
        if not rests:
            return
        loop = asyncio.get_running_loop()
        held = self._after_rest.get(pool)
        if held is not None and held.when() <= loop.time() + min(rests):
            return
        if held is not None:
            held.cancel()
        self._after_rest[pool] = loop.call_later(min(rests), self._on_rested, pool)

    def _on_rested(self, pool):
        del self._after_rest[pool]
        self.assign(pool)

    def _give_back(self, waiter):
        """Return a slot that was granted at the moment the waiter gave up."""
        grant = waiter.grant
        if grant.done() and not grant.cancelled() and grant.exception() is None:
            row = grant.result()
            breakers.on_abandoned(row.breaker)
            self.release(row, waiter.priority, waiter.is_recovery_attempt)

    def _forget(self, waiter):
        waiters = self._waiters[waiter.stage.pool]
        if waiter in waiters:
            waiters.remove(waiter)
        # Whoever was held back for the sake of this queue may go on now.
        for pool in self._held_for.get(waiter.stage.pool, ()):
            self.assign(pool)
