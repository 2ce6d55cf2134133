"""Customers' limits: the parts of all gateways never sum above the whole."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from traystall.systems import limits
from traystall.systems.queues import FairClock, Waiter, order
from traystall.tables.entities import Customer, DataCentre, Limits, Stage

PLACES = [DataCentre(name, "r", gateways) for name, gateways in (("a", 3), ("b", 1), ("c", 2))]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.sets(st.sampled_from("abc"), min_size=1),
    st.integers(1, 50),
    st.integers(0, 3),
)
def test_parts_sum_to_the_whole_whatever_runs(inside, whole, surplus):
    """Also with more gateways than declared, and each cut off from all others."""
    customer = Customer("x", tuple(sorted(inside)), Limits(rate=float(whole), concurrency=whole))
    count = limits.gateways_inside(customer, PLACES)
    running = [
        (place.name, index)
        for place in PLACES
        if place.name in inside
        for index in range(place.gateways + surplus)
    ]
    positions = [limits.position_inside(customer, PLACES, *gateway) for gateway in running]
    assert len([p for p in positions if p < count]) == len({p for p in positions if p < count})
    assert sum(limits.part_of(whole, p, count) for p in positions) <= whole + 1e-9
    assert sum(limits.whole_part_of(whole, p, count) for p in positions) == whole


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.floats(0, 0.5), min_size=1, max_size=80), st.integers(1, 20))
def test_rate_matches_the_naive_count(gaps, rate):
    """In no window may more than the burst and the rate's worth be let through."""
    customer = Customer("x", ("a",), Limits(rate=float(rate)))
    limiter, admitted = limits.Limiter(), []
    for now in itertools.accumulate(gaps):
        if limiter.admit(customer, 0, 1, now).within:
            admitted.append(now)
            limiter.finish("x")
    for first, last in itertools.combinations(range(len(admitted)), 2):
        window = admitted[last] - admitted[first]
        assert last - first + 1 <= max(1, rate) + rate * window + 1e-6


def test_fair_order_serves_customers_by_share_within_a_class():
    large, small = Customer("large", ("a",), Limits(share=3.0)), Customer("small", ("a",))
    stage = Stage("s", "pool", "service")
    waiters = [
        Waiter(f"{c.name}{n}", c, stage, "long", 100.0 + n, 200.0, frozenset(), 0.0)
        for c in (large, small)
        for n in range(40)
    ]
    quick = Waiter("quick", small, stage, "quick", 999.0, 999.0, frozenset(), 0.0)
    waiters.append(quick)
    clock, served = FairClock(), []
    while waiters:
        chosen = order(waiters, clock)[0]
        waiters.remove(chosen)
        clock.charge(chosen.customer)
        served.append(chosen.request_id)
    assert served[0] == "quick"
    first = [name.rstrip("0123456789") for name in served[1:21]]
    assert 14 <= first.count("large") <= 16
