"""Backoff requests of a target are honoured until their end."""

from hypothesis import given
from hypothesis import strategies as st

from traystall.tables.asked import FIRST_AFTER_REST, Asked

seconds = st.floats(0.01, 100.0)


@given(st.lists(st.tuples(st.floats(0.0, 50.0), seconds), min_size=1, max_size=8))
def test_latest_requested_end_applies(rests):
    """A later request with an earlier end doesn't shorten the backoff period."""
    asked = Asked()
    for now, wanted in sorted(rests):
        asked.ask_rest(wanted, "", now)
    end = max(now + wanted for now, wanted in rests)
    assert asked.rest_until == end
    assert asked.rests(end - 0.001) and not asked.rests(end)


def test_few_requests_are_sent_after_a_backoff_until_one_succeeds():
    asked = Asked()
    asked.ask_rest(1.0, "r", 0.0)
    assert not asked.may_get_work(0.9)
    firsts = []
    while asked.may_get_work(1.0):
        firsts.append(asked.on_sent())
    assert len(firsts) == FIRST_AFTER_REST
    asked.on_answer(1.1)
    assert asked.may_get_work(1.1)
    for was_first in firsts:
        asked.on_over(was_first)
    assert (asked.first, asked.on_sent()) == (0, False)


def test_cancelled_requests_after_a_backoff_free_their_places():
    asked = Asked()
    asked.ask_rest(1.0, "r", 0.0)
    for _ in range(20):
        assert asked.may_get_work(2.0)
        asked.on_over(asked.on_sent())


def test_response_during_a_backoff_does_not_end_it():
    """The response belongs to a request from before the backoff period."""
    asked = Asked()
    asked.ask_rest(1.0, "r", 0.0)
    asked.on_answer(0.5)
    assert asked.is_returning and asked.rests(0.9)


def test_leaving_is_permanent():
    asked = Asked(leaves=True)
    asked.ask_rest(1.0, "r", 0.0)
    asked.lift()
    assert not asked.rests(0.5)
    assert not asked.may_get_work(100.0)


def test_lifted_backoff_is_over():
    asked = Asked()
    assert not asked.lift()
    asked.ask_rest(1.0, "r", 0.0)
    assert asked.lift()
    assert asked.may_get_work(0.1)
