"""Every target is probed by two gateways, or by all gateways if there are few targets."""

import pytest

from traystall.systems.probe_assignment import (
    MAX_TARGETS_PROBED_BY_ALL,
    PROBERS_PER_TARGET,
    assigned_targets,
)


@pytest.mark.parametrize("gateways", [1, 2, 9, 35])
@pytest.mark.parametrize(
    "targets", [0, 5, MAX_TARGETS_PROBED_BY_ALL, MAX_TARGETS_PROBED_BY_ALL + 1, 58, 640]
)
def test_each_target_has_its_probers(targets, gateways):
    names = [f"t{n}" for n in range(targets)]
    probers = [f"g{n}" for n in range(gateways)]
    assignments = [assigned_targets(names, probers, own) for own in probers]
    expected_count = (
        gateways if targets <= MAX_TARGETS_PROBED_BY_ALL else min(PROBERS_PER_TARGET, gateways)
    )
    for name in names:
        assert sum(name in probed for probed in assignments) == expected_count
    if targets > MAX_TARGETS_PROBED_BY_ALL:
        sizes = [len(probed) for probed in assignments]
        assert max(sizes) - min(sizes) <= PROBERS_PER_TARGET
