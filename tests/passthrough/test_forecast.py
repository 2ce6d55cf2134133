"""Forecasts of admission: right in a burst, cautious when there is too much, cheap with many."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.stage_burst import Burst, chain, hive_kinds, hive_pools
from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad, stage_times
from traystall.passthrough.admission.timeline import SPAN_SECONDS, DemandTimeline
from traystall.routes.models import StagePlan

SECONDS = 14.0
BURST_FROM, BURST_TO, BURST_FACTOR = 3.0, 10.0, 2.4


def burst_of(name):
    def factor(kind, time):
        return BURST_FACTOR if kind == name and BURST_FROM < time < BURST_TO else 1.0

    return factor


def play(name, load=1.0, seed=1):
    """Return the parts of the requests that were refused, and in time, in a burst of one kind."""
    kinds = [msgspec.structs.replace(kind, rate=kind.rate * load) for kind in hive_kinds()]
    fates = Burst(hive_pools(), kinds, seed).run(SECONDS, burst_of(name))
    refused = sum(fate.refused for fate in fates) / len(fates)
    return refused, sum(fate.in_time for fate in fates) / len(fates)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("name", ["none", "brief", "summary", "chat"])
def test_burst_that_fits_into_the_pools_is_let_in(name, seed):
    """Counting all that will be asked as if it were asked now refused a quarter of these."""
    refused, in_time = play(name, seed=seed)
    assert refused < 0.01
    assert in_time > 0.98


@pytest.mark.parametrize("name", ["brief", "chat"])
def test_burst_that_does_not_fit_is_served_as_far_as_it_goes(name):
    """What is let in is mostly in time; without any refusal nearly all would be late."""
    refused, in_time = play(name, load=2.0)
    late = 1 - refused - in_time
    assert refused > 0.1
    assert late < 0.25
    assert in_time > 0.5


EXPECTED = st.lists(
    st.tuples(st.integers(0, 2), st.floats(0.0, 3.0), st.integers(1, 40)), max_size=25
)


@given(EXPECTED, st.integers(0, 200), st.floats(1.0, 500.0), st.floats(0.0, 2.0), st.floats(0, 2))
def test_backlog_is_what_comes_less_what_is_served(expected, waiting, rate, now, later):
    timeline = DemandTimeline()
    for priority, at, pieces in expected:
        timeline.expect(priority, at, pieces)
    at = now + later
    before = sum(n for p, t, n in expected if p <= 1 and t <= at + SPAN_SECONDS)
    found = timeline.backlog(1, waiting, rate, now, at)
    assert 0.0 <= found <= waiting + before
    assert found >= waiting + 0.0 - rate * later - 1e-6
    assert timeline.backlog(1, waiting, 1e12, now, now + 10.0) == 0.0
    assert timeline.backlog(2, waiting, rate, now, at) >= found - 1e-6


@given(EXPECTED)
def test_what_is_taken_back_leaves_nothing(expected):
    timeline = DemandTimeline()
    held = [timeline.expect(*one) for one in expected]
    assert timeline.total(2) == sum(pieces for _, _, pieces in expected)
    for one in held:
        timeline.take_back(one)
    assert timeline.total(2) == 0
    assert timeline.backlog(2, 7, 1.0, 0.0, 0.0) == 7


def test_what_is_overdue_counts_as_coming_now():
    timeline = DemandTimeline()
    timeline.expect(1, 1.0, 30)
    assert timeline.backlog(1, 0, 10.0, 5.0, 5.0) == 30
    assert timeline.backlog(1, 0, 10.0, 5.0, 6.0) == 20


def test_stages_follow_one_another():
    stages = (StagePlan("a"), StagePlan("a"), StagePlan("b", (0, 1)), StagePlan("c", (2,)))
    waits = {"a": 0.1, "b": 0.5, "c": 0.0}
    times = stage_times(
        stages, (1, 0, 4, 2), lambda pool: 0.2, lambda pool, at: waits[pool], now=10.0
    )
    requested = [round(at, 6) for at, _ in times]
    ends = [round(end, 6) for _, end in times]
    assert requested == [10.0, 10.0, 10.3, 11.0]
    assert ends == [10.3, 10.0, 11.0, 11.2]


ROUTE = chain("r", 1.0, "p", "q")
REQUESTS = st.lists(
    st.tuples(st.floats(0.0, 0.2), st.floats(-1.0, 2.0), st.integers(0, 2), st.floats(0.05, 8.0)),
    min_size=1,
    max_size=40,
)


@given(REQUESTS, st.integers(0, 300), st.floats(0.0, 200.0))
def test_nobody_is_let_in_to_be_late_or_asked_back_too_late(requests, waiting, rate):
    book = AdmissionController()
    loads = {pool: PoolLoad(lambda priority, due: waiting, rate, 0.2) for pool in ("p", "q")}
    now = 0.0
    for number, (pause, slack, priority, left) in enumerate(requests):
        now += pause
        arrival = AdmissionRequest(f"r{number}", ROUTE, (1, 8), priority, slack, left, f"m{number}")
        verdict = book.admit(arrival, loads, now)
        if verdict.admitted:
            assert verdict.wait <= max(0.25, slack)
        else:
            assert 0 < verdict.retry_after <= max(left, 0.4)


@pytest.mark.parametrize("rates", [(0.0, 0.0), (0.0, 9.0), (9.0, 0.0), (1e-300, 9.0)])
def test_pool_without_targets_lets_nobody_in(rates):
    loads = {
        pool: PoolLoad(lambda priority, due: 5, rate, 0.2)
        for pool, rate in zip(("p", "q"), rates, strict=True)
    }
    verdict = AdmissionController().admit(
        AdmissionRequest("r", ROUTE, (1, 8), 1, 5.0, 6.0, "m"), loads, 0.0
    )
    assert not verdict.admitted
