"""A gateway that takes over batching goes by what the one before has told, for a moment."""

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


def test_what_was_told_counts_until_those_who_began_have_asked():
    handover = Handover()
    handover.told({"q": 0.5}, 0.1, 10.0)
    assert ahead(handover, 10.2) == 50
    assert ahead(handover, 10.2 + 1.0) == 0


@pytest.mark.parametrize(("age", "now"), [(3.0, 10.0), (-1.0, 10.0), (0.1, 12.0)])
def test_old_and_late_words_say_nothing(age, now):
    handover = Handover()
    handover.add_to(loads(), 10.0)
    handover.told({"q": 0.5}, age, now)
    assert ahead(handover, now) == 0


def test_doubled_words_count_once():
    handover = Handover()
    for _ in range(3):
        handover.told({"q": 0.5}, 0.1, 10.0)
    assert ahead(handover, 10.1) == 50


def test_pools_that_are_no_more_are_passed_over():
    handover = Handover()
    handover.told({"gone": 9.0}, 0.1, 10.0)
    assert ahead(handover, 10.1) == 0


@pytest.mark.parametrize("wait", [float("inf"), float("nan"), -1.0])
def test_pools_without_targets_there_are_judged_by_what_is_here(wait):
    handover = Handover()
    handover.told({"q": wait}, 0.1, 10.0)
    assert ahead(handover, 10.1) == 0


def test_a_pool_that_lost_all_targets_is_told_and_taken_over():
    """Its wait has no end; it once ended the requests of the next batcher with an error."""
    nowhere = {pool: PoolLoad(lambda priority, due: 3, 0.0, 0.2) for pool in "pq"}
    before, after = AdmissionController(), AdmissionController()
    assert not before.admit(arrival("a"), nowhere, 10.0, SHARED).admitted
    after.merge_peer_waits(before.waits(10.1), 0.1, 10.2)
    assert after.admit(arrival("b"), loads(), 10.3, SHARED).admitted


def arrival(name, made=frozenset()):
    return AdmissionRequest(name, ROUTE, (1, 8), 1, 0.3, 6.0, name, made=made)


def test_what_has_begun_elsewhere_goes_on_and_what_has_not_waits_its_turn():
    book = AdmissionController()
    book.merge_peer_waits({"q": 5.0}, 0.1, 10.0)
    assert not book.admit(arrival("new"), loads(), 10.1, SHARED).admitted
    begun = arrival("begun", made=frozenset({0}))
    assert book.admit(begun, loads(), 10.1, SHARED).admitted
    assert book.expected_pieces("p", 1) == 0
    assert book.expected_pieces("q", 1) == 8
    book.made("begun", 1, 0.4, 10.5)
    assert book.expected_pieces("q", 1) == 0
