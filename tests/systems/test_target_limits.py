"""Parsing of the header in which targets announce their rate limit."""

import pytest

from traystall.systems.target_limits import MIN_PER_SECOND, UNLIMITED, parse_limit


@pytest.mark.parametrize(
    ("values", "per_second"),
    [
        (["1"], 1.0),
        (["0.25"], 0.25),
        ([" 20 "], 20.0),
        (["1e9"], 1e9),
        # Only a response can announce a higher limit, so a minimum rate remains.
        (["0"], MIN_PER_SECOND),
        (["-0.0"], MIN_PER_SECOND),
        (["0.001"], MIN_PER_SECOND),
        # The lowest of several values applies; invalid values among valid ones are ignored.
        (["5", "2"], 2.0),
        (["x", "2"], 2.0),
        (["inf", "3"], 3.0),
    ],
)
def test_number_is_the_limit_per_second(values, per_second):
    assert parse_limit(values).per_second == per_second


@pytest.mark.parametrize("values", [[], ["inf"], ["Infinity"]])
def test_no_value_and_infinity_mean_no_limit(values):
    assert parse_limit(values) == UNLIMITED


@pytest.mark.parametrize("value", ["", "nan", "-1", "-inf", "many", "0,5", "1, 2", "1_0", "0x1"])
def test_invalid_value_is_ignored(value):
    assert parse_limit([value]) is None
