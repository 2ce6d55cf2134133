"""Two gateways never grant a full limit at once, however their views of the membership differ."""

import copy
import random

import pytest

from traystall.permits.lenders import SETTLE_SECONDS, LenderRanking
from traystall.systems.permits import FIRST_LENDER_SHARE, SECOND_LENDER_SHARE
from traystall.tables.gateways import GatewayRow

LIFE = "target-1"
# Maximum delay with which a gateway receives a change of the membership.
_LAG_SECONDS = 2.0
_ROUNDING_SECONDS = 1e-6


def row(name, data_centre="here", state="serving", lends=True):
    return GatewayRow(name, name, data_centre, "", f"{name}:1", 1, state, 0.0, False, lends=lends)


def settled_ranking(own, rows):
    lender_ranking = LenderRanking(own)
    lender_ranking.note(rows, 0.0)
    lender_ranking.note(rows, SETTLE_SECONDS)
    return lender_ranking


@pytest.mark.parametrize("count", [1, 2, 9, 24, 195])
def test_all_gateways_agree_on_two_lenders(count):
    rows = [row(f"g-{n}") for n in range(count)]
    parts = [settled_ranking(r.identity, rows).part(LIFE, "here", SETTLE_SECONDS) for r in rows]
    assert sorted(parts, reverse=True)[:2] == [FIRST_LENDER_SHARE, SECOND_LENDER_SHARE][:count]
    assert sum(part > 0 for part in parts) == min(2, count)


def test_lenders_are_in_the_targets_data_centre_if_possible():
    rows = [row(f"g-{n}", "here" if n < 3 else "there") for n in range(9)]
    lender_ranking = settled_ranking("g-0", rows)
    assert set(lender_ranking.lenders(LIFE, "here")) <= {"g-0", "g-1", "g-2"}
    assert set(lender_ranking.lenders(LIFE, "there")).isdisjoint({"g-0", "g-1", "g-2"})
    assert len(lender_ranking.lenders(LIFE, "nowhere")) == 2


def test_gateways_without_permit_support_are_never_lenders():
    rows = [row(f"old-{n}", lends=False) for n in range(5)]
    lender_ranking = settled_ranking("g-0", rows)
    assert lender_ranking.lenders(LIFE, "here") == []
    assert lender_ranking.part(LIFE, "here", SETTLE_SECONDS) == 0.0
    assert settled_ranking("g-0", [*rows, row("g-0")]).lenders(LIFE, "here") == ["g-0"]


def test_draining_gateway_is_not_ranked():
    rows = [row("g-0"), row("g-1", state="draining")]
    assert settled_ranking("g-0", rows).lenders(LIFE, "here") == ["g-0"]


def test_new_gateway_grants_nothing_until_its_view_settles():
    lender_ranking = LenderRanking("g-0")
    assert lender_ranking.part(LIFE, "here", 0.0) == 0.0
    lender_ranking.note([row("g-0")], 0.0)
    assert lender_ranking.part(LIFE, "here", SETTLE_SECONDS - 0.1) == 0.0
    assert lender_ranking.part(LIFE, "here", SETTLE_SECONDS) == FIRST_LENDER_SHARE


def test_second_lender_becomes_first_in_two_steps():
    rows = [row(f"g-{n}") for n in range(3)]
    first, second = settled_ranking("g-0", rows).lenders(LIFE, "here")
    lender_ranking = settled_ranking(second, rows)
    left = [r for r in rows if r.identity != first]
    now = SETTLE_SECONDS + 1.0
    lender_ranking.note(left, now)
    assert lender_ranking.part(LIFE, "here", now) == SECOND_LENDER_SHARE
    assert lender_ranking.part(LIFE, "here", now + SETTLE_SECONDS) == FIRST_LENDER_SHARE


@pytest.mark.parametrize("seed", range(20))
def test_lender_grants_from_the_moment_it_names(seed):
    source = random.Random(seed)
    rows = [row(f"g-{n}") for n in range(4)]
    lender_ranking = LenderRanking("g-0")
    now = 0.0
    for _ in range(10):
        now += source.uniform(0.1, SETTLE_SECONDS)
        others = [r for r in rows[1:] if source.random() < 0.6]
        lender_ranking.note([rows[0], *others], now)
        settled_at = lender_ranking.settled_at(LIFE, "here")
        is_lender = "g-0" in lender_ranking.lenders(LIFE, "here")
        assert (settled_at is not None) == is_lender
        if is_lender:
            assert (lender_ranking.part(LIFE, "here", now) > 0) == (now >= settled_at)
            later = max(now, settled_at) + _ROUNDING_SECONDS
            # The query for a later time removes views.
            assert copy.deepcopy(lender_ranking).part(LIFE, "here", later) > 0


@pytest.mark.parametrize("seed", range(20))
def test_differing_views_never_give_two_first_lenders(seed):
    """Gateways start and stop, and each of the others learns of it after its own delay."""
    source = random.Random(seed)
    rows = {f"g-{n}": row(f"g-{n}") for n in range(6)}
    running, now = dict.fromkeys(rows, 0.0), 0.0
    lender_ranking = {name: LenderRanking(name) for name in rows}
    pending = [(0.0, name, tuple(rows)) for name in rows]
    highest = 0.0
    while now < 120.0:
        now += 0.25
        if source.random() < 0.04:
            stopped = source.choice(list(running))
            if len(running) > 2:
                del running[stopped], lender_ranking[stopped]
            new = f"g-{now}"
            running[new], lender_ranking[new] = now, LenderRanking(new)
            members = tuple(running)
            pending += [(now + source.uniform(0, _LAG_SECONDS), n, members) for n in running]
        for at, name, members in [entry for entry in pending if entry[0] <= now]:
            pending.remove((at, name, members))
            if name in lender_ranking:
                lender_ranking[name].note([row(member) for member in members], now)
        parts = [lender_ranking[name].part(LIFE, "here", now) for name in running]
        assert sum(part == FIRST_LENDER_SHARE for part in parts) <= 1
        assert sum(parts) <= 1.5
        highest = max(highest, sum(parts))
    assert highest == pytest.approx(FIRST_LENDER_SHARE + SECOND_LENDER_SHARE)
