"""The ledger: a pure state machine of keyed not-repeatable work.

A key belongs to one customer. At most one claim of a key may ever be told to
dispatch; only the claimant itself can give its claim back, and only when it
proves that nothing ran. Expiry goes by log time, which never steps back.
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

# An expired key still gets an explicit answer for this many retentions more.
EXPIRED_ANSWER_FACTOR = 1.0


class EntryState(StrEnum):
    """Name the state of a key."""

    CLAIMED = "claimed"
    SETTLED = "settled"
    RELEASED = "released"


class LedgerEntry(msgspec.Struct):
    """Hold what is known of one key."""

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
    """Hold the whole ledger for a snapshot."""

    time: float
    entries: list[LedgerEntry]


class Ledger:
    """Decide claims in log order; every replica decides alike."""

    def __init__(self):
        self.time = 0.0
        self._entries: dict[tuple[str, str], LedgerEntry] = {}
        self._expiry: list[tuple[float, str, str]] = []

    def __len__(self):
        return len(self._entries)

    def claim(self, command: Claim) -> ClaimResult:
        """Answer who may dispatch the work of a key."""
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
        return self._answer_held(entry, command)

    def settle(self, command: Settle) -> LedgerOutcome:
        """Record the outcome of a claim, or add holders of its kept result."""
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
        """Give back a claim whose work is proven not to have run."""
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
        claimed = [e for e in self._entries.values() if e.state is EntryState.CLAIMED]
        return sorted(claimed, key=lambda entry: entry.claimed_at)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(LedgerSnapshot(self.time, list(self._entries.values())))

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one."""
        held = unpack(data, LedgerSnapshot)
        self.time = held.time
        self._entries = {(entry.customer, entry.key): entry for entry in held.entries}
        self._expiry = [(e.forget_at, e.customer, e.key) for e in held.entries]
        heapq.heapify(self._expiry)

    def _answer_held(self, entry, command):
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
            forget_at=expires_at + command.retention * EXPIRED_ANSWER_FACTOR,
            released=released,
        )
        self._entries[command.customer, command.key] = entry
        heapq.heappush(self._expiry, (entry.forget_at, entry.customer, entry.key))
        return ClaimResult(ClaimOutcome.WON, entry.claim_id, entry.claimant)

    def _advance(self, time):
        """Move log time forward and forget keys that are past their last answer."""
        self.time = max(self.time, time)
        while self._expiry and self._expiry[0][0] <= self.time:
            forget_at, customer, key = heapq.heappop(self._expiry)
            entry = self._entries.get((customer, key))
            if entry is not None and entry.forget_at == forget_at:
                del self._entries[customer, key]
