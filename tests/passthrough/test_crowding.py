"""A pool counts as crowded by what the least patient kind that asks there may wait."""

import pytest

from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.routes.models import Route, Split, StagePlan

SHARED = frozenset({"p", "q"})
STAGES = (StagePlan("p"), StagePlan("q", (0,)))
PATIENT = Route("patient", "h", "/", (Split("engine"),), aim=3.0, stages=STAGES)
QUICK = Route("quick", "h", "/", (Split("engine"),), aim=1.0, stages=STAGES)
SLACKS = {"patient": 2.0, "quick": 0.4}


def arrival(name, route, customer="c"):
    slack = SLACKS[route.name]
    return AdmissionRequest(name, route, (1, 1), 1, slack, 6.0, name, customer=customer)


def loads(due_at, pieces, rate=100.0):
    """Return pools in which `pieces` wait that should begin at `due_at`."""

    def waiting(priority, due):
        return pieces if due_at <= due else 0

    return {pool: PoolLoad(waiting, rate, 0.2) for pool in SHARED}


def ask(book, name, route, now, pieces=0, due_at=0.0, customer="c"):
    return book.admit(arrival(name, route, customer), loads(due_at, pieces), now, SHARED)


def test_what_may_wait_longer_goes_after_an_impatient_request():
    book = AdmissionController()
    assert ask(book, "a", QUICK, 10.0, pieces=150, due_at=12.0).admitted
    assert not ask(book, "b", QUICK, 10.0, pieces=150, due_at=10.1).admitted


def test_long_queue_of_patient_work_is_no_crowd_where_only_patient_kinds_ask():
    book = AdmissionController()
    verdicts = [
        ask(book, f"r{n}", PATIENT, 10.0 + n * 0.02, pieces=60, due_at=11.0) for n in range(50)
    ]
    assert all(verdict.admitted and not verdict.binding for verdict in verdicts)


def test_the_same_queue_is_a_crowd_while_an_impatient_kind_asks():
    book = AdmissionController()
    verdicts = []
    for n in range(200):
        now = 10.0 + n * 0.01
        route = QUICK if n % 4 == 0 else PATIENT
        verdicts.append(ask(book, f"r{n}", route, now, pieces=60, due_at=11.0))
    bound = [verdict for verdict in verdicts[100:] if verdict.binding]
    assert bound
    assert all(0.0 < verdict.part < 1.0 for verdict in bound)


def test_a_customer_that_does_not_get_in_by_waiting_is_told_so():
    verdict = ask(AdmissionController(), "a", QUICK, 10.0, pieces=500, due_at=10.0)
    assert not verdict.admitted
    assert verdict.seconds_to_admission > 1.0
    assert verdict.retry_after > 0.0


@pytest.mark.parametrize("later", [0.0, 2.5, 60.0])
def test_who_asks_again_much_later_is_still_answered(later):
    """The newest look at a pool's kinds may be older than what is remembered of them."""
    book = AdmissionController()
    ask(book, "a", QUICK, 10.0, pieces=500, due_at=10.0)
    assert not ask(book, "a", QUICK, 10.0 + later, pieces=500, due_at=10.0).admitted


def test_without_shared_pools_nothing_of_it_is_counted():
    book = AdmissionController()
    book.admit(arrival("a", QUICK), loads(0.0, 0), 10.0)
    assert book.demand.customer_count() == 0
    assert book.waits(10.0) == {}
