"""Divide the targets of a data centre over its gateways for asking after their state.

Few targets are asked by every gateway. Where there are many, each is asked by
two gateways, and what they learn of leaving targets travels with their
heartbeats: else asking would grow with targets times gateways.
"""

# Up to this many targets in a data centre, every gateway asks all of them.
ASK_ALL = 32
COPIES = 2


def assigned_targets(targets: list[str], gateways: list[str], own: str) -> set[str]:
    """Return the names of the targets that the gateway `own` asks."""
    if len(targets) <= ASK_ALL:
        return set(targets)
    names = sorted({*gateways, own})
    position = names.index(own)
    copies = min(COPIES, len(names))
    return {
        target
        for index, target in enumerate(sorted(targets))
        if (position - index) % len(names) < copies
    }
