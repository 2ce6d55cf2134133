"""The patience of the least patient active route determines whether a pool is congested."""

import pytest

from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.routes.models import Route, Split, StagePlan

SHARED = frozenset({"p", "q"})
STAGES = (StagePlan("p"), StagePlan("q", (0,)))
PATIENT = Route("patient", "h", "/", (Split("engine"),), aim=3.0, stages=STAGES)
QUICK = Route("quick", "h", "/", (Split("engine"),), aim=1.0, stages=STAGES)
SLACKS = {"patient": 2.0, "quick": 0.4}


def admission_request(name, route, customer="c"):
    slack = SLACKS[route.name]
    return AdmissionRequest(name, route, (1, 1), 1, slack, 6.0, name, customer=customer)


def loads(due_at, pieces, rate=100.0):
    """Return pools whose queue holds `pieces` with the start deadline `due_at`."""

    def waiting(priority, due):
        return pieces if due_at <= due else 0

    return {pool: PoolLoad(waiting, rate, 0.2) for pool in SHARED}


def admit(book, name, route, now, pieces=0, due_at=0.0, customer="c"):
    return book.admit(admission_request(name, route, customer), loads(due_at, pieces), now, SHARED)


def test_impatient_request_goes_before_work_with_a_later_deadline():
    book = AdmissionController()
    assert admit(book, "a", QUICK, 10.0, pieces=150, due_at=12.0).admitted
    assert not admit(book, "b", QUICK, 10.0, pieces=150, due_at=10.1).admitted


def test_long_queue_is_no_congestion_if_all_active_routes_are_patient():
    book = AdmissionController()
    verdicts = [
        admit(book, f"r{n}", PATIENT, 10.0 + n * 0.02, pieces=60, due_at=11.0) for n in range(50)
    ]
    assert all(verdict.admitted and not verdict.binding for verdict in verdicts)


def test_same_queue_is_congestion_while_an_impatient_route_is_active():
    book = AdmissionController()
    verdicts = []
    for n in range(200):
        now = 10.0 + n * 0.01
        route = QUICK if n % 4 == 0 else PATIENT
        verdicts.append(admit(book, f"r{n}", route, now, pieces=60, due_at=11.0))
    bound = [verdict for verdict in verdicts[100:] if verdict.binding]
    assert bound
    assert all(0.0 < verdict.part < 1.0 for verdict in bound)


def test_refusal_reports_the_wait_until_admission_is_possible():
    verdict = admit(AdmissionController(), "a", QUICK, 10.0, pieces=500, due_at=10.0)
    assert not verdict.admitted
    assert verdict.seconds_to_admission > 1.0
    assert verdict.retry_after > 0.0


@pytest.mark.parametrize("later", [0.0, 2.5, 60.0])
def test_much_later_retry_gets_a_decision(later):
    """The last update of a pool may be older than the time for which its routes are remembered."""
    book = AdmissionController()
    admit(book, "a", QUICK, 10.0, pieces=500, due_at=10.0)
    assert not admit(book, "a", QUICK, 10.0 + later, pieces=500, due_at=10.0).admitted


def test_demand_is_not_counted_without_shared_pools():
    book = AdmissionController()
    book.admit(admission_request("a", QUICK), loads(0.0, 0), 10.0)
    assert book.demand.customer_count() == 0
    assert book.waits(10.0) == {}
