"""Decide which data centres batch pieces for themselves. Pure.

One gateway that batches for all fills the calls best where targets are few.
Where each data centre has targets enough of its own, the work is split by data
centre: results stay where they are read, a cut concerns nobody else, and no
single gateway's link carries the pieces of all.
"""

from collections import Counter
from collections.abc import Iterable

from traystall.passthrough.rendezvous import rendezvous_order

# The whole system as one cell.
WHOLE = ""
# Each pool needs so many workers for each data centre, as a mean, before the work is split.
_MAKERS_PER_CELL = 1.5


def batching_cells(pools: Iterable[Counter[str]]) -> tuple[str, ...]:
    """Return the data centres that batch for themselves; none if one gateway batches for all.

    Each entry of `pools` counts the workers of one pool by data centre.
    """
    pools = list(pools)
    data_centres = sorted(set().union(*pools)) if pools else []
    if len(data_centres) < 2:
        return ()
    for workers in pools:
        if any(not workers[name] for name in data_centres):
            return ()
        if workers.total() < _MAKERS_PER_CELL * len(data_centres):
            return ()
    return tuple(data_centres)


def cell_of(request_id: str, data_centre: str, cells: tuple[str, ...]) -> str:
    """Return the cell that makes the pieces of a request whose results `data_centre` reads."""
    if not cells:
        return WHOLE
    if data_centre in cells:
        return data_centre
    return rendezvous_order(request_id, list(cells))[0]


def other_cell(request_id: str, tried: str, cells: tuple[str, ...], places: tuple[str, ...]) -> str:
    """Return a cell to try after `tried`, inside `places` if any are named; WHOLE if none is."""
    left = [name for name in cells if name != tried and (not places or name in places)]
    return rendezvous_order(request_id, left)[0] if left else WHOLE
