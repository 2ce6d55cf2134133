"""Commands and results of the ledger. They hold ids, fingerprints and outcomes, but no payload."""

from enum import StrEnum

import msgspec


class ClaimOutcome(StrEnum):
    """The result of a claim."""

    # This claim holds the key, and its claimant may dispatch the work.
    WON = "won"
    # Another claim holds the key and has no outcome yet.
    HELD = "held"
    # The work has run, and its outcome is recorded.
    SETTLED = "settled"
    # The key was used with a different request.
    MISMATCH = "mismatch"
    # The key was used and its retention has passed. The work will not run again.
    EXPIRED = "expired"
    # This claim was released, so its claimant may no longer dispatch the work.
    RELEASED = "released"


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Claim the right to dispatch the work of a key.

    `time` is log time in seconds since the epoch.
    """

    customer: str
    key: str
    fingerprint: bytes
    claim_id: str
    claimant: str
    stage: str
    retention: float
    time: float


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """Record that the claimed work ran, with the digest and the holders of its result."""

    customer: str
    key: str
    claim_id: str
    digest: bytes
    holders: list[str]
    time: float


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Release a claim whose work provably has not run and will not run."""

    customer: str
    key: str
    claim_id: str
    time: float


class ClaimResult(msgspec.Struct, frozen=True):
    """The result of a claim, with the claim that holds the key."""

    outcome: ClaimOutcome
    claim_id: str = ""
    claimant: str = ""
    digest: bytes = b""
    holders: list[str] = []


class LedgerOutcome(StrEnum):
    """The result of a Settle or Release command."""

    DONE = "done"
    UNKNOWN = "unknown"
