"""Admission by share follows from the recent demand of all customers."""

import pytest

from traystall.admission.demand import DemandTracker

PIECES = {"p": 1}


def try_start(demand, kind, customer, now, rates):
    """Send one request; return whether it is admitted."""
    demand.requested(kind, customer, PIECES, now)
    demand.update_shares(rates, now)
    if not demand.may_start(kind, customer):
        return False
    demand.record_start(kind, customer)
    return True


def admitted_ratios(rates, seconds=10.0, loads=(("patient", "a", 50.0), ("quick", "b", 10.0))):
    """Return the admitted ratio of the requests after 2 s, by route and customer."""
    demand = DemandTracker()
    times = sorted(
        (number / rate, kind, customer)
        for kind, customer, rate in loads
        for number in range(int(seconds * rate))
    )
    outcomes = {}
    for now, kind, customer in times:
        found = try_start(demand, kind, customer, now, rates)
        if now > 2.0:
            outcomes.setdefault((kind, customer), []).append(found)
    return {key: sum(found) / len(found) for key, found in outcomes.items()}


def test_all_requests_are_admitted_without_a_limiting_pool():
    assert set(admitted_ratios({}).values()) == {1.0}


def test_routes_at_a_congested_pool_get_the_same_share():
    parts = admitted_ratios({"p": 30.0})
    assert parts["patient", "a"] == pytest.approx(0.5, abs=0.08)
    assert parts["quick", "b"] == pytest.approx(0.5, abs=0.08)


def test_large_customer_is_limited_and_small_customers_are_not():
    loads = (("k", "large", 50.0), ("k", "small", 5.0), ("k", "rare", 1.0))
    parts = admitted_ratios({"p": 30.0}, loads=loads)
    assert parts["k", "small"] == parts["k", "rare"] == 1.0
    assert parts["k", "large"] == pytest.approx(24 / 50, abs=0.08)


def test_retries_of_a_customer_count_against_its_own_share():
    usual = admitted_ratios({"p": 30.0}, loads=(("k", "a", 25.0), ("k", "b", 25.0)))
    with_retries = admitted_ratios({"p": 30.0}, loads=(("k", "a", 75.0), ("k", "b", 25.0)))
    assert with_retries["k", "b"] >= usual["k", "b"] - 0.08
    assert with_retries["k", "a"] * 75 <= usual["k", "a"] * 25 * 1.15


def test_no_route_is_limited_after_a_load_peak():
    demand = DemandTracker()
    for number in range(100):
        try_start(demand, "k", "a", number * 0.01, {"p": 10.0})
    assert demand.part("k").pool == "p"
    assert try_start(demand, "k", "a", 3.0, {})
    assert not demand.part("k").pool


def test_customers_without_requests_are_removed():
    demand = DemandTracker()
    for number in range(16_000):
        demand.requested("k", f"c{number}", PIECES, number * 0.01)
    demand.update_shares({}, 160.0)
    assert demand.customer_count() <= 1_002
    demand.update_shares({}, 300.0)
    assert demand.customer_count() == 0
    assert demand.part("k").part == 1.0
