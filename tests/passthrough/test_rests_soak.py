"""Random days of targets that ask for backoffs, name rate limits, shut down and fail.

The gateway must respect every notice of the targets.
"""

import pytest

from tests.support.rest_soak import play_day


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_day_respects_all_notices(seed):
    assert play_day(seed) == []
