"""Divide a pool's slots for bulk work over the live gateways, and keep some for quick work.

The slots are dealt out in turn, so that the parts of all gateways sum to the
slots; a gateway that would get nothing gets one slot on one target. How many
targets keep a slot free for quick work follows from how much quick work there
is; where a pipeline of quick work is declared, at least one does in each data
centre.
"""

import math

import msgspec

from traystall.tables.entities import Target

# Slots kept for quick work, as a multiple of what quick work uses on average.
QUICK_MARGIN = 2.0
NEGLIGIBLE_SLOTS = 0.01


class Share(msgspec.Struct, frozen=True):
    """Hold a gateway's part of one target; `kept` says that a slot there is kept for quick."""

    bulk: int
    kept: bool


def reserved_targets(
    targets: list[Target], has_quick_work: bool, quick_slots: float
) -> frozenset[str]:
    """Return the names of the targets that keep one slot for quick work.

    `has_quick_work` says that a declared pipeline sends quick work to the pool,
    `quick_slots` how many slots it uses on average over the whole pool. The
    number kept moves in powers of two, so that gateways whose measurements
    differ a little agree.
    """
    if not has_quick_work and quick_slots < NEGLIGIBLE_SLOTS:
        return frozenset()
    able = [target for target in targets if target.slots > 1]
    places = {target.data_centre for target in able}
    wanted = max(len(places), _power_of_two(quick_slots * QUICK_MARGIN))
    return frozenset(target.name for target in _spread(able)[:wanted])


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


def _spread(targets):
    """Return targets so that each data centre comes once before any comes twice."""
    seen: dict[str, int] = {}
    ranked = []
    for target in sorted(targets, key=lambda target: target.name):
        rank = seen.get(target.data_centre, 0)
        seen[target.data_centre] = rank + 1
        ranked.append((rank, target.name, target))
    return [target for _, _, target in sorted(ranked, key=lambda item: item[:2])]


def _power_of_two(value):
    return 1 if value <= 1 else 2 ** math.ceil(math.log2(value))
