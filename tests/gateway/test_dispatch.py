"""The dispatcher never loses a slot when a grant coincides with a timeout or cancellation."""

import asyncio
import random
import time

import pytest

from traystall.core import clock
from traystall.gateway.dispatch import Dispatcher, NoCandidate, TooLateToStart
from traystall.systems.queues import Waiter
from traystall.tables.entities import Customer, Kind, PriorityClass, Stage, Target
from traystall.tables.targets import TargetTable

CUSTOMER = Customer("c", ("here",))
STAGE = Stage("s", "pool", Kind.SERVICE)


def make_dispatcher(share=1):
    targets = TargetTable()
    targets.replace([Target("t", "pool", Kind.SERVICE, "here", "127.0.0.1:1")])
    targets.get("t").share = share
    return Dispatcher(targets, random.Random(1)), targets.get("t")


def make_waiter(seconds, customer=CUSTOMER):
    latest = clock.monotonic() + seconds
    return Waiter("r", customer, STAGE, PriorityClass.LONG, latest, latest, frozenset(), 0.0)


def test_slot_granted_in_the_moment_of_a_timeout_is_returned():
    async def scenario():
        dispatcher, row = make_dispatcher()
        holder = await dispatcher.acquire(make_waiter(1.0))
        waiting = asyncio.create_task(dispatcher.acquire(make_waiter(0.06)))
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        loop.call_later(0.03, dispatcher.release, holder, PriorityClass.LONG)
        time.sleep(0.15)  # noqa: ASYNC251 - both timers expire in one iteration of the loop.
        outcome = (await asyncio.gather(waiting, return_exceptions=True))[0]
        taken = 0 if isinstance(outcome, TooLateToStart) else 1
        assert row.total_in_flight == taken

    asyncio.run(scenario())


def test_slot_of_a_cancelled_waiter_is_returned():
    async def scenario():
        dispatcher, row = make_dispatcher()
        holder = await dispatcher.acquire(make_waiter(1.0))
        waiting = asyncio.create_task(dispatcher.acquire(make_waiter(1.0)))
        await asyncio.sleep(0)
        dispatcher.release(holder, PriorityClass.LONG)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert row.total_in_flight == 0
        assert dispatcher.waiting("pool") == 0

    asyncio.run(scenario())


def test_waiter_without_an_allowed_target_is_refused_at_once():
    async def scenario():
        dispatcher, _ = make_dispatcher()
        with pytest.raises(NoCandidate):
            await dispatcher.acquire(make_waiter(1.0, Customer("x", ("elsewhere",))))

    asyncio.run(scenario())
