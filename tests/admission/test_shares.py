"""Crowded pools are divided so that nobody is starved and nothing is left unused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from traystall.admission.shares import parts_of_customers, parts_of_kinds

NEARLY = 1e-6
POOLS = ("p", "q", "r")
ASKED = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.dictionaries(st.sampled_from(POOLS), st.floats(0.01, 1000.0), min_size=1),
    min_size=1,
)
RATES = st.dictionaries(st.sampled_from(POOLS), st.floats(0.1, 1000.0))


def used(requested, parts, pool):
    return sum(parts[kind].part * requested[kind].get(pool, 0.0) for kind in requested)


@given(ASKED, RATES)
def test_no_pool_is_given_more_than_it_makes(requested, rates):
    parts = parts_of_kinds(requested, rates)
    assert all(used(requested, parts, pool) <= rate * (1 + NEARLY) for pool, rate in rates.items())


@given(ASKED, RATES)
def test_who_gets_less_than_all_is_bound_by_a_pool_that_is_used_up(requested, rates):
    parts = parts_of_kinds(requested, rates)
    for kind, found in parts.items():
        assert found.part == 1.0 or found.pool in requested[kind]
        if found.pool:
            assert used(requested, parts, found.pool) == pytest.approx(rates[found.pool])


@given(ASKED, RATES)
def test_nobody_gets_a_larger_part_at_the_pool_that_binds_another(requested, rates):
    """So the more urgent of two kinds that meet there is never served a smaller part."""
    parts = parts_of_kinds(requested, rates)
    for found in parts.values():
        beside = [parts[kind].part for kind in requested if found.pool in requested[kind]]
        assert all(part <= found.part + NEARLY for part in beside)


@given(ASKED, RATES)
def test_no_kind_is_starved(requested, rates):
    assert all(found.part > 0.0 for found in parts_of_kinds(requested, rates).values())


def test_what_a_kind_does_not_get_at_one_pool_others_get_at_the_next():
    requested = {"chain": {"p": 100.0, "q": 100.0}, "single": {"p": 100.0}}
    parts = parts_of_kinds(requested, {"p": 120.0, "q": 40.0})
    assert parts["chain"].part == pytest.approx(0.4) and parts["chain"].pool == "q"
    assert parts["single"].part == pytest.approx(0.8) and parts["single"].pool == "p"


def test_pools_with_enough_bind_nobody():
    parts = parts_of_kinds({"a": {"p": 10.0}, "b": {}}, {"p": 11.0})
    assert all(found.part == 1.0 and not found.pool for found in parts.values())


CUSTOMERS = st.dictionaries(st.text("abcdef", min_size=1), st.floats(0.01, 100.0), min_size=1)


@given(CUSTOMERS, st.floats(0.01, 500.0))
def test_customers_get_what_there_is_up_to_one_level(requested, rate):
    parts = parts_of_customers(requested, rate)
    given_ = {name: parts[name] * requested[name] for name in requested}
    assert sum(given_.values()) == pytest.approx(min(rate, sum(requested.values())))
    cut = [given_[name] for name in requested if parts[name] < 1.0 - NEARLY]
    assert all(level == pytest.approx(max(given_.values())) for level in cut)
    assert all(part > 0.0 for part in parts.values())


@given(CUSTOMERS, st.floats(0.01, 500.0), st.floats(1.0, 10.0))
def test_who_asks_more_often_takes_nothing_from_others_beyond_the_level(requested, rate, times):
    """A customer whose callers repeat gets no more than one that asks for as much."""
    name = max(requested, key=requested.get)
    before = parts_of_customers(requested, rate)
    after = parts_of_customers({**requested, name: requested[name] * times}, rate)
    if before[name] < 1.0 - NEARLY:
        for other in requested.keys() - {name}:
            assert after[other] == pytest.approx(before[other])
