"""Commands and answers of the catalog state machine."""

from enum import StrEnum

import msgspec

from traystall.catalog.deltas import Delta


class NumberRule(StrEnum):
    """Name the rule by which a catalog takes numbers.

    `exact`: one content for each number, the same answer for ever, all others refused.
    `highest`: the highest number wins; any other is acknowledged and changes nothing.
    """

    EXACT = "exact"
    HIGHEST = "highest"


class ApplyOutcome(StrEnum):
    """Name what became of an apply."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    STALE = "stale"
    # The delta was made against a revision that is no longer the newest one.
    REBASE = "rebase"


class ApplyBundle(msgspec.Struct, frozen=True, tag="apply"):
    """Ask for a bundle to become revision `number`; `digest` names the operator's content."""

    number: int
    digest: bytes
    operator: str
    delta: Delta


class SupersedeBundle(msgspec.Struct, frozen=True, tag="supersede"):
    """Ask for a bundle to become revision `number` if it is the highest; else change nothing."""

    number: int
    digest: bytes
    operator: str
    delta: Delta


class Revision(msgspec.Struct, frozen=True):
    """Remember which content won a number, and who sent it."""

    number: int
    digest: bytes
    operator: str


class ApplyResult(msgspec.Struct, frozen=True):
    """Answer an apply: `revision` is the one that holds the number, `current` the newest."""

    outcome: ApplyOutcome
    revision: Revision | None
    current: int
    resent: bool = False
