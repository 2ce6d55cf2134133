"""Requests in progress at a gateway, and the attempts to run their stages."""

from enum import StrEnum

import msgspec

from traystall.tables.entities import Pipeline, PriorityClass


class RunState(StrEnum):
    """Whether any part of a request has run."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class StageRecord(msgspec.Struct):
    """Where and how a stage ran; times in seconds."""

    stage: str
    target: str = ""
    data_centre: str = ""
    seconds: float = 0.0
    queued_seconds: float = 0.0
    attempts: int = 0
    wasted_seconds: float = 0.0
    tokens: int = 0
    why: str = ""


class RequestRow(msgspec.Struct):
    """One request in progress; `deadline` and `started_at` are monotonic seconds."""

    request_id: str
    customer: str
    pipeline: Pipeline
    priority: PriorityClass
    started_at: float
    deadline: float
    marked_not_repeatable: bool = False
    key: str = ""
    fingerprint: bytes = b""
    claim_id: str = ""
    claimed: bool = False
    doubtful_before_claim: int = 0
    # Time after which no attempt may be sent under the claim, in monotonic seconds.
    claim_ends_at: float = float("inf")
    # Whether the claim belongs to an earlier request whose work is known to have run.
    adopted_claim: bool = False
    # Attempts that may have sent a byte, and those of them that provably didn't run.
    attempts_sent: int = 0
    attempts_not_run: int = 0
    attempts_made: int = 0
    finished: bool = False
    closed: bool = False
    stages: list[StageRecord] = msgspec.field(default_factory=list)
    events: list[str] = msgspec.field(default_factory=list)

    @property
    def run_state(self) -> RunState:
        """Return what is known for certain about the execution of the request."""
        if self.finished:
            return RunState.RAN
        if self.adopted_claim or self.attempts_sent > self.attempts_not_run:
            return RunState.MAY_HAVE_RUN
        return RunState.NOT_RUN

    def on_claimed(self, ends_at: float) -> None:
        """Record that this request holds its claim and may send attempts until `ends_at`."""
        self.claimed = True
        self.claim_ends_at = ends_at
        self.doubtful_before_claim = self.attempts_sent - self.attempts_not_run

    def adopt_claim(self, claim_id: str) -> None:
        """Continue under the claim of an earlier request whose work has run."""
        self.claim_id = claim_id
        self.claimed = True
        self.adopted_claim = True

    @property
    def may_have_run_since_claim(self) -> bool:
        """Return whether an attempt may have run under the claim."""
        sent = self.attempts_sent - self.attempts_not_run > self.doubtful_before_claim
        return sent or self.adopted_claim

    def is_repeatable(self, stage) -> bool:
        """Return whether `stage` may be retried after an attempt with an unknown outcome."""
        return stage.repeatable and not self.marked_not_repeatable
