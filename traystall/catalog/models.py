"""Commands and results of the catalog state machine."""

from enum import StrEnum

import msgspec

from traystall.catalog.deltas import Delta


class NumberRule(StrEnum):
    """The rule by which a catalog accepts bundle numbers.

    `exact`: one content per number; resending it returns the same result, other content is refused.
    `highest`: the highest number wins; any other is acknowledged and changes nothing.
    """

    EXACT = "exact"
    HIGHEST = "highest"


class ApplyOutcome(StrEnum):
    """The outcome of an apply command."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    STALE = "stale"
    # The delta was made against a revision that is no longer the newest one.
    REBASE = "rebase"


class ApplyBundle(msgspec.Struct, frozen=True, tag="apply"):
    """Apply a bundle as revision `number`; `digest` identifies the operator's content."""

    number: int
    digest: bytes
    operator: str
    delta: Delta


class SupersedeBundle(msgspec.Struct, frozen=True, tag="supersede"):
    """Apply a bundle as revision `number` if that is the highest; otherwise change nothing."""

    number: int
    digest: bytes
    operator: str
    delta: Delta


class Revision(msgspec.Struct, frozen=True):
    """Record which content was accepted for a number, and which operator sent it."""

    number: int
    digest: bytes
    operator: str


class ApplyResult(msgspec.Struct, frozen=True):
    """Result of an apply: `revision` is the one that holds the number, `current` the newest."""

    outcome: ApplyOutcome
    revision: Revision | None
    current: int
    resent: bool = False
