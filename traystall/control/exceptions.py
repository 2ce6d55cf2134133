"""Errors of the control daemon."""

from traystall.core.exceptions import TraystallError


class ControlError(TraystallError):
    """Be the base of errors of the control daemon."""


class CommitInDoubt(ControlError):
    """Report that a command may or may not have been committed."""


class InvalidCommand(ControlError):
    """Report a command that replicas could not apply; it was not proposed."""


class NoRoom(ControlError):
    """Report a command that the disk has no room for; it was not proposed."""


class LeaderElsewhere(ControlError):
    """Report that this daemon can't decide now; `leader` is the leader's address or empty."""

    def __init__(self, leader=""):
        self.leader = leader
        super().__init__("This control daemon is not the leader.")


class InvalidTarget(ControlError):
    """Report a target that can't be registered."""


class DepartureNotKept(ControlError):
    """Report a departure that is in force at this daemon only, and may be lost with it."""


class LeaseLost(ControlError):
    """Report that the leader's lease ended before an action that requires it."""
