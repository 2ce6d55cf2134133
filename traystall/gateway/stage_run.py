"""State of one stage of one request, shared by its attempts."""

import msgspec

from traystall.permits.permits import Permit
from traystall.quarantine.guard import GuardedRun
from traystall.systems.deadlines import TokenPace
from traystall.tables.requests import RequestRow, StageRecord
from traystall.tables.targets import TargetRow


class Successor(msgspec.Struct, frozen=True):
    """A target with a slot and a retry token for the next attempt."""

    target: TargetRow
    is_recovery_attempt: bool


class StageRun(msgspec.Struct):
    """State of one stage that its attempts share."""

    row: RequestRow
    index: int
    body: dict
    results: dict
    record: StageRecord
    on_token: object
    run_until: float
    guarded: GuardedRun
    tokens: list[str] = msgspec.field(default_factory=list)
    # Number of tokens that earlier attempts generated and the current one resumes after.
    resumed_from: int = 0
    attempt_started: float = 0.0
    # Whether the current attempt is one of the first after a backoff of its target.
    is_recovery_attempt: bool = False
    # Permit to send the current attempt to a target with a rate limit.
    permit: Permit | None = None
    # Whether the target of the current attempt answered nobody for a while.
    was_silent: bool = False
    # Pace of the current attempt at an engine.
    pace: TokenPace | None = None
    # Where the stage goes on after the current attempt was left.
    successor: Successor | None = None
    excluded: set[str] = msgspec.field(default_factory=set)

    @property
    def stage(self):
        """Return the stage's declaration."""
        return self.row.pipeline.stages[self.index]

    @property
    def next_pool(self) -> str:
        """Return the pool of the following stage, empty for the last one."""
        later = self.row.pipeline.stages[self.index + 1 :]
        return later[0].pool if later else ""

    @property
    def wanted_tokens(self) -> int:
        """Return the number of tokens to request from an engine."""
        return min(self.stage.max_tokens, self.body.get("max_tokens", self.stage.max_tokens))

    @property
    def repeatable(self) -> bool:
        """Return whether an attempt with unknown outcome may be repeated."""
        return self.row.is_repeatable(self.stage)
