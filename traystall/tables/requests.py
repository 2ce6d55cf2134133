"""Requests that a gateway runs, and the attempts made for them."""

from enum import StrEnum

import msgspec

from traystall.tables.entities import Pipeline, PriorityClass


class RunState(StrEnum):
    """Say whether any part of a request ran."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class StageRecord(msgspec.Struct):
    """Hold where and how a stage ran; times in seconds."""

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
    """Hold one request in progress; `deadline` and `started_at` are monotonic seconds."""

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
    # Nothing may be sent under the claim after this time, in monotonic seconds.
    claim_ends_at: float = float("inf")
    # Whether the claim is an earlier request's, whose work is known to have run.
    took_over: bool = False
    # Attempts of which a byte may have left, and those of them proven not run.
    attempts_sent: int = 0
    attempts_not_run: int = 0
    attempts_made: int = 0
    finished: bool = False
    closed: bool = False
    stages: list[StageRecord] = msgspec.field(default_factory=list)
    events: list[str] = msgspec.field(default_factory=list)

    @property
    def run_state(self) -> RunState:
        """Return what may truthfully be said of the request now."""
        if self.finished:
            return RunState.RAN
        if self.took_over or self.attempts_sent > self.attempts_not_run:
            return RunState.MAY_HAVE_RUN
        return RunState.NOT_RUN

    def on_claimed(self, ends_at: float) -> None:
        """Note that this request holds its claim, and until when it may send under it."""
        self.claimed = True
        self.claim_ends_at = ends_at
        self.doubtful_before_claim = self.attempts_sent - self.attempts_not_run

    def adopt_claim(self, claim_id: str) -> None:
        """Go on under an earlier request's claim, whose work has run."""
        self.claim_id = claim_id
        self.claimed = True
        self.took_over = True

    @property
    def may_have_run_since_claim(self) -> bool:
        """Return whether anything may have run under the claim."""
        sent = self.attempts_sent - self.attempts_not_run > self.doubtful_before_claim
        return sent or self.took_over

    def is_repeatable(self, stage) -> bool:
        """Return whether an attempt at `stage` may be made again after a doubt."""
        return stage.repeatable and not self.marked_not_repeatable
