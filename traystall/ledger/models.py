"""Commands and answers of the ledger; ids, fingerprints and outcomes only, never payload."""

from enum import StrEnum

import msgspec


class ClaimOutcome(StrEnum):
    """Name the answer to a claim."""

    # This claim holds the key and may dispatch.
    WON = "won"
    # Another claim holds the key and has no outcome yet.
    HELD = "held"
    # The work ran; its outcome is recorded.
    SETTLED = "settled"
    # The key was used with another request.
    MISMATCH = "mismatch"
    # The key was used, its outcome is past retention; it will not run again.
    EXPIRED = "expired"
    # This very claim was given back; its holder may not dispatch any more.
    RELEASED = "released"


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Ask for the right to dispatch; `time` is log time in seconds since the epoch."""

    customer: str
    key: str
    fingerprint: bytes
    claim_id: str
    claimant: str
    stage: str
    retention: float
    time: float


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """Record that the claimed work ran, with the digest of its answer and who keeps it."""

    customer: str
    key: str
    claim_id: str
    digest: bytes
    holders: list[str]
    time: float


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Give a claim back: its work is proven not to have run and never will."""

    customer: str
    key: str
    claim_id: str
    time: float


class ClaimResult(msgspec.Struct, frozen=True):
    """Answer a claim, with the claim that holds the key."""

    outcome: ClaimOutcome
    claim_id: str = ""
    claimant: str = ""
    digest: bytes = b""
    holders: list[str] = []


class LedgerOutcome(StrEnum):
    """Name the answer to a settle or a release."""

    DONE = "done"
    UNKNOWN = "unknown"
