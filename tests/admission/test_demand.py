"""Whose turn it is follows from what all have asked for lately."""

import pytest

from traystall.admission.demand import DemandTracker

PIECES = {"p": 1}


def ask(demand, kind, customer, now, rates):
    """Ask to begin; return whether it was let in."""
    demand.requested(kind, customer, PIECES, now)
    demand.update_shares(rates, now)
    if not demand.may_start(kind, customer):
        return False
    demand.record_start(kind, customer)
    return True


def rush(rates, seconds=10.0, asks=(("patient", "a", 50.0), ("quick", "b", 10.0))):
    """Return which part of its requests each pair of kind and customer began, after a second."""
    demand = DemandTracker()
    times = sorted(
        (number / rate, kind, customer)
        for kind, customer, rate in asks
        for number in range(int(seconds * rate))
    )
    began = {}
    for now, kind, customer in times:
        found = ask(demand, kind, customer, now, rates)
        if now > 2.0:
            began.setdefault((kind, customer), []).append(found)
    return {key: sum(found) / len(found) for key, found in began.items()}


def test_all_begin_where_nothing_binds():
    assert set(rush({}).values()) == {1.0}


def test_kinds_that_meet_at_a_crowded_pool_begin_alike():
    parts = rush({"p": 30.0})
    assert parts["patient", "a"] == pytest.approx(0.5, abs=0.08)
    assert parts["quick", "b"] == pytest.approx(0.5, abs=0.08)


def test_a_customer_that_asks_often_is_cut_and_a_small_one_is_not():
    asks = (("k", "large", 50.0), ("k", "small", 5.0), ("k", "rare", 1.0))
    parts = rush({"p": 30.0}, asks=asks)
    assert parts["k", "small"] == parts["k", "rare"] == 1.0
    assert parts["k", "large"] == pytest.approx(24 / 50, abs=0.08)


def test_who_repeats_takes_from_its_own_customer():
    calm = rush({"p": 30.0}, asks=(("k", "a", 25.0), ("k", "b", 25.0)))
    repeats = rush({"p": 30.0}, asks=(("k", "a", 75.0), ("k", "b", 25.0)))
    assert repeats["k", "b"] >= calm["k", "b"] - 0.08
    assert repeats["k", "a"] * 75 <= calm["k", "a"] * 25 * 1.15


def test_a_rush_that_is_over_binds_nobody():
    demand = DemandTracker()
    for number in range(100):
        ask(demand, "k", "a", number * 0.01, {"p": 10.0})
    assert demand.part("k").pool == "p"
    assert ask(demand, "k", "a", 3.0, {})
    assert not demand.part("k").pool


def test_rows_of_those_who_ask_no_more_go():
    demand = DemandTracker()
    for number in range(16_000):
        demand.requested("k", f"c{number}", PIECES, number * 0.01)
    demand.update_shares({}, 160.0)
    assert demand.customer_count() <= 1_002
    demand.update_shares({}, 300.0)
    assert demand.customer_count() == 0
    assert demand.part("k").part == 1.0
