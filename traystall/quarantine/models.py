"""Commands about suspects, their answers, and what is kept of one. Times are log time, seconds."""

from enum import StrEnum

import msgspec

# From so many ends on all gateways are told of a request: a single one is most often an accident
# of the target, and telling each request that ran beside it would cost a row for each.
TOLD_ENDS = 2
# From so many ends on a request is sent only as a trial, one at a time.
TRIAL_ENDS = 3
# So many trials are granted without a whole answer before a request is refused. With the ends
# before them and one arrival at a gateway that had not been told, no more than three follow.
MAX_TRIALS = 2
# A trial whose gateway says nothing more is over after so long: longer than most answers take.
TRIAL_SECONDS = 15.0


class EndedRun(msgspec.Struct, frozen=True):
    """Tell that a life of a target ended while it ran a request.

    `life` names the target and its start; `evidence` says how the end was seen; `trial` is the
    trial as which the request was sent, if any.
    """

    digest: bytes
    customer: str
    route: str
    pool: str
    life: str
    evidence: str
    trial: str = ""


class ReportRuns(msgspec.Struct, frozen=True, tag="report_runs"):
    """Tell what became of runs: ends of targets, whole answers by digest, trials that are over."""

    ended: tuple[EndedRun, ...]
    served: tuple[bytes, ...]
    released: tuple[str, ...]
    time: float


class BeginTrial(msgspec.Struct, frozen=True, tag="begin_trial"):
    """Ask whether a request may be sent, as the trial named `trial`."""

    digest: bytes
    trial: str
    time: float


class LiftSuspect(msgspec.Struct, frozen=True, tag="lift_suspect"):
    """Forget what is held against a request, by order of `operator`."""

    digest: bytes
    operator: str
    time: float


class Verdict(StrEnum):
    """Say whether a suspect may be sent now."""

    FREE = "free"
    TRIAL = "trial"
    WAIT = "wait"
    REFUSED = "refused"


class SuspectEvent(StrEnum):
    """Name what became of a suspect."""

    SUSPECTED = "suspected"
    REFUSED = "refused"
    CLEARED = "cleared"


class SuspectUpdate(msgspec.Struct, frozen=True):
    """Tell what became of a suspect and why; `age` is how long it has been known, in seconds."""

    event: SuspectEvent
    digest: bytes
    customer: str
    route: str
    ends: int
    why: str
    age: float


class TrialResult(msgspec.Struct, frozen=True):
    """Answer who wants to send a suspect; `seconds` is how long it stays refused."""

    verdict: Verdict
    seconds: float = 0.0
    updates: tuple[SuspectUpdate, ...] = ()


class Suspect(msgspec.Struct):
    """Hold what is known of one request.

    `lives` are the lives of targets that ended under it, `version` that of the table when it last
    changed for others. It is refused from `refused_at` on, if that is set.
    """

    digest: bytes
    customer: str
    route: str
    pool: str
    since: float
    last: float
    lives: list[str] = []
    evidence: str = ""
    version: int = 0
    trials: int = 0
    trial: str = ""
    trial_until: float = 0.0
    refused_at: float | None = None

    @property
    def ends(self) -> int:
        """Return how many lives of targets have ended under it."""
        return len(self.lives)

    @property
    def is_told(self) -> bool:
        """Return whether gateways are told of it."""
        return self.ends >= TOLD_ENDS or self.refused_at is not None
