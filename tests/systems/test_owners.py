"""Every target is asked by two gateways, or by all where there are few."""

import pytest

from traystall.systems.owners import MAX_TARGETS_PROBED_BY_ALL, PROBERS_PER_TARGET, owned


@pytest.mark.parametrize("gateways", [1, 2, 9, 35])
@pytest.mark.parametrize(
    "targets", [0, 5, MAX_TARGETS_PROBED_BY_ALL, MAX_TARGETS_PROBED_BY_ALL + 1, 58, 640]
)
def test_each_target_has_its_askers(targets, gateways):
    names = [f"t{n}" for n in range(targets)]
    askers = [f"g{n}" for n in range(gateways)]
    lists = [owned(names, askers, own) for own in askers]
    wanted = gateways if targets <= MAX_TARGETS_PROBED_BY_ALL else min(PROBERS_PER_TARGET, gateways)
    for name in names:
        assert sum(name in asked for asked in lists) == wanted
    if targets > MAX_TARGETS_PROBED_BY_ALL:
        sizes = [len(asked) for asked in lists]
        assert max(sizes) - min(sizes) <= PROBERS_PER_TARGET
