"""What a target has asked for holds, and is over when it said."""

from hypothesis import given
from hypothesis import strategies as st

from traystall.tables.availability import MAX_IN_FLIGHT_AFTER_BACKOFF, Availability

seconds = st.floats(0.01, 100.0)


@given(st.lists(st.tuples(st.floats(0.0, 50.0), seconds), min_size=1, max_size=8))
def test_the_latest_end_that_was_asked_for_holds(rests):
    """A rest that is asked for later but ends sooner shortens nothing."""
    availability = Availability()
    for now, wanted in sorted(rests):
        availability.request_backoff(wanted, "", now)
    end = max(now + wanted for now, wanted in rests)
    assert availability.backoff_until == end
    assert availability.is_backing_off(end - 0.001) and not availability.is_backing_off(end)


def test_few_requests_are_first_after_a_rest_until_one_is_answered():
    availability = Availability()
    availability.request_backoff(1.0, "r", 0.0)
    assert not availability.may_send_work(0.9)
    firsts = []
    while availability.may_send_work(1.0):
        firsts.append(availability.on_sent())
    assert len(firsts) == MAX_IN_FLIGHT_AFTER_BACKOFF
    availability.on_answer(1.1)
    assert availability.may_send_work(1.1)
    for was_first in firsts:
        availability.on_finished(was_first)
    assert (availability.recovery_in_flight, availability.on_sent()) == (0, False)


def test_first_requests_that_were_given_up_make_room_for_others():
    availability = Availability()
    availability.request_backoff(1.0, "r", 0.0)
    for _ in range(20):
        assert availability.may_send_work(2.0)
        availability.on_finished(availability.on_sent())


def test_answer_that_comes_in_a_rest_ends_nothing():
    """It was given to a request that had come before."""
    availability = Availability()
    availability.request_backoff(1.0, "r", 0.0)
    availability.on_answer(0.5)
    assert availability.is_recovering and availability.is_backing_off(0.9)


def test_one_that_leaves_does_so_for_good():
    availability = Availability(leaves=True)
    availability.request_backoff(1.0, "r", 0.0)
    availability.lift()
    assert not availability.is_backing_off(0.5)
    assert not availability.may_send_work(100.0)


def test_a_lifted_rest_is_over():
    availability = Availability()
    assert not availability.lift()
    availability.request_backoff(1.0, "r", 0.0)
    assert availability.lift()
    assert availability.may_send_work(0.1)
