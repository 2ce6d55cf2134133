"""The replicated state machine, driven by one log.

It consists of the catalog, the ledger, evacuations, suspects and departures.
"""

import msgspec

from traystall.catalog.models import ApplyBundle, SupersedeBundle
from traystall.catalog.state import Catalog
from traystall.core.serialization import pack, unpack
from traystall.departures.table import DepartureTable
from traystall.evacuations.models import OrderEvacuation
from traystall.evacuations.state import Evacuations
from traystall.ledger.models import Claim, Release, Settle
from traystall.ledger.state import Ledger
from traystall.quarantine.models import BeginTrial, LiftSuspect, ReportRuns
from traystall.quarantine.state import SuspectTable

Command = (
    ApplyBundle
    | SupersedeBundle
    | Claim
    | Settle
    | Release
    | OrderEvacuation
    | ReportRuns
    | BeginTrial
    | LiftSuspect
)


class StateSnapshot(msgspec.Struct, frozen=True):
    """Hold a snapshot as the encoded snapshots of its components."""

    catalog: bytes
    ledger: bytes
    # Snapshots of earlier releases lack the following fields.
    evacuations: bytes = b""
    suspects: bytes = b""
    departures: bytes = b""


class StateMachine:
    """Apply committed commands in log order."""

    def __init__(self):
        self.catalog = Catalog()
        self.ledger = Ledger()
        self.evacuations = Evacuations()
        self.suspects = SuspectTable()
        self.departures = DepartureTable()

    def check(self, data: bytes) -> None:
        """Raise msgspec.DecodeError if a command can't be applied."""
        unpack(data, Command)

    def apply(self, data: bytes):
        """Apply one encoded command and return its typed result."""
        command = unpack(data, Command)
        if isinstance(command, ApplyBundle):
            return self.catalog.apply(command)
        if isinstance(command, SupersedeBundle):
            return self.catalog.supersede(command)
        if isinstance(command, Claim):
            return self.ledger.claim(command)
        if isinstance(command, Settle):
            return self.ledger.settle(command)
        if isinstance(command, Release):
            return self.ledger.release(command)
        if isinstance(command, ReportRuns):
            self.departures.record(command.departures, command.time)
            return self.suspects.report(command)
        if isinstance(command, BeginTrial):
            return self.suspects.begin_trial(command)
        if isinstance(command, LiftSuspect):
            return self.suspects.lift(command)
        return self.evacuations.order(command)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        parts = StateSnapshot(
            self.catalog.snapshot(),
            self.ledger.snapshot(),
            self.evacuations.snapshot(),
            self.suspects.snapshot(),
            self.departures.snapshot(),
        )
        return pack(parts)

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one."""
        parts = unpack(data, StateSnapshot)
        self.catalog.restore(parts.catalog)
        self.ledger.restore(parts.ledger)
        self.evacuations.restore(parts.evacuations)
        self.suspects.restore(parts.suspects)
        self.departures.restore(parts.departures)
