"""Calls of a pool begin at even distances, so that no request has a target to itself."""

import pytest

from tests.support.crowd import Crowd, alike_in_patience, patient_and_impatient
from traystall.passthrough.stages.pace import next_call_time


def test_calls_keep_a_distance_that_targets_can_keep_up_with():
    begin = next_call_time(10.0, 0.4, targets=4, waiting=3, batch=20)
    assert 10.0 < begin < 10.0 + 0.4 / 4


def test_a_full_call_waits_for_nothing():
    assert next_call_time(10.0, 0.4, targets=4, waiting=20, batch=20) <= 10.0


def test_a_lone_target_is_called_as_soon_as_it_is_free():
    assert next_call_time(10.0, 0.4, targets=1, waiting=1, batch=20) <= 10.0


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("site", "kind"), [(patient_and_impatient, "chat"), (alike_in_patience, "explain")]
)
def test_chains_at_half_load_take_less_than_with_calls_as_soon_as_a_target_is_free(
    site, kind, seed
):
    def middle(shared):
        pools, kinds = site()
        fates = Crowd(pools, kinds, seed, shared).run(8.0, lambda name, time: 1.0)
        found = sorted(fate.stages_seconds for fate in fates if fate.kind == kind)
        return found[len(found) // 2], found[len(found) * 9 // 10]

    before, after = middle(frozenset()), middle(None)
    assert after[0] < before[0] - 0.05
    assert after[1] < before[1] - 0.05
