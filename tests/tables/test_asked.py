"""Backoff requests of a target are honoured until their end."""

from hypothesis import given
from hypothesis import strategies as st

from traystall.tables.availability import MAX_IN_FLIGHT_AFTER_BACKOFF, Availability

seconds = st.floats(0.01, 100.0)


@given(st.lists(st.tuples(st.floats(0.0, 50.0), seconds), min_size=1, max_size=8))
def test_latest_requested_end_applies(backoffs):
    """A later request with an earlier end doesn't shorten the backoff period."""
    availability = Availability()
    for now, wanted in sorted(backoffs):
        availability.request_backoff(wanted, "", now)
    end = max(now + wanted for now, wanted in backoffs)
    assert availability.backoff_until == end
    assert availability.is_backing_off(end - 0.001) and not availability.is_backing_off(end)


def test_few_requests_are_sent_after_a_backoff_until_one_succeeds():
    availability = Availability()
    availability.request_backoff(1.0, "r", 0.0)
    assert not availability.may_send_work(0.9)
    recovery_attempts = []
    while availability.may_send_work(1.0):
        recovery_attempts.append(availability.on_sent())
    assert len(recovery_attempts) == MAX_IN_FLIGHT_AFTER_BACKOFF
    availability.on_answer(1.1)
    assert availability.may_send_work(1.1)
    for was_recovery_attempt in recovery_attempts:
        availability.on_finished(was_recovery_attempt)
    assert (availability.recovery_in_flight, availability.on_sent()) == (0, False)


def test_cancelled_requests_after_a_backoff_free_their_places():
    availability = Availability()
    availability.request_backoff(1.0, "r", 0.0)
    for _ in range(20):
        assert availability.may_send_work(2.0)
        availability.on_finished(availability.on_sent())


def test_response_during_a_backoff_does_not_end_it():
    """The response belongs to a request from before the backoff period."""
    availability = Availability()
    availability.request_backoff(1.0, "r", 0.0)
    availability.on_answer(0.5)
    assert availability.is_recovering and availability.is_backing_off(0.9)


def test_leaving_is_permanent():
    availability = Availability(leaves=True)
    availability.request_backoff(1.0, "r", 0.0)
    availability.lift()
    assert not availability.is_backing_off(0.5)
    assert not availability.may_send_work(100.0)


def test_lifted_backoff_is_over():
    availability = Availability()
    assert not availability.lift()
    availability.request_backoff(1.0, "r", 0.0)
    assert availability.lift()
    assert availability.may_send_work(0.1)
