"""What the values of the header of limited targets mean."""

import pytest

from traystall.systems.target_limits import LEAST_PER_SECOND, UNLIMITED, parse_limit


@pytest.mark.parametrize(
    ("values", "per_second"),
    [
        (["1"], 1.0),
        (["0.25"], 0.25),
        ([" 20 "], 20.0),
        (["1e9"], 1e9),
        # Only an answer can tell that it takes more again, so a few go there all the same.
        (["0"], LEAST_PER_SECOND),
        (["-0.0"], LEAST_PER_SECOND),
        (["0.001"], LEAST_PER_SECOND),
        # Of several the lowest; what can't be read beside one that can counts for nothing.
        (["5", "2"], 2.0),
        (["x", "2"], 2.0),
        (["inf", "3"], 3.0),
    ],
)
def test_number_is_what_it_takes_a_second(values, per_second):
    assert parse_limit(values).per_second == per_second


@pytest.mark.parametrize("values", [[], ["inf"], ["Infinity"]])
def test_no_value_and_infinity_say_any_number(values):
    assert parse_limit(values) == UNLIMITED


@pytest.mark.parametrize("value", ["", "nan", "-1", "-inf", "many", "0,5", "1, 2", "1_0", "0x1"])
def test_what_can_not_be_read_says_nothing(value):
    assert parse_limit([value]) is None
