"""Random days in which the gateways that share a limit stop, start, lose their links and freeze."""

import pytest

from tests.support.limit_soak import play_day


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_random_day_keeps_the_limit(seed):
    assert play_day(seed) == []
