"""No place of a brittle target stays leased to a request that does not use it."""

import asyncio
import random

import pytest

from traystall.core import clock
from traystall.core.exceptions import RpcTimeout
from traystall.permits.exceptions import PermitDenied
from traystall.permits.leases import Leases
from traystall.permits.lenders import SETTLE_SECONDS, LenderRanking
from traystall.permits.shared_limits import NO_LENDER_BACKOFF_SECONDS
from traystall.rpc.gen.wire.ttypes import PermitReturn, TargetLimitRecord
from traystall.tables.gateways import GatewayRow

LIFE, PLACE = "target-1", "here"
LEASE_SECONDS = 60.0
REPLY_SECONDS = 0.02


class SlowLender:
    """Deliver messages to a lender whose replies arrive late; it may read a return first."""

    def __init__(self, lender, reads_return_first):
        self.lender = lender
        self._reads_return_first = reads_return_first
        self._unread = []
        self.is_slow = True
        self.asked = 0
        self.last_received_at = float("-inf")

    def link(self, address):
        return self

    async def call(self, request, timeout):
        self.asked += 1
        if self.is_slow and self._reads_return_first:
            self._unread.append(request)
            reply = None
        else:
            reply = self.lender.grant(request)
        await asyncio.sleep(REPLY_SECONDS)
        if self.is_slow:
            raise RpcTimeout("The reply is late.")
        return reply

    async def send(self, message):
        assert isinstance(message, PermitReturn)
        self.lender.on_returned(message)
        while self._unread:
            self.lender.grant(self._unread.pop())


def lending_pair(reads_return_first=False):
    """Return the leases of a gateway that lends nothing, and the link to its lender."""
    rows = [
        GatewayRow("lender", "lender", PLACE, "lender:0", "lender:1", 0, "serving", 0.0, True),
        GatewayRow("asker", "asker", PLACE, "asker:0", "asker:1", 1, "serving", 0.0, True),
    ]
    lender, asker = (
        Leases(name, lambda: rows, random.Random(1), LenderRanking(name, settle_seconds=0.0))
        for name in ("lender", "asker")
    )
    rows[0].lends = True
    for leases in (lender, asker):
        leases.refresh_lenders()
    asker.links = SlowLender(lender, reads_return_first)
    return asker


async def settle(asker):
    """Let the messages be sent, and forget that the lender was slow."""
    await asyncio.sleep(0)
    asker._lender_failed_at.clear()
    asker.limit(LIFE).closed_until = 0.0
    asker.links.is_slow = False


@pytest.mark.parametrize("reads_return_first", [False, True])
def test_place_that_was_leased_in_a_late_reply_is_free_again(reads_return_first):
    async def scenario():
        asker = lending_pair(reads_return_first)
        with pytest.raises(PermitDenied):
            await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)
        await settle(asker)
        await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)

    asyncio.run(scenario())


def test_place_for_a_caller_that_left_while_it_was_requested_is_free_again():
    async def scenario():
        asker = lending_pair(False)
        taking = asyncio.create_task(asker.take(LIFE, PLACE, 1, LEASE_SECONDS))
        await asyncio.sleep(REPLY_SECONDS / 2)
        taking.cancel()
        await asyncio.gather(taking, return_exceptions=True)
        await settle(asker)
        await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)

    asyncio.run(scenario())


async def wait_in_line(asker, seconds=LEASE_SECONDS):
    """Return the only place, and a request that waits for it."""
    asker.links.is_slow = False
    first = await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)
    second = asyncio.create_task(asker.take(LIFE, PLACE, 1, seconds))
    await asyncio.sleep(REPLY_SECONDS * 1.2)
    assert asker.links.asked == 2
    return first, second


def test_place_of_a_request_that_ends_is_handed_on_at_the_same_gateway():
    """Until a place is returned, leased again and used, its slot at the target is idle."""

    async def scenario():
        asker = lending_pair()
        first, second = await wait_in_line(asker)
        asker.give_back(first)
        assert await second == first
        assert asker.links.asked == 2
        asker.give_back(first)
        await settle(asker)
        await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)

    asyncio.run(scenario())


def test_place_is_not_handed_on_beyond_the_end_of_its_lease():
    async def scenario():
        asker = lending_pair()
        first, second = await wait_in_line(asker, LEASE_SECONDS * 2)
        asker.give_back(first)
        with pytest.raises(PermitDenied):
            await second
        await settle(asker)
        await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)

    asyncio.run(scenario())


def test_place_that_is_handed_to_a_caller_that_leaves_is_free_again():
    async def scenario():
        asker = lending_pair()
        first, second = await wait_in_line(asker)
        asker.give_back(first)
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        await settle(asker)
        await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)

    asyncio.run(scenario())


def test_lender_whose_reply_was_late_is_asked_again_when_it_has_arrived():
    """A lender that does not reply is left alone for a second; a slow one can still lend."""

    async def scenario():
        asker = lending_pair()
        for is_late_reply_there, asked in ((False, 1), (True, 2)):
            if is_late_reply_there:
                asker.links.last_received_at = clock.monotonic()
            asker.limit(LIFE).closed_until = 0.0
            with pytest.raises(PermitDenied):
                await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)
            asker.limit(LIFE).closed_until = 0.0
            with pytest.raises(PermitDenied):
                await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)
            assert asker.links.asked == asked

    asyncio.run(scenario())


def settling(leases):
    """Replace the settled ranking of a gateway by one that has just begun."""
    leases.lender_ranking = LenderRanking(leases.identity)
    leases.refresh_lenders()


def test_asker_knows_until_when_no_lender_grants():
    async def scenario():
        asker = lending_pair()
        asker.links.is_slow = False
        settling(asker.links.lender)
        settling(asker)
        asker.merge_limits(asker.news([TargetLimitRecord(life=LIFE, per_second=3.0, age=0.0)]))
        with pytest.raises(PermitDenied) as denied:
            await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)
        assert SETTLE_SECONDS - 1.0 < denied.value.wait <= SETTLE_SECONDS
        assert asker.limit(LIFE).is_unlent(clock.monotonic())

    asyncio.run(scenario())


def test_silent_lender_does_not_count_as_one_that_grants_nothing():
    """It may be lending to other gateways, and to this one in a moment."""

    async def scenario():
        asker = lending_pair()
        settling(asker.links.lender)
        settling(asker)
        with pytest.raises(PermitDenied) as denied:
            await asker.take(LIFE, PLACE, 1, LEASE_SECONDS)
        assert denied.value.wait <= NO_LENDER_BACKOFF_SECONDS
        assert not asker.limit(LIFE).is_unlent(clock.monotonic())

    asyncio.run(scenario())
