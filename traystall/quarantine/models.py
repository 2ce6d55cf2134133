"""Commands about suspects, their results, and the suspect itself.

A suspect is a request under which targets ended. Times are log time in seconds.
"""

from enum import StrEnum

import msgspec

from traystall.departures.models import Departure

# Number of ends from which a suspect is published to all gateways. A single end is most often the
# target's own fault, and publishing it would cost a row for every request that ran there.
PUBLISH_MIN_ENDS = 2
# Number of ends from which a request is sent only as a trial, one at a time.
TRIAL_MIN_ENDS = 3
# Trials without a complete response before a request is refused. Including one arrival at a gateway
# that has not been notified yet, at most three more targets end after the first three.
MAX_TRIALS = 2
# A trial expires after this time if its gateway reports no outcome. Most responses take less.
TRIAL_SECONDS = 15.0


class EndedRun(msgspec.Struct, frozen=True):
    """Report that an incarnation of a target ended while it ran a request.

    `life` names the incarnation, `evidence` says how the end was detected, and `trial` is the id
    of the trial if the request was sent as one. `parts` holds the digests of the shared parts of
    its prompt, unless the target had begun to send events.
    """

    digest: bytes
    customer: str
    route: str
    pool: str
    life: str
    evidence: str
    trial: str = ""
    parts: tuple[bytes, ...] = ()


class ReportRuns(msgspec.Struct, frozen=True, tag="report_runs"):
    """Report outcomes of runs.

    `ended` holds ends of targets, `served` the digests of requests that received a complete
    response, `released` the ids of trials that finished with neither, `served_parts` the digests
    of prompt parts on which a target has written an event.

    `departures` holds targets that leave. They are part of this command since replicas of earlier
    releases skip unknown fields, but can't apply an unknown command.
    """

    ended: tuple[EndedRun, ...]
    served: tuple[bytes, ...]
    released: tuple[str, ...]
    time: float
    served_parts: tuple[bytes, ...] = ()
    departures: tuple[Departure, ...] = ()


class BeginTrial(msgspec.Struct, frozen=True, tag="begin_trial"):
    """Ask whether a request may be sent, as the trial with the id `trial` if one is needed.

    If `parts` is not empty, it holds the digests of the shared parts of the request's prompt, and
    the question is about these instead of the request itself.
    """

    digest: bytes
    trial: str
    time: float
    parts: tuple[bytes, ...] = ()
    customer: str = ""


class LiftSuspect(msgspec.Struct, frozen=True, tag="lift_suspect"):
    """Remove the suspect of a request on behalf of `operator`."""

    digest: bytes
    operator: str
    time: float


class Verdict(StrEnum):
    """Whether a suspect may be sent now."""

    FREE = "free"
    TRIAL = "trial"
    WAIT = "wait"
    REFUSED = "refused"


class SuspectEvent(StrEnum):
    """A change of a suspect that is logged."""

    SUSPECTED = "suspected"
    REFUSED = "refused"
    CLEARED = "cleared"


class SuspectUpdate(msgspec.Struct, frozen=True):
    """A change of a suspect with its reason; `age` is the seconds since the suspect was added."""

    event: SuspectEvent
    digest: bytes
    customer: str
    route: str
    ends: int
    why: str
    age: float


class TrialResult(msgspec.Struct, frozen=True):
    """The result of BeginTrial; `seconds` is the remaining time of a refusal."""

    verdict: Verdict
    seconds: float = 0.0
    updates: tuple[SuspectUpdate, ...] = ()


class Suspect(msgspec.Struct):
    """A request under which targets ended.

    `lives` names the target incarnations that ended under it. `version` is the version of the
    table at the last published change. The request is refused from `refused_at` on, if set.
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
        """Return the number of target incarnations that ended under it."""
        return len(self.lives)

    @property
    def is_published(self) -> bool:
        """Return whether this suspect is published to gateways."""
        return self.ends >= PUBLISH_MIN_ENDS or self.refused_at is not None
