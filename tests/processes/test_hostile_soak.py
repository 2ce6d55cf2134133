"""Crowds of all kinds, changes and restarts, with ordinary callers beside them."""

import pytest

from tests.support.hostile_soak import play


@pytest.mark.parametrize("seed", range(1, 6))
def test_promises_hold_among_hostile_clients(tmp_path, seed):
    soak = play(seed, tmp_path)
    assert not soak.problems, soak.summary()
