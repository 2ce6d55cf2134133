"""What is lent of a limit is dealt out evenly, whoever asks and however often."""

import random

import pytest

from traystall.systems.permits import FIRST_PART, SECOND_PART, LentTarget

SPAN_SECONDS = 4.0


def most_in_span(times):
    times = sorted(times)
    return max((sum(at <= t < at + SPAN_SECONDS for t in times) for at in times), default=0)


def allowed(per_second):
    return 1.5 * per_second * SPAN_SECONDS + 5


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("limit", [0.1, 0.25, 1.0, 5.0, 20.0])
def test_no_span_holds_more_than_is_allowed(limit, seed):
    """Both lenders at once, a quiet spell before, permits that come back, all kinds of asking."""
    source = random.Random(seed)
    sent = []
    for part in (FIRST_PART, SECOND_PART):
        lent, now = LentTarget(), 100.0
        while now < 130.0:
            now += source.expovariate(limit * 8)
            patience = source.choice((0.0, 0.0, 0.5))
            spare = source.random() < 0.1
            loan = lent.grant(limit * part, f"g-{source.randrange(9)}", patience, spare, now)
            if loan.is_granted and source.random() < 0.1:
                lent.give_back(now + loan.wait, now)
            elif loan.is_granted:
                sent.append(now + loan.wait)
    assert most_in_span(sent) <= allowed(limit)


@pytest.mark.parametrize("limit", [0.25, 1.0, 5.0, 20.0, 125.0])
def test_twice_what_the_first_lender_lends_is_within_what_is_allowed(limit):
    """A target that counts the connection of a request too counted 12 where 7 were sent."""
    lent, now, sent = LentTarget(), 0.0, []
    while now < 20.0:
        loan = lent.grant(limit * FIRST_PART, "g", 0.0, False, now)
        sent += [now] if loan.is_granted else []
        now += 0.01 / max(1.0, limit / 10)
    assert 2 * most_in_span(sent) <= allowed(limit)


def test_most_of_it_is_used_where_somebody_waits():
    lent = LentTarget()
    slots = [
        loan.wait for _ in range(30) if (loan := lent.grant(5.0, "g", 4.0, False, 0.0)).is_granted
    ]
    assert slots == pytest.approx([n / 5 for n in range(21)], abs=0.11)


def test_who_does_not_fit_is_told_when_more_is_free():
    lent = LentTarget()
    for _ in range(3):
        assert lent.grant(1.0, "g", 2.0, False, 10.0).is_granted
    loan = lent.grant(1.0, "g", 2.0, False, 10.0)
    assert not loan.is_granted
    assert loan.wait == pytest.approx(2.9, abs=0.11)


def test_what_may_be_left_out_waits_until_nobody_wants_it():
    lent = LentTarget()
    assert lent.grant(1.0, "g", 0.0, False, 10.0).is_granted
    assert not lent.grant(1.0, "g", 0.0, True, 11.0).is_granted
    assert lent.grant(1.0, "g", 0.0, True, 12.1).is_granted


def test_permit_that_comes_back_is_lent_to_the_next():
    lent = LentTarget()
    waits = [lent.grant(1.0, "g", 5.0, False, 10.0).wait for _ in range(3)]
    lent.give_back(10.0 + waits[1], 10.1)
    loan = lent.grant(1.0, "h", 1.0, False, 10.2)
    assert loan.is_granted
    assert 10.2 + loan.wait == pytest.approx(10.0 + waits[1])


def test_permit_whose_moment_is_over_does_not_come_back():
    lent = LentTarget()
    lent.grant(1.0, "g", 0.0, False, 10.0)
    lent.give_back(10.0, 10.5)
    assert not lent.grant(1.0, "g", 0.0, False, 10.6).is_granted


def test_limit_that_rises_is_used_at_once_and_one_that_falls_is_kept_at_once():
    lent = LentTarget()
    lent.grant(0.1, "g", 0.0, False, 10.0)
    assert lent.grant(50.0, "g", 0.0, False, 10.1).is_granted
    assert not lent.grant(0.5, "g", 0.0, False, 10.2).is_granted


def test_many_who_ask_come_back_spread():
    lent = LentTarget()
    loans = [lent.grant(1.0, f"g-{n}", 0.0, False, 10.0) for n in range(5)]
    assert [loan.is_granted for loan in loans] == [True] + [False] * 4
    assert loans[-1].spread == pytest.approx(2.0)
