"""The exception hierarchy: one root class and one base class per layer.

Each layer catches the errors of the layer below and raises its own, so callers
handle only the errors of the layer that they call.
"""


class TraystallError(Exception):
    """Root of every exception that traystall raises deliberately."""


class SettingsError(TraystallError):
    """Invalid settings; `problems` lists every problem found."""

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class RpcError(TraystallError):
    """Base of errors on a link between two traystall processes."""


class RpcUnavailable(RpcError):
    """The peer could not be reached, or the link broke during a call."""


class RpcTimeout(RpcError):
    """No reply arrived before the timeout; the peer may have executed the request."""


class RpcRefused(RpcError):
    """The peer replied with an error; `code` is a stable identifier."""

    def __init__(self, code, detail=""):
        self.code = code
        self.detail = detail
        super().__init__(f"{code}: {detail}" if detail else code)


class StorageError(TraystallError):
    """Base of errors in the data folder."""


class CorruptLog(StorageError):
    """The log is corrupt beyond an incomplete last record; the daemon must not start on it."""


class DiskFailed(StorageError):
    """A write or sync failed; the data of that write is not durable yet."""


class ConsensusError(TraystallError):
    """Base of errors in the replicated log."""


class NotLeader(ConsensusError):
    """This replica is not the leader; `leader` is the last known leader or an empty string."""

    def __init__(self, leader=""):
        self.leader = leader
        super().__init__(f"This replica does not lead; the leader may be '{leader or 'unknown'}'.")


class ChangeInProgress(ConsensusError):
    """Another membership change is not committed yet."""


class CatalogError(TraystallError):
    """Base of errors in the declared configuration."""


class BundleError(CatalogError):
    """A bundle cannot be applied; `problems` lists every problem found."""

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class DeltaMismatch(CatalogError):
    """The base or the result of a delta is not the expected revision."""


class GatewayError(TraystallError):
    """Base of errors inside a gateway."""


class TargetError(GatewayError):
    """Base of failures of one attempt at a target."""


class TargetNotRun(TargetError):
    """The target did not run the attempt: nothing was sent, or the target refused explicitly."""

    def __init__(self, reason, leaving=False, sent=False):
        self.reason = reason
        self.leaving = leaving
        self.sent = sent
        super().__init__(f"The target did not run the attempt: {reason}.")


class TargetHeldBack(TargetNotRun):
    """The target asked not to receive the attempt, after the gateway had chosen it."""


class TargetDoubt(TargetError):
    """The target may have run the attempt, but gave no usable response."""

    def __init__(self, reason, timed_out=False, broken=False):
        self.reason = reason
        self.timed_out = timed_out
        # Whether the connection was closed, which is also what a crash of the target looks like.
        self.broken = broken
        super().__init__(f"The target may have run the attempt: {reason}.")


class TargetFailed(TargetError):
    """The target ran the attempt and responded with an error."""

    def __init__(self, status, reason):
        self.status = status
        self.reason = reason
        super().__init__(f"The target answered {status}: {reason}.")


class ProtocolMismatch(TargetDoubt):
    """The response belongs to another attempt; its connection must not be reused."""


class ClientError(TraystallError):
    """A command of the command-line client failed; `exit_code` is its documented exit code."""

    exit_code = 1
