"""What a gateway knows of evacuations: the highest version that any control daemon has told."""

from collections.abc import Callable

from traystall.core import metrics
from traystall.core.logs import decision
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.rpc.gen.wire.ttypes import Evacuated


class EvacuationCache:
    """Hold the evacuated data centres; `take` moves forward only.

    A control daemon that was cut off, or has just started, tells of a lower
    version: a target that was given up must not get work again because of it.
    """

    def __init__(self):
        self.places = EvacuatedDataCentres()
        self.on_change: list[Callable[[EvacuatedDataCentres, EvacuatedDataCentres], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.places.version

    def take(self, told: Evacuated | None) -> bool:
        """Take in what a control daemon tells; return whether it is newer than what is held."""
        if told is None or (told.version or 0) <= self.version:
            return False
        before = self.places
        self.places = from_wire(told)
        metrics.evacuation_version.set({}, self.version)
        metrics.evacuated_data_centres.set({}, len(self.places.data_centres))
        decision(
            "evacuations",
            version=self.version,
            evacuated=sorted(self.places.data_centres),
            restored=sorted(before.data_centres - self.places.data_centres),
        )
        for callback in self.on_change:
            callback(before, self.places)
        return True


def to_wire(places: EvacuatedDataCentres) -> Evacuated:
    """Return what is evacuated as a wire message."""
    return Evacuated(version=places.version, data_centres=sorted(places.data_centres))


def from_wire(told: Evacuated) -> EvacuatedDataCentres:
    """Return a wire message as what is evacuated."""
    return EvacuatedDataCentres(told.version or 0, frozenset(told.data_centres or ()))
