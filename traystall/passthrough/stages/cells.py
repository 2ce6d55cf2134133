"""Divide the data centres into cells, each of which batches its own pieces. Pure.

With few targets a single batcher fills the calls best. With enough targets the work is split by
data centre: results stay where they are read, a network partition affects no other cell, and no
gateway's link has to carry all pieces. A data centre with too few workers shares a cell with
another one, so that the loss of a few workers never moves all pieces to one gateway.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec
import xxhash

from traystall.systems.rendezvous import rendezvous_order

# The cell of all data centres, for a system that is not divided.
WHOLE_SYSTEM = ""
# A pool needs this many workers per cell on average, and this many in total before any split: with
# three workers a split into two cells would leave one worker with half of the pieces.
_WORKERS_PER_CELL = 1.5
_MIN_WORKERS = 4


class Cells(msgspec.Struct, frozen=True):
    """Map the name of each cell to its data centres; empty if the system is not divided."""

    members: dict[str, tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self.members)

    def names(self) -> list[str]:
        """Return the names of the cells."""
        return list(self.members)

    def data_centres(self, cell: str) -> tuple[str, ...]:
        """Return the data centres of a cell; none for WHOLE_SYSTEM or a former cell."""
        return self.members.get(cell, ())

    def of(self, data_centre: str) -> str:
        """Return the cell to which a data centre belongs; WHOLE_SYSTEM if it belongs to none."""
        for name, inside in self.members.items():
            if data_centre in inside:
                return name
        return WHOLE_SYSTEM


def batching_cells(pools: Iterable[Counter[str]]) -> Cells:
    """Return the cells of the system; none if it is not divided.

    Each entry of `pools` counts the workers of one pool by data centre.
    """
    pools = list(pools)
    data_centres = sorted(set().union(*pools)) if pools else []
    groups = [(name,) for name in data_centres]
    while len(groups) > 1 and not _have_enough_workers(groups, pools):
        groups = _merge_weakest(groups, pools)
    if len(groups) < 2:
        return Cells()
    return Cells({group[0]: group for group in sorted(groups)})


def cell_of(request_id: str, data_centre: str, cells: Cells) -> str:
    """Return the cell that runs the pieces of a request whose results `data_centre` reads."""
    if not cells:
        return WHOLE_SYSTEM
    return cells.of(data_centre) or rendezvous_order(request_id, cells.names())[0]


def balanced_cell(
    request_id: str,
    preferred: str,
    cells: Cells,
    pools: Iterable[Counter[str]],
    engines: Counter[str],
) -> str:
    """Return the cell that runs the pieces of a request whose results may cross data centres.

    `preferred` is the cell of the engine that probably reads the results. `pools` counts the
    workers of each pool that the request uses, `engines` the engines, both by data centre.
    Requests are distributed by the number of engines. A cell whose share of the workers is smaller
    than its share of the engines therefore passes the excess requests on to other cells. The choice
    depends on the request id only, so that all gateways agree.
    """
    demand = _worker_shares(engines, cells)
    capacity = _cell_capacities(pools, cells)
    if not demand or not capacity or capacity[preferred] >= demand[preferred]:
        return preferred
    draw = xxhash.xxh64_intdigest(f"cell {request_id}".encode()) / 2**64
    keep_ratio = capacity[preferred] / demand[preferred]
    if draw < keep_ratio:
        return preferred
    left = (
        (draw - keep_ratio)
        / (1 - keep_ratio)
        * sum(max(0.0, capacity[n] - demand[n]) for n in capacity)
    )
    for name in capacity:
        left -= max(0.0, capacity[name] - demand[name])
        if left < 0:
            return name
    return preferred


def _worker_shares(counts, cells) -> dict[str, float]:
    """Return the share of `counts` that each cell has; empty if no cell has any."""
    found = {name: _workers_in(inside, counts) for name, inside in cells.members.items()}
    whole = sum(found.values())
    return {name: count / whole for name, count in found.items()} if whole else {}


def _cell_capacities(pools, cells) -> dict[str, float]:
    """Return the share of the work that each cell can take, by the pool that is scarcest there."""
    by_pool = [_worker_shares(workers, cells) for workers in pools]
    if not by_pool or not all(by_pool):
        return {}
    smallest = {name: min(shares[name] for shares in by_pool) for name in cells.members}
    whole = sum(smallest.values())
    return {name: part / whole for name, part in smallest.items()} if whole else {}


def fallback_cell(request_id: str, tried: str, cells: Cells, places: tuple[str, ...]) -> str:
    """Return a cell to try after `tried`, within `places` if any are given, or WHOLE_SYSTEM."""
    left = [
        name
        for name, inside in cells.members.items()
        if name != tried and (not places or set(inside).intersection(places))
    ]
    return rendezvous_order(request_id, left)[0] if left else WHOLE_SYSTEM


def _have_enough_workers(groups, pools):
    """Return whether every pool has workers in each group, and enough workers for all groups."""
    for workers in pools:
        if workers.total() < max(_MIN_WORKERS, _WORKERS_PER_CELL * len(groups)):
            return False
        if any(not _workers_in(group, workers) for group in groups):
            return False
    return True


def _merge_weakest(groups, pools):
    """Return the groups with the weakest one merged into another.

    A group is as weak as its share of its scarcest pool. The partner is the next weakest group that
    has workers of every pool; of equally weak groups the smaller one is preferred.
    """
    weakest = min(groups, key=lambda group: (_smallest_share(group, pools), group))
    others = [group for group in groups if group != weakest]

    def weakness(group):
        found = _smallest_share(group, pools)
        return (not found, found, len(group), group)

    partner = min(others, key=weakness)
    remaining = [group for group in others if group != partner]
    return [tuple(sorted(weakest + partner)), *remaining]


def _smallest_share(group, pools):
    """Return the smallest share of any pool's workers that a group has."""
    return min(_workers_in(group, workers) / max(1, workers.total()) for workers in pools)


def _workers_in(group, workers):
    return sum(workers[name] for name in group)
