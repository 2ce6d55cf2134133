"""Permits are granted at a constant rate, whichever gateways request them and how often."""

import random

import pytest

from traystall.systems.permits import FIRST_LENDER_SHARE, SECOND_LENDER_SHARE, PermitSchedule

WINDOW_SECONDS = 4.0


def max_in_window(times):
    times = sorted(times)
    return max((sum(at <= t < at + WINDOW_SECONDS for t in times) for at in times), default=0)


def max_allowed(per_second):
    return 1.5 * per_second * WINDOW_SECONDS + 5


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("limit", [0.1, 0.25, 1.0, 5.0, 20.0])
def test_no_window_exceeds_the_limit(limit, seed):
    """Both lenders grant at once after an idle period, to random requests and with returns."""
    source = random.Random(seed)
    sent = []
    for part in (FIRST_LENDER_SHARE, SECOND_LENDER_SHARE):
        schedule, now = PermitSchedule(), 100.0
        while now < 130.0:
            now += source.expovariate(limit * 8)
            patience = source.choice((0.0, 0.0, 0.5))
            is_spare = source.random() < 0.1
            result = schedule.grant(
                limit * part, f"g-{source.randrange(9)}", patience, is_spare, now
            )
            if result.is_granted and source.random() < 0.1:
                schedule.give_back(now + result.wait, now)
            elif result.is_granted:
                sent.append(now + result.wait)
    assert max_in_window(sent) <= max_allowed(limit)


@pytest.mark.parametrize("limit", [0.25, 1.0, 5.0, 20.0, 125.0])
def test_twice_the_first_lenders_share_stays_within_the_tolerance(limit):
    """A target that also counts connections counted 12 where 7 requests were sent."""
    schedule, now, sent = PermitSchedule(), 0.0, []
    while now < 20.0:
        result = schedule.grant(limit * FIRST_LENDER_SHARE, "g", 0.0, False, now)
        sent += [now] if result.is_granted else []
        now += 0.01 / max(1.0, limit / 10)
    assert 2 * max_in_window(sent) <= max_allowed(limit)


def test_waiting_requesters_use_the_whole_limit():
    schedule = PermitSchedule()
    waits = [
        result.wait
        for _ in range(30)
        if (result := schedule.grant(5.0, "g", 4.0, False, 0.0)).is_granted
    ]
    assert waits == pytest.approx([n / 5 for n in range(21)], abs=0.11)


def test_denied_request_gets_the_time_of_the_next_permit():
    schedule = PermitSchedule()
    for _ in range(3):
        assert schedule.grant(1.0, "g", 2.0, False, 10.0).is_granted
    result = schedule.grant(1.0, "g", 2.0, False, 10.0)
    assert not result.is_granted
    assert result.wait == pytest.approx(2.9, abs=0.11)


def test_optional_work_gets_only_unused_capacity():
    schedule = PermitSchedule()
    assert schedule.grant(1.0, "g", 0.0, False, 10.0).is_granted
    assert not schedule.grant(1.0, "g", 0.0, True, 11.0).is_granted
    assert schedule.grant(1.0, "g", 0.0, True, 12.1).is_granted


def test_returned_permit_is_granted_again():
    schedule = PermitSchedule()
    waits = [schedule.grant(1.0, "g", 5.0, False, 10.0).wait for _ in range(3)]
    schedule.give_back(10.0 + waits[1], 10.1)
    result = schedule.grant(1.0, "h", 1.0, False, 10.2)
    assert result.is_granted
    assert 10.2 + result.wait == pytest.approx(10.0 + waits[1])


def test_expired_permit_is_not_granted_again():
    schedule = PermitSchedule()
    schedule.grant(1.0, "g", 0.0, False, 10.0)
    schedule.give_back(10.0, 10.5)
    assert not schedule.grant(1.0, "g", 0.0, False, 10.6).is_granted


def test_changed_limit_applies_at_once():
    schedule = PermitSchedule()
    schedule.grant(0.1, "g", 0.0, False, 10.0)
    assert schedule.grant(50.0, "g", 0.0, False, 10.1).is_granted
    assert not schedule.grant(0.5, "g", 0.0, False, 10.2).is_granted


def test_spread_grows_with_the_number_of_requesters():
    schedule = PermitSchedule()
    results = [schedule.grant(1.0, f"g-{n}", 0.0, False, 10.0) for n in range(5)]
    assert [result.is_granted for result in results] == [True] + [False] * 4
    assert results[-1].spread == pytest.approx(2.0)
