"""Decide in which data centre the pieces of a stage are best made. Pure; sizes are bytes.

What counts is what crosses data centres: a piece's inputs, which lie where the
stages before were made, and its result, which the request reads where its target
is or the next stage reads wherever that is made. A stage that reads little may
be made anywhere; the stage after it then follows its results.
"""

from collections import Counter

import msgspec

from traystall.routes.models import StagePlan

# A stage that moves less than this in all is made anywhere: at 10 MB for a second of waiting
# (batching's exchange rate) it is worth 10 ms.
_LIGHT_STAGE_BYTES = 100_000


class StageLocality(msgspec.Struct, frozen=True):
    """Say where a stage is best made (empty: anywhere) and what crosses for each piece if not.

    `away_bytes` cross if a piece is made outside `data_centre`, `apart_bytes` if it
    is made in another data centre than the rest of its stage. `next_pools` are the
    pools that read the results.
    """

    data_centre: str = ""
    away_bytes: int = 0
    split_bytes: int = 0
    reader_pools: tuple[str, ...] = ()


def stage_locality(
    stages: tuple[StagePlan, ...],
    counts: list[int],
    index: int,
    input_bytes: Counter[str],
    read_at: str,
) -> StageLocality:
    """Return where stage `index` is best made.

    `input_bytes` are what each of its pieces reads, by the data centre where it
    lies; `read_at` is where the request itself reads what no other stage does.
    """
    own = stages[index].result_bytes
    readers = [i for i, later in enumerate(stages) if index in later.after and counts[i]]
    crossing = Counter(input_bytes)
    if not readers and read_at:
        crossing[read_at] += own
    split = own * sum(counts[i] for i in readers)
    pools = tuple(sorted({stages[i].pool for i in readers}))
    preferred, away = max(crossing.items(), key=lambda item: (item[1], item[0]), default=("", 0))
    if away * counts[index] < _LIGHT_STAGE_BYTES:
        preferred, away = "", 0
    return StageLocality(preferred, away, split, pools)
