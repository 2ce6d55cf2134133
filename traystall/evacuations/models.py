"""Orders to evacuate or restore a data centre, their results, and the evacuated data centres."""

import msgspec


class OrderEvacuation(msgspec.Struct, frozen=True, tag="evacuation"):
    """Order to evacuate a data centre, or to restore it if `evacuated` is false.

    `time` is log time in seconds since the epoch. It is only displayed to operators.
    """

    data_centre: str
    evacuated: bool
    operator: str
    time: float


class Evacuation(msgspec.Struct, frozen=True):
    """An evacuated data centre, with the operator, version and log time (seconds) of the order."""

    data_centre: str
    operator: str
    version: int
    since: float


class EvacuatedDataCentres(msgspec.Struct, frozen=True):
    """The evacuated data centres at a version; a higher version replaces the whole set."""

    version: int = 0
    data_centres: frozenset[str] = frozenset()


class EvacuationResult(msgspec.Struct, frozen=True):
    """The result of an order: whether it changed anything, and the evacuated data centres."""

    changed: bool
    places: EvacuatedDataCentres
