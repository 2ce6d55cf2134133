"""All gateways together keep a target's limit, also when some of them fail or lose their links."""

import asyncio

import pytest

from tests.support.lending import LIFE, PLACE, LendingSite, clock_of
from traystall.core import clock
from traystall.permits.exceptions import PermitDenied
from traystall.permits.lenders import SETTLE_SECONDS
from traystall.rpc.gen.wire.ttypes import LimitNews, PermitRequest
from traystall.systems.permits import FIRST_LENDER_SHARE
from traystall.systems.target_limits import UNLIMITED, AnnouncedLimit

WINDOW_SECONDS = 4.0


def max_allowed(limit):
    return 1.5 * limit * WINDOW_SECONDS + 5


def site_of(monkeypatch, count, limit=1.0, seed=0):
    return LendingSite(clock_of(monkeypatch), count, limit, seed)


@pytest.mark.parametrize("skewed", [False, True])
@pytest.mark.parametrize("limit", [0.25, 1.0, 5.0, 20.0])
@pytest.mark.parametrize("count", [1, 9, 24, 195])
def test_all_gateways_together_keep_and_use_the_limit(monkeypatch, count, limit, skewed):
    async def scenario():
        site = site_of(monkeypatch, count, limit)
        weights = [10.0 if skewed and n < 2 else 1.0 for n in range(count)]
        await site.press(40.0, 100.0, weights)
        assert site.most_within(WINDOW_SECONDS) <= max_allowed(limit)
        assert len(site.sent) >= 40.0 * limit * FIRST_LENDER_SHARE * 0.5 - 1

    asyncio.run(scenario())


def test_idle_period_accumulates_no_permits(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 195)
        await site.press(5.0, 50.0)
        site.now += 60.0
        site.sent.clear()
        for name in list(site.gateways):
            await site.ask(name)
        assert len(site.sent) <= 2

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("number", [0, 1])
def test_failed_lender_is_replaced_without_double_grants(monkeypatch, number, seed):
    async def scenario():
        site = site_of(monkeypatch, 9, seed=seed)
        failed = site.lenders()[number]
        await site.press(8.0, 50.0)
        site.end(failed)
        before = len(site.sent)
        await site.press(4.0, 50.0)
        assert len(site.sent) > before  # The other lender continues.
        site.unlist(failed)
        await site.press(2 * SETTLE_SECONDS, 50.0)
        before = len(site.sent)
        await site.press(10.0, 50.0)
        assert len(site.sent) - before >= 10.0 * FIRST_LENDER_SHARE * 0.5
        assert site.most_within(WINDOW_SECONDS) <= max_allowed(1.0)

    asyncio.run(scenario())


def test_silent_lender_gets_few_requests(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 9)
        site.cut |= set(site.lenders())
        site.messages = 0
        name = next(n for n in site.gateways if n not in site.cut)
        for _ in range(20):
            assert not await site.ask(name)
            site.now += 0.01
        assert site.messages <= 2

    asyncio.run(scenario())


def test_partitioned_lender_grants_only_to_itself(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 9)
        cut = site.lenders()[0]
        await site.press(8.0, 50.0)
        site.cut.add(cut)
        await site.press(6.0, 50.0)
        site.unlist(cut)
        await site.press(12.0, 50.0)
        assert site.most_within(WINDOW_SECONDS, excused={cut}) <= max_allowed(1.0)
        assert any(name == cut for at, name in site.sent if at > site.now - 10.0)
        site.cut.clear()
        site.rows.append(next(r for r in site_of(monkeypatch, 9).rows if r.identity == cut))
        await site.press(20.0, 50.0)
        assert site.most_within(WINDOW_SECONDS, excused={cut}) <= max_allowed(1.0)

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_rolling_restart_keeps_the_limit(monkeypatch, seed):
    async def scenario():
        site = site_of(monkeypatch, 6, seed=seed)
        for number in range(6):
            await site.press(3.0, 50.0)
            site.end(f"g-{number}")
            site.unlist(f"g-{number}")
            await site.press(1.0, 50.0)
            site.add(f"g-{number}/2")
        await site.press(20.0, 50.0)
        assert site.most_within(WINDOW_SECONDS) <= max_allowed(1.0)

    asyncio.run(scenario())


