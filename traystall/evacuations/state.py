"""The evacuations: a pure state machine that applies commands of the replicated log.

Orders are idempotent, so a client may send one again. Of two contradictory orders the later one in
the log wins.
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
    """The encoded form of Evacuations in a snapshot; it keeps the version without evacuations."""

    version: int
    evacuations: list[Evacuation]


class Evacuations:
    """Apply orders in log order; all replicas reach the same version and data centres."""

    def __init__(self):
        self._evacuations: dict[str, Evacuation] = {}
        self.places = EvacuatedDataCentres()

    def order(self, command: OrderEvacuation) -> EvacuationResult:
        """Apply one order."""
        name = command.data_centre
        if command.evacuated == (name in self._evacuations):
            return EvacuationResult(False, self.places)
        version = self.places.version + 1
        if command.evacuated:
            held = Evacuation(name, command.operator, version, command.time)
            self._evacuations[name] = held
        else:
            del self._evacuations[name]
        self._set_evacuated(version)
        return EvacuationResult(True, self.places)

    def listed(self) -> list[Evacuation]:
        """Return the evacuations, oldest first."""
        return sorted(self._evacuations.values(), key=lambda held: held.version)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(EvacuationsSnapshot(self.places.version, self.listed()))

    def restore(self, data: bytes) -> None:
        """Replace the state with an encoded one; it is empty in snapshots of earlier releases."""
        held = unpack(data, EvacuationsSnapshot) if data else EvacuationsSnapshot(0, [])
        self._evacuations = {row.data_centre: row for row in held.evacuations}
        self._set_evacuated(held.version)

    def _set_evacuated(self, version):
        self.places = EvacuatedDataCentres(version, frozenset(self._evacuations))
