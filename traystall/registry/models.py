"""Rows and reports of targets that register themselves. Times are monotonic seconds."""

from enum import StrEnum

import msgspec


class RegisteredState(StrEnum):
    """Name what a registered target says of itself; later ones win for good."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


# A start beyond this is none: Unix milliseconds have to fit into 64 bits with a sign.
MAX_START_MS = 2**63 - 1

STATE_RANK = {state: rank for rank, state in enumerate(RegisteredState)}


class TargetReport(msgspec.Struct, frozen=True):
    """Hold one report of a target about itself.

    `identity` names the target, and together with `started`, the Unix millisecond of its start (0:
    not known), one life of it. `sequence` grows with every report of one life; `warming` is how
    long it stays cold, in seconds.
    """

    identity: str
    pool: str
    address: str
    data_centre: str = ""
    version: str = ""
    slots: int = 1
    state: RegisteredState = RegisteredState.READY
    sequence: int = 0
    warming: float = 0.0
    started: int = 0

    @property
    def life(self) -> str:
        """Return the name of this life."""
        return f"{self.identity}@{self.started}" if self.started else self.identity


class RegisteredTarget(msgspec.Struct):
    """Hold what is known of one life of a target.

    `seen_at` is when it last reported, by way of any control daemon; `changed`
    is the version of the table that last changed this row. It is cold until `cold_until`.
    """

    report: TargetReport
    seen_at: float
    changed: int = 0
    cold_until: float = float("-inf")

    @property
    def identity(self) -> str:
        """Return the name of this life of the target."""
        return self.report.identity

    @property
    def is_ready(self) -> bool:
        """Return whether new work may go to it."""
        return self.report.state is RegisteredState.READY
