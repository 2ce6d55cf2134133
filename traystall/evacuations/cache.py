"""A gateway's cache of evacuations, at the highest version received from any control daemon."""

from collections.abc import Callable

from traystall.core import metrics
from traystall.core.logs import decision
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.rpc.gen.wire.ttypes import Evacuated


class EvacuationCache:
    """The evacuated data centres in force at a gateway; `take` ignores lower versions.

    A control daemon that was partitioned or has just started sends a lower version. The targets of
    an evacuated data centre must not get work again because of it.
    """

    def __init__(self):
        self.places = EvacuatedDataCentres()
        self.on_change: list[Callable[[EvacuatedDataCentres, EvacuatedDataCentres], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.places.version

    def take(self, message: Evacuated | None) -> bool:
        """Apply an update from a control daemon; return whether it was newer than the cache."""
        if message is None or (message.version or 0) <= self.version:
            return False
        before = self.places
        self.places = from_wire(message)
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
    """Return the RPC message for evacuated data centres."""
    return Evacuated(version=places.version, data_centres=sorted(places.data_centres))


def from_wire(message: Evacuated) -> EvacuatedDataCentres:
    """Return the evacuated data centres in an RPC message."""
    return EvacuatedDataCentres(message.version or 0, frozenset(message.data_centres or ()))
