"""The ledger: a pure state machine of work that must not run twice, identified by a key.

Each key belongs to one customer and has at most one claim that may dispatch the work. Only the
claimant can release its claim, and only if the work provably has not run. Expiry follows log time,
which never goes back.
"""

import heapq
from enum import StrEnum

import msgspec

from traystall.core.serialization import pack, unpack
from traystall.ledger.models import (
    Claim,
    ClaimOutcome,
    ClaimResult,
    LedgerOutcome,
    Release,
    Settle,
)

# How long claims of an expired key are answered with EXPIRED, as a multiple of its retention.
EXPIRED_RESULT_RATIO = 1.0


class EntryState(StrEnum):
    """The state of a key."""

    CLAIMED = "claimed"
    SETTLED = "settled"
    RELEASED = "released"


class LedgerEntry(msgspec.Struct):
    """The claim of one key and its outcome."""

    customer: str
    key: str
    fingerprint: bytes
    state: EntryState
    claim_id: str
    claimant: str
    stage: str
    claimed_at: float
    expires_at: float
    forget_at: float
    digest: bytes = b""
    holders: list[str] = []
    released: list[str] = []


class LedgerSnapshot(msgspec.Struct, frozen=True):
    """The encoded form of the ledger in a snapshot."""

    time: float
    entries: list[LedgerEntry]


class Ledger:
    """Decide on claims in log order; all replicas reach the same decisions."""

    def __init__(self):
        self.time = 0.0
        self._entries: dict[tuple[str, str], LedgerEntry] = {}
        self._removals: list[tuple[float, str, str]] = []

    def __len__(self):
        return len(self._entries)

    def claim(self, command: Claim) -> ClaimResult:
        """Decide which claim may dispatch the work of a key."""
        self._advance(command.time)
        entry = self._entries.get((command.customer, command.key))
        if entry is None:
            return self._grant(command, released=[])
        if entry.fingerprint != command.fingerprint:
            return ClaimResult(ClaimOutcome.MISMATCH)
        if command.claim_id in entry.released:
            return ClaimResult(ClaimOutcome.RELEASED)
        if entry.state is EntryState.RELEASED:
            return self._grant(command, released=entry.released)
        if self.time >= entry.expires_at:
            return ClaimResult(ClaimOutcome.EXPIRED, entry.claim_id, entry.claimant)
        return self._claim_result(entry, command)

    def settle(self, command: Settle) -> LedgerOutcome:
        """Record the outcome of a claim, or add holders of its stored result."""
        self._advance(command.time)
        entry = self._entries.get((command.customer, command.key))
        if entry is None or entry.claim_id != command.claim_id:
            return LedgerOutcome.UNKNOWN
        if entry.state is EntryState.RELEASED:
            return LedgerOutcome.UNKNOWN
        if entry.state is EntryState.CLAIMED:
            entry.state = EntryState.SETTLED
            entry.digest = command.digest
        if entry.digest == command.digest:
            entry.holders = sorted({*entry.holders, *command.holders})
        return LedgerOutcome.DONE

    def release(self, command: Release) -> LedgerOutcome:
        """Release a claim whose work provably has not run."""
        self._advance(command.time)
        entry = self._entries.get((command.customer, command.key))
        if entry is None or entry.claim_id != command.claim_id:
            return LedgerOutcome.UNKNOWN
        if entry.state is EntryState.SETTLED:
            return LedgerOutcome.UNKNOWN
        if entry.state is EntryState.CLAIMED:
            entry.state = EntryState.RELEASED
            entry.released = [*entry.released, command.claim_id]
        return LedgerOutcome.DONE

    def unsettled(self) -> list[LedgerEntry]:
        """Return the claims without an outcome, oldest first."""
        claimed = [row for row in self._entries.values() if row.state is EntryState.CLAIMED]
        return sorted(claimed, key=lambda entry: entry.claimed_at)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(LedgerSnapshot(self.time, list(self._entries.values())))

    def restore(self, data: bytes) -> None:
        """Replace the state with an encoded one."""
        held = unpack(data, LedgerSnapshot)
        self.time = held.time
        self._entries = {(entry.customer, entry.key): entry for entry in held.entries}
        self._removals = [(row.forget_at, row.customer, row.key) for row in held.entries]
        heapq.heapify(self._removals)

    def _claim_result(self, entry, command):
        if entry.state is EntryState.SETTLED:
            outcome = ClaimOutcome.SETTLED
        elif entry.claim_id == command.claim_id:
            outcome = ClaimOutcome.WON
        else:
            outcome = ClaimOutcome.HELD
        return ClaimResult(outcome, entry.claim_id, entry.claimant, entry.digest, entry.holders)

    def _grant(self, command, released):
        expires_at = self.time + command.retention
        entry = LedgerEntry(
            customer=command.customer,
            key=command.key,
            fingerprint=command.fingerprint,
            state=EntryState.CLAIMED,
            claim_id=command.claim_id,
            claimant=command.claimant,
            stage=command.stage,
            claimed_at=self.time,
            expires_at=expires_at,
            forget_at=expires_at + command.retention * EXPIRED_RESULT_RATIO,
            released=released,
        )
        self._entries[command.customer, command.key] = entry
        heapq.heappush(self._removals, (entry.forget_at, entry.customer, entry.key))
        return ClaimResult(ClaimOutcome.WON, entry.claim_id, entry.claimant)

    def _advance(self, time):
        """Advance the log time, and remove keys whose expiry is no longer reported."""
        self.time = max(self.time, time)
        while self._removals and self._removals[0][0] <= self.time:
            forget_at, customer, key = heapq.heappop(self._removals)
            entry = self._entries.get((customer, key))
            if entry is not None and entry.forget_at == forget_at:
                del self._entries[customer, key]
