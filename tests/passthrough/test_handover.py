"""A new batcher uses the queue waits of its predecessor for a short time."""

import pytest

from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.passthrough.admission.handover import Handover
from traystall.routes.models import Route, Split, StagePlan

STAGES = (StagePlan("p"), StagePlan("q", (0,)))
ROUTE = Route("r", "h", "/", (Split("engine"),), aim=1.0, stages=STAGES)
SHARED = frozenset({"p", "q"})


def loads():
    return {pool: PoolLoad(lambda priority, due: 0, 100.0, 0.2) for pool in "pq"}


def ahead(handover, now):
    return handover.add_to(loads(), now)["q"].waiting(0, float("inf"))


def test_reported_waits_count_until_the_takeover_is_complete():
    handover = Handover()
    handover.add_waits({"q": 0.5}, 0.1, 10.0)
    assert ahead(handover, 10.2) == 50
    assert ahead(handover, 10.2 + 1.0) == 0


@pytest.mark.parametrize(("age", "now"), [(3.0, 10.0), (-1.0, 10.0), (0.1, 12.0)])
def test_old_and_late_reports_are_ignored(age, now):
    handover = Handover()
    handover.add_to(loads(), 10.0)
    handover.add_waits({"q": 0.5}, age, now)
    assert ahead(handover, now) == 0


def test_repeated_reports_count_once():
    handover = Handover()
    for _ in range(3):
        handover.add_waits({"q": 0.5}, 0.1, 10.0)
    assert ahead(handover, 10.1) == 50


def test_reports_on_removed_pools_are_ignored():
    handover = Handover()
    handover.add_waits({"gone": 9.0}, 0.1, 10.0)
    assert ahead(handover, 10.1) == 0


@pytest.mark.parametrize("wait", [float("inf"), float("nan"), -1.0])
def test_waits_that_are_not_finite_or_negative_are_ignored(wait):
    handover = Handover()
    handover.add_waits({"q": wait}, 0.1, 10.0)
    assert ahead(handover, 10.1) == 0


def test_report_on_a_pool_without_targets_is_accepted():
    """The wait of such a pool is infinite, which must not fail requests at the next batcher."""
    no_targets = {pool: PoolLoad(lambda priority, due: 3, 0.0, 0.2) for pool in "pq"}
    before, after = AdmissionController(), AdmissionController()
    assert not before.admit(admission_request("a"), no_targets, 10.0, SHARED).admitted
    after.merge_peer_waits(before.waits(10.1), 0.1, 10.2)
    assert after.admit(admission_request("b"), loads(), 10.3, SHARED).admitted


def admission_request(name, made=frozenset()):
    return AdmissionRequest(name, ROUTE, (1, 8), 1, 0.3, 6.0, name, made=made)


def test_request_admitted_elsewhere_goes_on_and_a_new_one_is_refused():
    book = AdmissionController()
    book.merge_peer_waits({"q": 5.0}, 0.1, 10.0)
    assert not book.admit(admission_request("new"), loads(), 10.1, SHARED).admitted
    begun = admission_request("begun", made=frozenset({0}))
    assert book.admit(begun, loads(), 10.1, SHARED).admitted
    assert book.expected_pieces("p", 1) == 0
    assert book.expected_pieces("q", 1) == 8
    book.made("begun", 1, 0.4, 10.5)
    assert book.expected_pieces("q", 1) == 0
