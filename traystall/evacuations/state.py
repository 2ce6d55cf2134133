"""The evacuations: a pure state machine behind the replicated log.

An order that is already carried out changes nothing, so it may be sent again in
any number; of two that contradict each other the later one in the log holds.
"""

import msgspec

from traystall.core.serialization import pack, unpack
from traystall.evacuations.models import (
    EvacuatedDataCentres,
    Evacuation,
    EvacuationResult,
    OrderEvacuation,
)


class EvacuationsSnapshot(msgspec.Struct, frozen=True):
    """Hold all evacuations for a snapshot; the version survives even when none is left."""

    version: int
    evacuations: list[Evacuation]


class Evacuations:
    """Carry out orders in log order; every replica comes to the same version and places."""

    def __init__(self):
        self._evacuations: dict[str, Evacuation] = {}
        self.places = EvacuatedDataCentres()

    def order(self, command: OrderEvacuation) -> EvacuationResult:
        """Carry out one order."""
        name = command.data_centre
        if command.evacuated == (name in self._evacuations):
            return EvacuationResult(False, self.places)
        version = self.places.version + 1
        if command.evacuated:
            held = Evacuation(name, command.operator, version, command.time)
            self._evacuations[name] = held
        else:
            del self._evacuations[name]
        self._set_places(version)
        return EvacuationResult(True, self.places)

    def listed(self) -> list[Evacuation]:
        """Return the evacuations, the oldest first."""
        return sorted(self._evacuations.values(), key=lambda held: held.version)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(EvacuationsSnapshot(self.places.version, self.listed()))

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one; empty data is of a time before any evacuation."""
        held = unpack(data, EvacuationsSnapshot) if data else EvacuationsSnapshot(0, [])
        self._evacuations = {row.data_centre: row for row in held.evacuations}
        self._set_places(held.version)

    def _set_places(self, version):
        self.places = EvacuatedDataCentres(version, frozenset(self._evacuations))
