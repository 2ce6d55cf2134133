"""Orders to evacuate or restore a data centre, their answers, and what is evacuated."""

import msgspec


class OrderEvacuation(msgspec.Struct, frozen=True, tag="evacuation"):
    """Ask that a data centre be evacuated, or restored if `evacuated` is false.

    `time` is log time in seconds since the epoch, for operators to read only.
    """

    data_centre: str
    evacuated: bool
    operator: str
    time: float


class Evacuation(msgspec.Struct, frozen=True):
    """Remember who evacuated a data centre, at which version and log time in seconds."""

    data_centre: str
    operator: str
    version: int
    since: float


class EvacuatedDataCentres(msgspec.Struct, frozen=True):
    """Name the evacuated data centres at a version; a higher version replaces all of this."""

    version: int = 0
    data_centres: frozenset[str] = frozenset()


class EvacuationResult(msgspec.Struct, frozen=True):
    """Answer an order: whether it changed anything, and what is evacuated after it."""

    changed: bool
    places: EvacuatedDataCentres
