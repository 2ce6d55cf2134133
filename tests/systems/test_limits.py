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
    count = limits.count_gateways(customer, PLACES)
    running = [
        (place.name, index)
        for place in PLACES
        if place.name in inside
        for index in range(place.gateways + surplus)
    ]
    positions = [limits.gateway_position(customer, PLACES, *gateway) for gateway in running]
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
        if limiter.admit(customer, 0, 1, now, 1.0).within:
            admitted.append(now)
            limiter.finish("x")
    for first, last in itertools.combinations(range(len(admitted)), 2):
        window = admitted[last] - admitted[first]
        assert last - first + 1 <= max(1, rate) + rate * window + 1e-6


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.randoms(use_true_random=False), st.integers(1, 12), st.booleans())
def test_loans_never_make_the_parts_exceed_the_whole(rng, whole, answers_get_lost):
    """Random requests, ends and loans at three gateways whose clocks differ."""
    customer = Customer("x", ("a",), Limits(rate=float(whole), concurrency=whole))
    gateways = [limits.Limiter() for _ in range(3)]
    offsets = [rng.uniform(0, 50) for _ in gateways]
    now, admitted, running = 0.0, 0, []
    for _ in range(120):
        now += rng.choice((0.0, 0.05, 0.5, 8.0))
        running = [(end, g) for end, g in running if not ends(gateways, end, g, now)]
        at = rng.randrange(3)
        seconds = rng.choice((0.5, 5.0, 20.0))
        verdict = gateways[at].admit(customer, at, 3, now + offsets[at], seconds)
        if verdict.within:
            admitted += 1
            running.append((now + seconds, at))
        else:
            lender = (at + rng.choice((1, 2))) % 3
            loan = gateways[lender].grant(
                customer, lender, 3, now + offsets[lender], limits.Loan(8.0, 4)
            )
            if not (answers_get_lost and rng.random() < 0.5):
                gateways[at].borrow("x", loan, now + offsets[at])
        assert len(running) <= whole
        assert admitted <= 3 * max(1.0, whole / 3) + whole * now + 1e-6


def ends(gateways, end, gateway, now):
    """Return whether a request has ended by now, and count it out."""
    if end <= now:
        gateways[gateway].finish("x")
    return end <= now


def test_borrowing_lets_one_gateway_use_the_whole():
    customer = Customer("x", ("a",), Limits(concurrency=9))
    one, other = limits.Limiter(), limits.Limiter()
    while one.admit(customer, 0, 2, 0.0, 1.0).within:
        pass
    for _ in range(4):
        loan = other.grant(customer, 1, 2, 0.0, limits.Loan(8.0, 4))
        one.borrow("x", loan, 0.0)
    extra = 0
    while one.admit(customer, 0, 2, 0.0, 1.0).within:
        extra += 1
    assert extra == 4
    assert not other.admit(customer, 1, 2, 0.0, 1.0).within
    assert other.admit(customer, 1, 2, limits.LOAN_SECONDS, 1.0).within


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
