"""Divide the bulk slots of a pool's targets over the live gateways.

One slot of each target that has more than one is kept for quick work. The
rest are dealt out in turn, so that the parts of all gateways sum to the slots;
a gateway that would get nothing from a pool gets one slot on one target.
"""

from traystall.tables.entities import Target

QUICK_SLOTS = 1


def bulk_slots(target: Target) -> int:
    """Return how many slots of the target bulk work may use."""
    return max(1, target.slots - QUICK_SLOTS)


def deal(targets: list[Target], gateways: list[str], own: str, depth: float) -> dict[str, int]:
    """Return the share of gateway `own` by target name.

    `depth` above 1 deals out more than the slots, so that a target has its next
    work at hand when it finishes one.
    """
    names = sorted(set(gateways) | {own})
    position = names.index(own)
    shares = dict.fromkeys((target.name for target in targets), 0)
    turn = 0
    for target in sorted(targets, key=lambda target: target.name):
        for _ in range(max(1, round(bulk_slots(target) * depth))):
            if turn % len(names) == position:
                shares[target.name] += 1
            turn += 1
    if shares and not any(shares.values()):
        fallback = sorted(shares)[position % len(shares)]
        shares[fallback] = 1
    return shares
