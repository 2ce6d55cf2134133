"""Precedence of limit announcements, from own responses and from other processes."""

import pytest

from traystall.tables.target_limits import REMOTE_MARGIN_SECONDS, TargetLimit


def limited(per_second=1.0, sent_at=10.0):
    limit = TargetLimit()
    assert limit.name(per_second, sent_at, "r-1", sent_at + 0.1)
    return limit


def test_limit_ends_with_the_response_to_a_later_request():
    limit = limited()
    assert not limit.end(9.9)  # A slow answer to an older request.
    assert not limit.end(10.0)
    assert limit.is_limited
    assert limit.end(10.1)
    assert not limit.is_limited


def test_end_is_compared_with_the_latest_announcement():
    limit = limited()
    limit.name(1.0, 20.0, "r-2", 20.1)
    assert not limit.end(15.0)
    assert limit.end(20.1)


def test_limit_announced_after_an_end_applies_to_an_older_request():
    limit = limited()
    limit.end(11.0)
    assert limit.name(2.0, 10.5, "r-2", 12.0)
    assert limit.end(11.5)


@pytest.mark.parametrize("later", [0.5, 50.0])
def test_limit_of_the_latest_request_applies(later):
    limit = limited(1.0, 10.0)
    limit.name(later, 11.0, "r-2", 11.1)
    limit.name(5.0, 10.5, "r-3", 11.2)
    assert limit.per_second == later


def test_reported_end_must_be_later_than_the_margin():
    limit = limited()
    assert not limit.merge_remote(None, 10.0 + REMOTE_MARGIN_SECONDS, "other", 12.0)
    assert limit.merge_remote(None, 10.1 + REMOTE_MARGIN_SECONDS, "other", 12.0)


def test_reported_limit_before_the_end_is_ignored():
    limit = limited()
    limit.end(11.0)
    assert not limit.merge_remote(1.0, 10.9, "other", 12.0)
    assert limit.merge_remote(1.0, 11.1, "other", 12.0)


def test_circulating_report_does_not_become_more_recent():
    limit = limited(1.0, 10.0)
    for step in range(1, 100):
        limit.merge_remote(1.0, 10.0 + step * 0.004, "other", 11.0)
    assert limit.end(10.01)


def test_end_is_confirmed_only_within_the_window():
    limit = limited()
    limit.end(11.0)
    assert limit.confirm_end(11.5)
    assert not limit.confirm_end(11.4)
    assert not limit.confirm_end(20.0)


def test_target_without_a_limit_is_never_closed():
    limit = limited()
    limit.closed_until = 100.0
    assert limit.is_closed(99.0)
    limit.end(11.0)
    assert not limit.is_closed(99.0)
