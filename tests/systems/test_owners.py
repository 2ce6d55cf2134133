"""Every target is asked by two gateways, or by all where there are few."""

import pytest

from traystall.systems.probe_assignment import ASK_ALL, COPIES, assigned_targets


@pytest.mark.parametrize("gateways", [1, 2, 9, 35])
@pytest.mark.parametrize("targets", [0, 5, ASK_ALL, ASK_ALL + 1, 58, 640])
def test_each_target_has_its_askers(targets, gateways):
    names = [f"t{n}" for n in range(targets)]
    askers = [f"g{n}" for n in range(gateways)]
    lists = [assigned_targets(names, askers, own) for own in askers]
    wanted = gateways if targets <= ASK_ALL else min(COPIES, gateways)
    for name in names:
        assert sum(name in asked for asked in lists) == wanted
    if targets > ASK_ALL:
        sizes = [len(asked) for asked in lists]
        assert max(sizes) - min(sizes) <= COPIES
