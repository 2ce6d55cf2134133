"""Backoff and rate limits of targets apply to the queries and orders of a control daemon.

A target that asked for a backoff receives neither until it ends. A target with a limit receives
what the gateways that grant its permits leave; without gateways the daemon obeys the limit itself.

A target that refuses a query must not count as holding no models: it would be ordered to load all.
"""

import asyncio
import random

import pytest

from tests.support.raw_target import RawTarget
from traystall.control.order_client import BACKING_OFF, RATE_LIMITED, OrderClient
from traystall.permits.lenders import LenderRanking
from traystall.permits.permits import Permits
from traystall.tables.entities import Target


class BusyTarget(RawTarget):
    """Answer each request with 503 and Retry-After; count the requests."""

    request_count = 0

    async def _serve_one(self, reader, writer):
        await self._read(reader)
        self.request_count += 1
        self._write(writer, 503, "", "{}", f"Retry-After: {self.rest}\r\n")
        await writer.drain()
        return False


def permits_without_gateways():
    permits = Permits("control-1", list, random.Random(1), LenderRanking("control-1", 0.0))
    permits.refresh_lenders()
    return permits


def test_limited_engine_gets_no_more_requests_than_its_limit():
    async def scenario():
        engine = await RawTarget().start()
        engine.limit = "2"
        target = Target("e-1", "pool", "engine", "here", engine.address)
        client = OrderClient(lambda term: True, permits_without_gateways())
        outcomes = []
        for _ in range(40):
            await client.observe(target)
            outcomes.append(await client.send(target, {"term": 1}, 1.0))
            await asyncio.sleep(0.05)
        assert RATE_LIMITED in outcomes
        assert "200" in outcomes
        assert len(engine.arrivals) <= 2 * 2 + 3
        await client.close()
        await engine.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["observe", "order"])
def test_target_gets_its_backoff_period(first):
    async def scenario():
        busy = await BusyTarget().start()
        busy.rest = "0.4"
        target = Target("e-1", "pool", "engine", "here", busy.address)
        client = OrderClient(lambda term: True, permits_without_gateways())

        async def order():
            return await client.send(target, {"term": 1}, 1.0)

        if first == "observe":
            assert await client.observe(target) is None
        else:
            assert await order() == "503"
        assert (await client.observe(target), await order()) == (None, BACKING_OFF)
        assert busy.request_count == 1
        await asyncio.sleep(0.45)
        assert await order() == "503"
        assert busy.request_count == 2
        await client.close()
        await busy.stop()

    asyncio.run(scenario())
