"""Random days of broken paths, planned stops, ended and brittle targets.

Nothing runs twice that must not, nothing that ran is said to have not run, and every complete
response belongs to its request.
"""

import asyncio

import pytest

from tests.support.path_soak import play_day


@pytest.mark.parametrize("is_calm", [False, True])
@pytest.mark.parametrize("seed", [1, 2])
def test_random_day_of_broken_paths_keeps_every_promise(tmp_path, seed, is_calm):
    violations, _ = asyncio.run(play_day(tmp_path, seed, is_calm))
    assert violations == []
