"""What each value of Retry-After asks for."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from traystall.systems.retry_after import LONGEST_REST_SECONDS, parse_retry_after

DATE = "Tue, 08 Jul 2026 10:00:00 GMT"


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([], 0.0),
        (["3"], 3.0),
        (["0.25"], 0.25),
        ([" 2.5 "], 2.5),
        (["1e1"], 10.0),
        (["0"], 0.0),
        (["-0"], 0.0),
        (["-3"], 0.0),
        (["nan"], 0.0),
        (["-inf"], 0.0),
        (["inf"], LONGEST_REST_SECONDS),
        (["1e9"], LONGEST_REST_SECONDS),
        (["1e999"], LONGEST_REST_SECONDS),
        (["soon"], 0.0),
        ([""], 0.0),
        (["1_0"], 0.0),
        (["3 s"], 0.0),
        (["3", "5"], 5.0),
        (["5", "3"], 5.0),
        (["nan", "3"], 3.0),
        (["3", "soon"], 3.0),
        (["3, 5"], 0.0),
    ],
)
def test_values(values, seconds):
    assert parse_retry_after(values) == seconds


def test_date_counts_from_the_date_of_the_answer():
    assert parse_retry_after(["Tue, 08 Jul 2026 10:00:07 GMT"], DATE) == 7.0
    assert parse_retry_after(["Tue, 08 Jul 2026 09:00:00 GMT"], DATE) == 0.0
    assert parse_retry_after(["Tue, 08 Jul 2036 09:00:00 GMT"], DATE) == LONGEST_REST_SECONDS


@pytest.mark.parametrize("date", [None, "", "today", "Tue, 08 Jul 2026 10:00:00"])
def test_date_without_a_date_to_count_from_asks_for_nothing(date):
    assert parse_retry_after(["Tue, 08 Jul 2026 10:00:07 GMT"], date) == 0.0


NUMBERS = st.one_of(st.integers(), st.floats()).map(str)
DATES = st.from_regex(
    r"[A-Z][a-z]{2}, [0-9]{1,12} [A-Z][a-z]{2} [0-9]{1,12} [0-9:]{1,12} [+A-Z0-9]{1,9}"
)


@given(st.lists(st.one_of(st.text(), NUMBERS, DATES), max_size=3), st.one_of(st.none(), DATES))
def test_whatever_is_written_asks_for_a_time_within_the_longest(values, date):
    assert 0.0 <= parse_retry_after(values, date) <= LONGEST_REST_SECONDS
