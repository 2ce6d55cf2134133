"""All gateways learn a limit and its end within a few intervals, not only those that requested."""

import asyncio

from tests.support.lending import LIFE, PLACE, LendingSite, clock_of
from traystall.permits.broadcast import LimitBroadcaster
from traystall.systems.target_limits import UNLIMITED, AnnouncedLimit


class BroadcastSite:
    """Distribute limits between the gateways of a site where no limit is known yet."""

    def __init__(self, monkeypatch, count):
        self.site = LendingSite(clock_of(monkeypatch), count, None)
        self.broadcasters = [
            LimitBroadcaster(
                permits, permits.links, lambda: self.site.rows, lambda life: PLACE, lambda: {LIFE}
            )
            for permits in self.site.gateways.values()
        ]

    async def run_interval(self):
        self.site.now += 0.2
        for broadcaster in self.broadcasters:
            broadcaster.review()
        for _ in range(3):
            await asyncio.sleep(0)

    def known(self):
        return {p.limit(LIFE).per_second for p in self.site.gateways.values()}

    def non_lender(self):
        """Return a gateway that is not a lender."""
        names = [name for name in self.site.gateways if name not in self.site.lenders()]
        return self.site.gateways[names[0]]


def test_all_gateways_know_a_limit_and_its_end_within_three_intervals(monkeypatch):
    async def scenario():
        broadcast_site = BroadcastSite(monkeypatch, 24)
        broadcast_site.non_lender().observe_answer(
            LIFE, AnnouncedLimit(2.0), broadcast_site.site.now, "r"
        )
        for _ in range(3):
            await broadcast_site.run_interval()
        assert broadcast_site.known() == {2.0}
        broadcast_site.site.now += 2.0
        broadcast_site.non_lender().observe_answer(LIFE, UNLIMITED, broadcast_site.site.now, "r")
        for _ in range(3):
            await broadcast_site.run_interval()
        assert broadcast_site.known() == {None}

    asyncio.run(scenario())


def test_known_limits_are_not_sent_again(monkeypatch):
    async def scenario():
        broadcast_site = BroadcastSite(monkeypatch, 9)
        await broadcast_site.run_interval()
        assert broadcast_site.site.messages == 0
        broadcast_site.non_lender().observe_answer(
            LIFE, AnnouncedLimit(2.0), broadcast_site.site.now, "r"
        )
        for _ in range(3):
            await broadcast_site.run_interval()
        sent = broadcast_site.site.messages
        for step in range(10):
            # Small changes are only part of permit replies.
            broadcast_site.non_lender().observe_answer(
                LIFE, AnnouncedLimit(2.0 + step / 10), broadcast_site.site.now, "r"
            )
            await broadcast_site.run_interval()
        assert sent <= 2 + 8
        assert broadcast_site.site.messages - sent <= 2 * 10

    asyncio.run(scenario())


def test_partitioned_and_new_gateways_receive_the_limit(monkeypatch):
    async def scenario():
        broadcast_site = BroadcastSite(monkeypatch, 9)
        cut = broadcast_site.non_lender()
        broadcast_site.site.cut.add(cut.identity)
        lender = broadcast_site.site.gateways[broadcast_site.site.lenders()[0]]
        lender.observe_answer(LIFE, AnnouncedLimit(2.0), broadcast_site.site.now, "r")
        for _ in range(3):
            await broadcast_site.run_interval()
        assert not cut.limit(LIFE).is_limited
        broadcast_site.site.cut.clear()
        broadcast_site.site.add("new")
        for _ in range(6):
            await broadcast_site.run_interval()
        assert broadcast_site.known() == {2.0}

    asyncio.run(scenario())


def test_gateway_without_permit_support_gets_no_message(monkeypatch):
    async def scenario():
        broadcast_site = BroadcastSite(monkeypatch, 9)
        old = broadcast_site.non_lender()
        for row in broadcast_site.site.rows:
            row.lends = row.identity != old.identity
        broadcast_site.site.review()
        broadcast_site.site.gateways[broadcast_site.site.lenders()[0]].observe_answer(
            LIFE, AnnouncedLimit(2.0), broadcast_site.site.now, "r"
        )
        for _ in range(5):
            await broadcast_site.run_interval()
        assert not old.limit(LIFE).is_limited
        assert broadcast_site.known() == {2.0, None}

    asyncio.run(scenario())
