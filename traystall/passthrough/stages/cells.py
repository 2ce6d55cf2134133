"""Decide which data centres batch pieces for themselves. Pure.

One gateway that batches for all fills the calls best where targets are few.
Where there are targets enough, the work is split by data centre: results stay
where they are read, a cut concerns nobody else, and no single gateway's link
carries the pieces of all. A data centre that lacks workers is batched together
with another one, so that the loss of a few never brings the pieces of all to
one gateway.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec
import xxhash

from traystall.systems.rendezvous import rendezvous_order

# The whole system as one cell.
WHOLE_SYSTEM = ""
# Each pool needs so many workers for each cell, as a mean, and so many in all before any split.
# With three workers a split in two would leave one of them alone with half of the pieces.
_WORKERS_PER_CELL = 1.5
_LEAST_WORKERS = 4


class Cells(msgspec.Struct, frozen=True):
    """Hold the cells: each has a name and its data centres; none means one for all."""

    members: dict[str, tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self.members)

    def names(self) -> list[str]:
        """Return the names of the cells."""
        return list(self.members)

    def data_centres(self, cell: str) -> tuple[str, ...]:
        """Return the data centres of a cell; none for the whole, or a cell that is no more."""
        return self.members.get(cell, ())

    def of(self, data_centre: str) -> str:
        """Return the cell to which a data centre belongs; WHOLE if it belongs to none."""
        for name, inside in self.members.items():
            if data_centre in inside:
                return name
        return WHOLE_SYSTEM


def batching_cells(pools: Iterable[Counter[str]]) -> Cells:
    """Return the cells that batch for themselves; none if one gateway batches for all.

    Each entry of `pools` counts the workers of one pool by data centre.
    """
    pools = list(pools)
    data_centres = sorted(set().union(*pools)) if pools else []
    groups = [(name,) for name in data_centres]
    while len(groups) > 1 and not _are_enough(groups, pools):
        groups = _merge_weakest(groups, pools)
    if len(groups) < 2:
        return Cells()
    return Cells({group[0]: group for group in sorted(groups)})


def cell_of(request_id: str, data_centre: str, cells: Cells) -> str:
    """Return the cell that makes the pieces of a request whose results `data_centre` reads."""
    if not cells:
        return WHOLE_SYSTEM
    return cells.of(data_centre) or rendezvous_order(request_id, cells.names())[0]


def balanced_cell(
    request_id: str,
    home: str,
    cells: Cells,
    pools: Iterable[Counter[str]],
    engines: Counter[str],
) -> str:
    """Return the cell that makes the pieces of a request whose results may well cross.

    `home` is the cell whose engine will probably read them, `pools` count the workers
    of each pool that the request asks, `engines` those that read, by data centre.
    Requests go to engines by their number, so a cell with fewer workers than engines,
    compared with the others, hands on what is above its part: by the name of the
    request, alike at every gateway.
    """
    asked = _shares(engines, cells)
    able = _capacity_shares(pools, cells)
    if not asked or not able or able[home] >= asked[home]:
        return home
    drawn = xxhash.xxh64_intdigest(f"cell {request_id}".encode()) / 2**64
    kept = able[home] / asked[home]
    if drawn < kept:
        return home
    left = (drawn - kept) / (1 - kept) * sum(max(0.0, able[n] - asked[n]) for n in able)
    for name in able:
        left -= max(0.0, able[name] - asked[name])
        if left < 0:
            return name
    return home


def _shares(counts, cells) -> dict[str, float]:
    """Return the part of `counts` that each cell has; nothing if no cell has any."""
    found = {name: _workers_in(inside, counts) for name, inside in cells.members.items()}
    whole = sum(found.values())
    return {name: count / whole for name, count in found.items()} if whole else {}


def _capacity_shares(pools, cells) -> dict[str, float]:
    """Return the part of the work that each cell can take, by the pool that it has least of."""
    by_pool = [_shares(workers, cells) for workers in pools]
    if not by_pool or not all(by_pool):
        return {}
    least = {name: min(shares[name] for shares in by_pool) for name in cells.members}
    whole = sum(least.values())
    return {name: part / whole for name, part in least.items()} if whole else {}


def fallback_cell(request_id: str, tried: str, cells: Cells, places: tuple[str, ...]) -> str:
    """Return a cell to try after `tried`, inside `places` if any are named; WHOLE if none is."""
    left = [
        name
        for name, inside in cells.members.items()
        if name != tried and (not places or set(inside).intersection(places))
    ]
    return rendezvous_order(request_id, left)[0] if left else WHOLE_SYSTEM


def _are_enough(groups, pools):
    """Return whether every pool has workers in each group, and enough for so many groups."""
    for workers in pools:
        if workers.total() < max(_LEAST_WORKERS, _WORKERS_PER_CELL * len(groups)):
            return False
        if any(not _workers_in(group, workers) for group in groups):
            return False
    return True


def _merge_weakest(groups, pools):
    """Return the groups with the one joined to another whose scarcest pool has least.

    The other is the next weakest that has workers of every pool, a small one before a large.
    """
    weakest = min(groups, key=lambda group: (_scarcest(group, pools), group))
    others = [group for group in groups if group != weakest]

    def weakness(group):
        found = _scarcest(group, pools)
        return (not found, found, len(group), group)

    partner = min(others, key=weakness)
    kept = [group for group in others if group != partner]
    return [tuple(sorted(weakest + partner)), *kept]


def _scarcest(group, pools):
    """Return the least part of a pool's workers that a group has."""
    return min(_workers_in(group, workers) / max(1, workers.total()) for workers in pools)


def _workers_in(group, workers):
    return sum(workers[name] for name in group)
