"""Capacity shares starve no route or customer and leave no capacity unused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from traystall.admission.shares import customer_shares, route_shares

TOLERANCE = 1e-6
POOLS = ("p", "q", "r")
ASKED = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.dictionaries(st.sampled_from(POOLS), st.floats(0.01, 1000.0), min_size=1),
    min_size=1,
)
RATES = st.dictionaries(st.sampled_from(POOLS), st.floats(0.1, 1000.0))


def allocated(requested, parts, pool):
    return sum(parts[kind].part * requested[kind].get(pool, 0.0) for kind in requested)


@given(ASKED, RATES)
def test_no_pool_is_allocated_beyond_its_rate(requested, rates):
    parts = route_shares(requested, rates)
    assert all(
        allocated(requested, parts, pool) <= rate * (1 + TOLERANCE) for pool, rate in rates.items()
    )


@given(ASKED, RATES)
def test_limited_route_names_a_pool_that_is_fully_used(requested, rates):
    parts = route_shares(requested, rates)
    for kind, found in parts.items():
        assert found.part == 1.0 or found.pool in requested[kind]
        if found.pool:
            assert allocated(requested, parts, found.pool) == pytest.approx(rates[found.pool])


@given(ASKED, RATES)
def test_no_route_gets_a_larger_share_at_the_pool_that_limits_another(requested, rates):
    """An urgent route is therefore never served a smaller share than another one there."""
    parts = route_shares(requested, rates)
    for found in parts.values():
        others = [parts[kind].part for kind in requested if found.pool in requested[kind]]
        assert all(part <= found.part + TOLERANCE for part in others)


@given(ASKED, RATES)
def test_no_route_is_starved(requested, rates):
    assert all(found.part > 0.0 for found in route_shares(requested, rates).values())


def test_demand_lost_at_one_pool_frees_capacity_at_the_next():
    requested = {"chain": {"p": 100.0, "q": 100.0}, "single": {"p": 100.0}}
    parts = route_shares(requested, {"p": 120.0, "q": 40.0})
    assert parts["chain"].part == pytest.approx(0.4) and parts["chain"].pool == "q"
    assert parts["single"].part == pytest.approx(0.8) and parts["single"].pool == "p"


def test_pools_with_enough_capacity_limit_no_route():
    parts = route_shares({"a": {"p": 10.0}, "b": {}}, {"p": 11.0})
    assert all(found.part == 1.0 and not found.pool for found in parts.values())


CUSTOMERS = st.dictionaries(st.text("abcdef", min_size=1), st.floats(0.01, 100.0), min_size=1)


@given(CUSTOMERS, st.floats(0.01, 500.0))
def test_customers_share_the_capacity_up_to_one_level(requested, rate):
    parts = customer_shares(requested, rate)
    granted = {name: parts[name] * requested[name] for name in requested}
    assert sum(granted.values()) == pytest.approx(min(rate, sum(requested.values())))
    limited = [granted[name] for name in requested if parts[name] < 1.0 - TOLERANCE]
    assert all(level == pytest.approx(max(granted.values())) for level in limited)
    assert all(part > 0.0 for part in parts.values())


@given(CUSTOMERS, st.floats(0.01, 500.0), st.floats(1.0, 10.0))
def test_more_requests_of_one_customer_take_nothing_from_others_at_the_level(
    requested, rate, times
):
    """Retries of a limited customer's callers leave the shares of other customers unchanged."""
    name = max(requested, key=requested.get)
    before = customer_shares(requested, rate)
    after = customer_shares({**requested, name: requested[name] * times}, rate)
    if before[name] < 1.0 - TOLERANCE:
        for other in requested.keys() - {name}:
            assert after[other] == pytest.approx(before[other])
