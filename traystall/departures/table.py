"""The departures of targets: a pure state machine that applies commands of the replicated log.

A target that leaves is promised that it gets no new work. The table keeps this promise beyond the
lives of the daemons, for as long as a report from before the departure may still arrive. Of each
target it holds the departure of the latest life, and of that the further of its two steps.
"""

from collections.abc import Iterable

import msgspec

from traystall.core.serialization import pack, unpack
from traystall.departures.models import Departure, KeptDeparture

# How long a departure is kept, in seconds of log time.
DEPARTURE_RETENTION_SECONDS = 600.0
# The oldest departures beyond this number are dropped. This many take 0.5 MB in a snapshot.
MAX_DEPARTURES = 4096


class DeparturesSnapshot(msgspec.Struct, frozen=True):
    """The encoded form of a DepartureTable in a snapshot, the oldest departure first."""

    time: float
    version: int
    kept: list[KeptDeparture]


class DepartureTable:
    """Keep departures in log order; all replicas reach the same table."""

    def __init__(self):
        self.time = 0.0
        self.version = 0
        # In the order of their last changes, so that the oldest come first.
        self._kept: dict[str, KeptDeparture] = {}

    def __len__(self):
        return len(self._kept)

    def holds(self, departure: Departure) -> bool:
        """Return whether recording a departure would change nothing."""
        kept = self._kept.get(departure.identity)
        return kept is not None and _merge(kept.departure, departure) == kept.departure

    def since(self, version: int) -> list[Departure]:
        """Return the departures that changed after `version`."""
        return [kept.departure for kept in self._kept.values() if kept.version > version]

    def record(self, departures: Iterable[Departure], time: float) -> None:
        """Keep departures as of the log time `time`, and drop those that are too old."""
        self.time = max(self.time, time)
        for departure in departures:
            if not self.holds(departure):
                self._put(departure)
        self._drop_old()

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(DeparturesSnapshot(self.time, self.version, list(self._kept.values())))

    def restore(self, data: bytes) -> None:
        """Replace the state with an encoded one; it is empty in snapshots of earlier releases."""
        held = unpack(data, DeparturesSnapshot) if data else DeparturesSnapshot(0.0, 0, [])
        self.time, self.version = held.time, held.version
        self._kept = {kept.departure.identity: kept for kept in held.kept}

    def _put(self, departure):
        kept = self._kept.pop(departure.identity, None)
        merged = departure if kept is None else _merge(kept.departure, departure)
        self.version += 1
        self._kept[departure.identity] = KeptDeparture(merged, self.time, self.version)

    def _drop_old(self):
        for identity, kept in list(self._kept.items()):
            is_old = self.time - kept.time > DEPARTURE_RETENTION_SECONDS
            if not is_old and len(self._kept) <= MAX_DEPARTURES:
                return
            del self._kept[identity]


def _merge(held: Departure, new: Departure) -> Departure:
    """Return the departure of the later life, or the further step of the same life.

    An unknown start counts as that of the same life.
    """
    if 0 < held.started < new.started:
        return new
    if 0 < new.started < held.started:
        return held
    started = max(held.started, new.started)
    return Departure(held.identity, held.gone or new.gone, started)
