"""Reports and rows of targets that register themselves. Times are monotonic seconds."""

from enum import StrEnum

import msgspec


class RegisteredState(StrEnum):
    """The state that a target reports of itself; an incarnation never returns to an earlier one."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


# Largest valid start of a target, since its Unix milliseconds have to fit into a signed 64-bit int.
MAX_START_MS = 2**63 - 1

STATE_RANK = {state: rank for rank, state in enumerate(RegisteredState)}


class TargetReport(msgspec.Struct, frozen=True):
    """A report of a target about itself.

    `identity` names the target. `started` is the Unix time of its start in milliseconds, 0 if
    unknown; both together identify an incarnation. `sequence` grows with every report of an
    incarnation. `warming` is the remaining time of its cold phase in seconds.
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
        """Return the name of this incarnation."""
        return f"{self.identity}@{self.started}" if self.started else self.identity


class RegisteredTarget(msgspec.Struct):
    """The row of one incarnation of a target.

    `seen_at` is the time of its last report to any control daemon, `changed` the version of the
    table at the last change of this row, and `cold_until` the end of its cold phase.
    """

    report: TargetReport
    seen_at: float
    changed: int = 0
    cold_until: float = float("-inf")

    @property
    def identity(self) -> str:
        """Return the identity of the target."""
        return self.report.identity

    @property
    def is_ready(self) -> bool:
        """Return whether the target accepts new work."""
        return self.report.state is RegisteredState.READY
