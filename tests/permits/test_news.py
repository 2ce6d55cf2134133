"""All gateways soon know a limit and its end, not only those that asked."""

import asyncio

from tests.support.lending import LIFE, PLACE, LendingSite, clock_of
from traystall.permits.broadcast import LimitBroadcaster
from traystall.systems.target_limits import UNLIMITED, AnnouncedLimit


class Told:
    """Let the gateways of a site that knows of no limit yet tell each other."""

    def __init__(self, monkeypatch, count):
        self.site = LendingSite(clock_of(monkeypatch), count, None)
        self.tellers = [
            LimitBroadcaster(
                permits, permits.links, lambda: self.site.rows, lambda life: PLACE, lambda: {LIFE}
            )
            for permits in self.site.gateways.values()
        ]

    async def turn(self):
        self.site.now += 0.2
        for teller in self.tellers:
            teller.review()
        for _ in range(3):
            await asyncio.sleep(0)

    def known(self):
        return {p.limit(LIFE).per_second for p in self.site.gateways.values()}

    def stranger(self):
        """Return a gateway that does not lend."""
        names = [name for name in self.site.gateways if name not in self.site.lenders()]
        return self.site.gateways[names[0]]


def test_all_know_a_limit_and_its_end_within_three_turns(monkeypatch):
    async def story():
        told = Told(monkeypatch, 24)
        told.stranger().observe_answer(LIFE, AnnouncedLimit(2.0), told.site.now, "r")
        for _ in range(3):
            await told.turn()
        assert told.known() == {2.0}
        told.site.now += 2.0
        told.stranger().observe_answer(LIFE, UNLIMITED, told.site.now, "r")
        for _ in range(3):
            await told.turn()
        assert told.known() == {None}

    asyncio.run(story())


def test_nothing_is_told_that_all_know(monkeypatch):
    async def story():
        told = Told(monkeypatch, 9)
        await told.turn()
        assert told.site.messages == 0
        told.stranger().observe_answer(LIFE, AnnouncedLimit(2.0), told.site.now, "r")
        for _ in range(3):
            await told.turn()
        sent = told.site.messages
        for step in range(10):
            # A little more or less reaches those who ask for permits.
            told.stranger().observe_answer(
                LIFE, AnnouncedLimit(2.0 + step / 10), told.site.now, "r"
            )
            await told.turn()
        assert sent <= 2 + 8
        assert told.site.messages - sent <= 2 * 10

    asyncio.run(story())


def test_gateway_that_was_cut_off_is_told_later_and_a_new_one_at_once(monkeypatch):
    async def story():
        told = Told(monkeypatch, 9)
        cut = told.stranger()
        told.site.cut.add(cut.identity)
        lender = told.site.gateways[told.site.lenders()[0]]
        lender.observe_answer(LIFE, AnnouncedLimit(2.0), told.site.now, "r")
        for _ in range(3):
            await told.turn()
        assert not cut.limit(LIFE).is_limited
        told.site.cut.clear()
        told.site.add("new")
        for _ in range(6):
            await told.turn()
        assert told.known() == {2.0}

    asyncio.run(story())


def test_gateway_that_knows_no_permits_gets_no_message(monkeypatch):
    async def story():
        told = Told(monkeypatch, 9)
        old = told.stranger()
        for row in told.site.rows:
            row.lends = row.identity != old.identity
        told.site.review()
        told.site.gateways[told.site.lenders()[0]].observe_answer(
            LIFE, AnnouncedLimit(2.0), told.site.now, "r"
        )
        for _ in range(5):
            await told.turn()
        assert not old.limit(LIFE).is_limited
        assert told.known() == {2.0, None}

    asyncio.run(story())
