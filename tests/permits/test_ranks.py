"""At no time do two gateways lend a whole limit, whatever each of them knows of the others."""

import random

import pytest

from traystall.permits.lenders import SETTLE_SECONDS, LenderRanking
from traystall.systems.permits import FIRST_PART, SECOND_PART
from traystall.tables.gateways import GatewayRow

LIFE = "target-1"
# Views of the same membership come so much apart at the most, in seconds.
_LAG_SECONDS = 2.0


def row(name, place="here", state="serving", lends=True):
    return GatewayRow(name, name, place, "", f"{name}:1", 1, state, 0.0, False, lends=lends)


def settled(own, rows):
    ranks = LenderRanking(own)
    ranks.note(rows, 0.0)
    ranks.note(rows, SETTLE_SECONDS)
    return ranks


@pytest.mark.parametrize("count", [1, 2, 9, 24, 195])
def test_just_two_lend_and_all_agree_who(count):
    rows = [row(f"g-{n}") for n in range(count)]
    parts = [settled(r.identity, rows).part(LIFE, "here", SETTLE_SECONDS) for r in rows]
    assert sorted(parts, reverse=True)[:2] == [FIRST_PART, SECOND_PART][:count]
    assert sum(part > 0 for part in parts) == min(2, count)


def test_lenders_are_near_the_target_if_any_gateway_is():
    rows = [row(f"g-{n}", "here" if n < 3 else "there") for n in range(9)]
    ranks = settled("g-0", rows)
    assert set(ranks.lenders(LIFE, "here")) <= {"g-0", "g-1", "g-2"}
    assert set(ranks.lenders(LIFE, "there")).isdisjoint({"g-0", "g-1", "g-2"})
    assert len(ranks.lenders(LIFE, "nowhere")) == 2


def test_gateways_that_know_no_permits_are_never_asked():
    rows = [row(f"old-{n}", lends=False) for n in range(5)]
    ranks = settled("g-0", rows)
    assert ranks.lenders(LIFE, "here") == []
    assert ranks.part(LIFE, "here", SETTLE_SECONDS) == 0.0
    assert settled("g-0", [*rows, row("g-0")]).lenders(LIFE, "here") == ["g-0"]


def test_gateway_that_stops_is_not_ranked():
    rows = [row("g-0"), row("g-1", state="draining")]
    assert settled("g-0", rows).lenders(LIFE, "here") == ["g-0"]


def test_gateway_that_has_just_come_lends_nothing():
    ranks = LenderRanking("g-0")
    assert ranks.part(LIFE, "here", 0.0) == 0.0
    ranks.note([row("g-0")], 0.0)
    assert ranks.part(LIFE, "here", SETTLE_SECONDS - 0.1) == 0.0
    assert ranks.part(LIFE, "here", SETTLE_SECONDS) == FIRST_PART


def test_second_lender_takes_over_in_two_steps():
    rows = [row(f"g-{n}") for n in range(3)]
    first, second = settled("g-0", rows).lenders(LIFE, "here")
    ranks = settled(second, rows)
    left = [r for r in rows if r.identity != first]
    now = SETTLE_SECONDS + 1.0
    ranks.note(left, now)
    assert ranks.part(LIFE, "here", now) == SECOND_PART
    assert ranks.part(LIFE, "here", now + SETTLE_SECONDS) == FIRST_PART


@pytest.mark.parametrize("seed", range(20))
def test_views_that_differ_for_a_while_never_make_two_first_lenders(seed):
    """Gateways come and end; each hears of it late by its own time; who ended lends nothing."""
    source = random.Random(seed)
    rows = {f"g-{n}": row(f"g-{n}") for n in range(6)}
    alive, now = dict.fromkeys(rows, 0.0), 0.0
    ranks = {name: LenderRanking(name) for name in rows}
    pending = [(0.0, name, tuple(rows)) for name in rows]
    highest = 0.0
    while now < 120.0:
        now += 0.25
        if source.random() < 0.04:
            gone = source.choice(list(alive))
            if len(alive) > 2:
                del alive[gone], ranks[gone]
            new = f"g-{now}"
            alive[new], ranks[new] = now, LenderRanking(new)
            members = tuple(alive)
            pending += [(now + source.uniform(0, _LAG_SECONDS), n, members) for n in alive]
        for at, name, members in [entry for entry in pending if entry[0] <= now]:
            pending.remove((at, name, members))
            if name in ranks:
                ranks[name].note([row(member) for member in members], now)
        parts = [ranks[name].part(LIFE, "here", now) for name in alive]
        assert sum(part == FIRST_PART for part in parts) <= 1
        assert sum(parts) <= 1.5
        highest = max(highest, sum(parts))
    assert highest == pytest.approx(FIRST_PART + SECOND_PART)
