"""A target that asks a control daemon for rest gets neither questions nor orders meanwhile.

One that names a limit gets what gateways that lend it leave; without any the daemon keeps to it.

Nor is one that turns a question away taken to hold nothing: it would be ordered to load all.
"""

import asyncio
import random

import pytest

from tests.support.raw_target import RawTarget
from traystall.control.order_client import LIMITED, RESTING, OrderClient
from traystall.permits.lenders import LenderRanking
from traystall.permits.permits import Permits
from traystall.tables.entities import Target


class Busy(RawTarget):
    """Answer everything with 503 and a rest; count what comes."""

    came = 0

    async def _serve_one(self, reader, writer):
        await self._read(reader)
        self.came += 1
        self._write(writer, 503, "", "{}", f"Retry-After: {self.rest}\r\n")
        await writer.drain()
        return False


def lone_permits():
    permits = Permits("control-1", list, random.Random(1), LenderRanking("control-1", 0.0))
    permits.refresh_lenders()
    return permits


def test_limited_engine_gets_no_more_questions_and_orders_than_it_takes():
    async def story():
        engine = await RawTarget().start()
        engine.limit = "2"
        target = Target("e-1", "pool", "engine", "here", engine.address)
        client = OrderClient(lambda term: True, lone_permits())
        outcomes = []
        for _ in range(40):
            await client.observe(target)
            outcomes.append(await client.send(target, {"term": 1}, 1.0))
            await asyncio.sleep(0.05)
        assert LIMITED in outcomes
        assert "200" in outcomes
        assert len(engine.arrivals) <= 2 * 2 + 3
        await client.close()
        await engine.stop()

    asyncio.run(story())


@pytest.mark.parametrize("first", ["observe", "order"])
def test_target_gets_its_rest(first):
    async def story():
        busy = await Busy().start()
        busy.rest = "0.4"
        target = Target("e-1", "pool", "engine", "here", busy.address)
        client = OrderClient(lambda term: True, lone_permits())

        async def order():
            return await client.send(target, {"term": 1}, 1.0)

        if first == "observe":
            assert await client.observe(target) is None
        else:
            assert await order() == "503"
        assert (await client.observe(target), await order()) == (None, RESTING)
        assert busy.came == 1
        await asyncio.sleep(0.45)
        assert await order() == "503"
        assert busy.came == 2
        await client.close()
        await busy.stop()

    asyncio.run(story())
