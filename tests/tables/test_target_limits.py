"""By what order words about a limit hold: of this process's own answers, and told by others."""

import pytest

from traystall.tables.target_limits import REMOTE_MARGIN_SECONDS, TargetLimit


def limited(per_second=1.0, sent_at=10.0):
    limit = TargetLimit()
    assert limit.name(per_second, sent_at, "r-1", sent_at + 0.1)
    return limit


def test_limit_holds_until_an_answer_without_it_to_a_later_request():
    limit = limited()
    assert not limit.end(9.9)  # A slow answer to an older request.
    assert not limit.end(10.0)
    assert limit.is_limited
    assert limit.end(10.1)
    assert not limit.is_limited


def test_end_is_measured_by_the_request_that_named_it_last():
    limit = limited()
    limit.name(1.0, 20.0, "r-2", 20.1)
    assert not limit.end(15.0)
    assert limit.end(20.1)


def test_answer_that_names_it_anew_after_an_end_holds_though_its_request_is_older():
    limit = limited()
    limit.end(11.0)
    assert limit.name(2.0, 10.5, "r-2", 12.0)
    assert limit.end(11.5)


@pytest.mark.parametrize("later", [0.5, 50.0])
def test_limit_is_raised_and_lowered_by_the_later_request(later):
    limit = limited(1.0, 10.0)
    limit.name(later, 11.0, "r-2", 11.1)
    limit.name(5.0, 10.5, "r-3", 11.2)
    assert limit.per_second == later


def test_end_that_another_tells_has_to_be_surely_later():
    limit = limited()
    assert not limit.merge_remote(None, 10.0 + REMOTE_MARGIN_SECONDS, "other", 12.0)
    assert limit.merge_remote(None, 10.1 + REMOTE_MARGIN_SECONDS, "other", 12.0)


def test_limit_that_another_tells_from_before_the_end_is_over():
    limit = limited()
    limit.end(11.0)
    assert not limit.merge_remote(1.0, 10.9, "other", 12.0)
    assert limit.merge_remote(1.0, 11.1, "other", 12.0)


def test_word_that_is_told_to_and_fro_grows_no_younger():
    limit = limited(1.0, 10.0)
    for step in range(1, 100):
        limit.merge_remote(1.0, 10.0 + step * 0.004, "other", 11.0)
    assert limit.end(10.01)


def test_end_is_confirmed_for_a_while_only():
    limit = limited()
    limit.end(11.0)
    assert limit.confirm_end(11.5)
    assert not limit.confirm_end(11.4)
    assert not limit.confirm_end(20.0)


def test_nothing_is_closed_without_a_limit():
    limit = limited()
    limit.closed_until = 100.0
    assert limit.is_closed(99.0)
    limit.end(11.0)
    assert not limit.is_closed(99.0)
