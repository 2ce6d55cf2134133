"""The limit of a head holds while its lines are parsed, and a head of the limit passes."""

import pytest

from traystall.http.exceptions import HeadTooLarge
from traystall.http.head import RequestHead
from traystall.http.limits import ConnectionLimits, Stage, is_overdue


def _fill(head, count, name=b"a", value=b""):
    for _ in range(count):
        head.add_header(name, value)


def test_short_headers_are_limited_by_their_lines():
    """A header of one byte takes a hundred times its bytes of memory."""
    head = RequestHead(16_384)
    _fill(head, 16_384 // 4)
    with pytest.raises(HeadTooLarge):
        _fill(head, 1)
    assert len(head.headers) <= 16_384 // 4 + 1
    assert head.held_bytes > 100 * len(head.headers)


def test_long_target_and_long_values_are_limited():
    with pytest.raises(HeadTooLarge):
        RequestHead(100).add_target(b"/" * 101)
    with pytest.raises(HeadTooLarge):
        _fill(RequestHead(100), 1, b"name", b"v" * 100)


def test_value_that_is_not_complete_is_limited():
    head = RequestHead(100)
    head.on_received(100)
    with pytest.raises(HeadTooLarge):
        head.on_received(1)


@pytest.mark.parametrize(
    ("stage", "limit"),
    [
        (Stage.REQUEST, 20.0),
        (Stage.HEAD, 5.0),
        (Stage.BODY, 20.0),
        (Stage.READING, 20.0),
        (Stage.LINGERING, 2.0),
    ],
)
def test_each_stage_has_its_time(stage, limit):
    limits = ConnectionLimits(head_seconds=5.0, idle_seconds=20.0, linger_seconds=2.0)
    assert not is_overdue(stage, limit, limits)
    assert is_overdue(stage, limit + 0.1, limits)


def test_handler_has_any_time():
    assert not is_overdue(Stage.HANDLER, 1e9, ConnectionLimits())
