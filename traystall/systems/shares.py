"""Divide a pool's slots for bulk work over the live gateways, and reserve some for quick work.

Slots are assigned round-robin, so that the shares of all gateways sum to the
slots; a gateway without any gets one slot on one target. The number of targets
that reserve a slot for quick work follows from the measured amount of quick
work. If a declared pipeline sends quick work to the pool, at least one target
in each data centre reserves a slot.
"""

import math

import msgspec

from traystall.tables.entities import Target

# Slots reserved for quick work, as a multiple of its average use.
QUICK_MARGIN = 2.0
# Average use below which quick work is ignored.
NEGLIGIBLE_SLOTS = 0.01


class Share(msgspec.Struct, frozen=True):
    """A gateway's share of one target; `kept` is whether the target reserves a quick slot."""

    bulk: int
    kept: bool


def reserved_targets(
    targets: list[Target], has_quick_work: bool, quick_slots: float
) -> frozenset[str]:
    """Return the names of the targets that reserve one slot for quick work.

    `has_quick_work` is whether a declared pipeline sends quick work to the
    pool, `quick_slots` the average number of slots that quick work uses in the
    whole pool. The number of reserved slots is rounded up to a power of two, so
    that gateways with slightly different measurements agree.
    """
    if not has_quick_work and quick_slots < NEGLIGIBLE_SLOTS:
        return frozenset()
    eligible = [target for target in targets if target.slots > 1]
    places = {target.data_centre for target in eligible}
    reserved_count = max(len(places), _power_of_two(quick_slots * QUICK_MARGIN))
    return frozenset(target.name for target in _interleave(eligible)[:reserved_count])


def divide_slots(
    targets: list[Target], gateways: list[str], own: str, kept: frozenset[str]
) -> dict[str, Share]:
    """Return the share of gateway `own` by target name."""
    names = sorted(set(gateways) | {own})
    position = names.index(own)
    parts = dict.fromkeys((target.name for target in targets), 0)
    turn = 0
    for target in sorted(targets, key=lambda target: target.name):
        for _ in range(target.slots - (target.name in kept)):
            if turn % len(names) == position:
                parts[target.name] += 1
            turn += 1
    if parts and not any(parts.values()):
        fallback = sorted(parts)[position % len(parts)]
        parts[fallback] = 1
    return {name: Share(part, name in kept) for name, part in parts.items()}


def _interleave(targets):
    """Return the targets in an order that alternates between the data centres."""
    seen: dict[str, int] = {}
    ranked = []
    for target in sorted(targets, key=lambda target: target.name):
        rank = seen.get(target.data_centre, 0)
        seen[target.data_centre] = rank + 1
        ranked.append((rank, target.name, target))
    return [target for _, _, target in sorted(ranked, key=lambda item: item[:2])]


def _power_of_two(value):
    return 1 if value <= 1 else 2 ** math.ceil(math.log2(value))
