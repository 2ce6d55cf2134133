"""Requests that could not be in time are refused at once; those that have begun go through."""

import functools

import pytest

from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.passthrough.admission.waiting import WaitForecast
from traystall.routes.models import Route, Split, StagePlan

ROUTE = Route(
    "r", "h", "/", (Split("engine"),), aim=1.0, stages=(StagePlan("p"), StagePlan("q", (0,)))
)
RATES = {"p": 40.0, "q": 80.0}


def arrival(name, slack=0.5, priority=1, counts=(1, 8), mark=None):
    return AdmissionRequest(name, ROUTE, counts, priority, slack, 6.0, mark or name)


def nothing(pool, priority, due):
    return 0


def admit(book, request, waiting, rates, now):
    """Ask a book about a request whose pools have such queues and rates, and calls of 0.2 s."""
    loads = {pool: PoolLoad(functools.partial(waiting, pool), rates[pool], 0.2) for pool in rates}
    return book.admit(request, loads, now)


def test_idle_system_lets_everything_in():
    assert admit(AdmissionController(), arrival("a"), nothing, RATES, 0.0).admitted


def test_what_others_have_begun_counts():
    book = AdmissionController()
    admitted = [admit(book, arrival(str(i)), nothing, RATES, 0.0).admitted for i in range(20)]
    assert admitted[0] and not admitted[-1]
    assert book.expected_pieces("q", 1) == 8 * sum(admitted)
    assert book.expected_pieces("q", 0) == 0, "less urgent work does not count for urgent work"


def test_refusal_says_when_to_come_back():
    verdict = admit(
        AdmissionController(), arrival("a"), lambda pool, priority, due: 400, RATES, 0.0
    )
    assert not verdict.admitted
    assert 0.2 <= verdict.retry_after <= 2.0


def test_request_that_has_begun_goes_through():
    book = AdmissionController()
    assert admit(book, arrival("a"), nothing, RATES, 0.0).admitted
    assert admit(book, arrival("a"), lambda pool, priority, due: 10**6, RATES, 1.0).admitted


def test_request_that_came_back_waits_until_there_is_plenty():
    def waiting(pool, priority, due):
        return pieces if pool == "p" else 0

    book = AdmissionController()
    pieces = 20
    assert not admit(book, arrival("a", mark="m"), waiting, RATES, 0.0).admitted
    book.record_refusal("m", 0.0)
    again = admit(book, arrival("b", mark="m"), waiting, RATES, 1.0)
    assert not again.admitted and again.came_back
    assert book.expected_pieces("q", 1) == 0, "it holds nothing while it waits"
    pieces = 9
    assert not admit(book, arrival("b", mark="m"), waiting, RATES, 1.1).admitted
    assert admit(book, arrival("c", mark="n"), waiting, RATES, 1.1).admitted
    pieces = 0
    assert admit(book, arrival("b", mark="m"), waiting, {"p": 400.0, "q": 800.0}, 1.2).admitted


def test_long_prompt_without_slack_is_let_in_while_others_are():
    def waiting(pool, priority, due):
        return 6 if pool == "p" else 0

    assert admit(AdmissionController(), arrival("a", slack=-0.4), waiting, RATES, 0.0).admitted


def test_finished_ended_and_lost_requests_no_longer_count():
    book = AdmissionController()
    for name in "abc":
        admit(book, arrival(name), nothing, RATES, 0.0)
    book.requested("a", 0)
    assert book.expected_pieces("p", 1) == 2
    book.requested("a", 1)
    book.made("a", 0, 0.5, 0.6)
    book.made("a", 1, 0.5, 1.2)
    book.ended("b")
    assert book.expected_pieces("q", 1) == 8
    admit(book, arrival("d"), nothing, RATES, 100.0)
    assert book.expected_pieces("q", 1) == 8, "only the newest is left"


@pytest.mark.parametrize(("factor", "sign"), [(3.0, 1), (0.2, -1)])
def test_forecasts_follow_how_requests_fare(factor, sign):
    book = AdmissionController()
    for i in range(60):
        began = i * 0.1
        verdict = admit(book, arrival(str(i)), lambda pool, priority, due: 8, RATES, began)
        if not verdict.admitted:
            break
        for stage in (0, 1):
            book.made(str(i), stage, 0.5, began + 0.5 + 0.2 * factor)
    assert (book.scale - 0.7) * sign > 0.1


def test_what_was_learned_fades():
    """A scale that lets nobody in must not stay because nobody was let in."""
    book = AdmissionController()
    admit(book, arrival("a"), nothing, RATES, 0.0)
    book.scale = 2.0
    admit(book, arrival("b"), nothing, RATES, 12.0)
    assert book.scale < 0.8


def test_urgent_arrivals_slow_less_urgent_work_down():
    forecast = WaitForecast()
    alone = forecast.seconds(2, 20, 40.0, 0.0)
    for step in range(100):
        forecast.note(0, 1, step * 0.05)
    assert forecast.seconds(2, 20, 40.0, 5.0) > 1.5 * alone
    assert forecast.seconds(0, 20, 40.0, 5.0) == alone
    assert forecast.seconds(2, 20, 40.0, 60.0) == pytest.approx(alone, rel=0.01)
    assert forecast.seconds(2, 20, 0.0, 0.0) == float("inf")