def test_permit_is_invalid_after_expiry_or_a_lower_limit(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 1, limit=50.0)
        permits = site.gateways["g-0"]
        permit = await permits.take(LIFE, PLACE)
        assert permits.covers(LIFE, permit)
        permits.observe_answer(LIFE, AnnouncedLimit(0.5), site.now + 0.01, "r")
        assert not permits.covers(LIFE, permit)
        site.now += 10.0
        permit = await permits.take(LIFE, PLACE)
        # The clock also advances while the process is frozen or suspended.
        site.now += 3.0
        assert not permits.covers(LIFE, permit)
        assert not permits.covers(LIFE, None)
        permits.observe_answer(LIFE, UNLIMITED, site.now + 1.0, "r")
        assert permits.covers(LIFE, None)

    asyncio.run(scenario())


def test_permit_of_another_incarnation_covers_nothing(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 1)
        permits = site.gateways["g-0"]
        permit = await permits.take(LIFE, PLACE)
        permits.observe_answer("target-1@2", AnnouncedLimit(1.0), site.now, "r")
        assert not permits.covers("target-1@2", permit)

    asyncio.run(scenario())


def test_returned_permit_is_granted_to_another_gateway(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 3)
        first, second = list(site.gateways)[:2]
        await site.ask(first)
        permit = await site.gateways[first].take(LIFE, PLACE, patience=2.0)
        with pytest.raises(PermitDenied):
            await site.gateways[second].take(LIFE, PLACE, patience=1.5)
        site.gateways[first].give_back(permit)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        site.gateways[second].limit(LIFE).closed_until = float("-inf")
        got = await site.gateways[second].take(LIFE, PLACE, patience=1.6)
        assert got.valid_from == pytest.approx(permit.valid_from)

    asyncio.run(scenario())


def test_stopping_gateway_grants_nothing(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 9)
        first = site.gateways[site.lenders()[0]]
        first.may_grant = False
        request = PermitRequest(sender="x", known=first.record(LIFE), data_centre=PLACE)
        assert not first.grant(request).lends
        assert await site.ask(first.identity)  # The second lender serves it.

    asyncio.run(scenario())


def test_lender_learns_an_unknown_limit_from_the_request(monkeypatch):
    async def scenario():
        site = site_of(monkeypatch, 9)
        lender = site.gateways[site.lenders()[0]]
        lender.limit(LIFE).forget()
        other = next(name for name in site.gateways if name not in site.lenders())
        assert await site.ask(other)
        assert lender.limit(LIFE).per_second == 1.0
        assert not await site.ask(other)

    asyncio.run(scenario())


def test_end_is_distributed_and_the_latest_announcement_applies(monkeypatch):
    site = site_of(monkeypatch, 2)
    one, two = site.gateways.values()
    site.now += 5.0
    one.observe_answer(LIFE, UNLIMITED, site.now, "r")
    two.merge_limits(LimitNews(sender="g-0", limits=[one.record(LIFE)]))
    assert not two.limit(LIFE).is_limited
    two.merge_limits(LimitNews(sender="old", limits=[_limit_record(3.0, age=20.0)]))
    assert not two.limit(LIFE).is_limited
    site.now += 5.0
    two.merge_limits(LimitNews(sender="new", limits=[_limit_record(3.0, age=0.1)]))
    assert two.limit(LIFE).per_second == 3.0


def test_unknown_incarnations_are_removed_after_a_while(monkeypatch):
    site = site_of(monkeypatch, 1)
    permits = site.gateways["g-0"]
    permits.retain(set())
    assert LIFE in permits.limits()
    site.now += 11.0
    permits.retain(set())
    assert LIFE not in permits.limits()


def _limit_record(per_second, age):
    from traystall.rpc.gen.wire.ttypes import TargetLimitRecord

    return TargetLimitRecord(life=LIFE, per_second=per_second, age=age)


def test_permit_clock_includes_suspended_time():
    assert abs(clock.monotonic() - clock.time.clock_gettime(clock.time.CLOCK_BOOTTIME)) < 1.0
