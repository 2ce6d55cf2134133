"""Assign the state probes of a data centre's targets to its gateways.

Up to a fixed number of targets, every gateway probes all of them. Beyond that,
two gateways probe each target and announce leaving targets in their
heartbeats. Otherwise the number of probes would grow with the product of
targets and gateways.
"""

# Up to this many targets in a data centre, every gateway probes all of them.
MAX_TARGETS_PROBED_BY_ALL = 32
PROBERS_PER_TARGET = 2


def assigned_targets(targets: list[str], gateways: list[str], own: str) -> set[str]:
    """Return the names of the targets that the gateway `own` probes."""
    if len(targets) <= MAX_TARGETS_PROBED_BY_ALL:
        return set(targets)
    names = sorted({*gateways, own})
    position = names.index(own)
    copies = min(PROBERS_PER_TARGET, len(names))
    return {
        target
        for index, target in enumerate(sorted(targets))
        if (position - index) % len(names) < copies
    }
