"""Choose the home of a stage, its preferred data centre, so that little data is moved. Pure.

The inputs of a piece are in the data centres where the earlier stages ran. Its result is read by
the target of the request, or by the next stage wherever that runs. A stage with little input may
run anywhere; the next stage then runs close to its results. Sizes are bytes.
"""

from collections import Counter

import msgspec

from traystall.routes.models import StagePlan

# A stage that moves less than this in total runs anywhere: at 10 MB per second of waiting, the
# exchange rate of batching.py, it is worth 10 ms.
_LIGHT_STAGE_BYTES = 100_000


class StageLocality(msgspec.Struct, frozen=True):
    """Hold the preferred data centre of a stage (empty: anywhere) and the cost of another one.

    `away_bytes` cross data centres for each piece that runs outside `data_centre`, `split_bytes`
    for each piece that runs in another data centre than the rest of its stage. `reader_pools` are
    the pools that read the results.
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
    """Return the locality of stage `index`.

    `input_bytes` holds what each of its pieces reads, by the data centre that holds the data.
    `read_at` is the data centre where the request reads the results that no other stage reads.
    """
    own = stages[index].result_bytes
    readers = [i for i, later in enumerate(stages) if index in later.after and counts[i]]
    bytes_by_data_centre = Counter(input_bytes)
    if not readers and read_at:
        bytes_by_data_centre[read_at] += own
    split = own * sum(counts[i] for i in readers)
    pools = tuple(sorted({stages[i].pool for i in readers}))
    preferred, away = max(
        bytes_by_data_centre.items(), key=lambda item: (item[1], item[0]), default=("", 0)
    )
    if away * counts[index] < _LIGHT_STAGE_BYTES:
        preferred, away = "", 0
    return StageLocality(preferred, away, split, pools)
