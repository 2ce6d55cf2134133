"""Errors that callers get: problem+json documents with stable codes."""

import msgspec

from traystall.tables.requests import RunState


class Problem(msgspec.Struct, frozen=True):
    """Type of an error response."""

    status: int
    code: str
    title: str


UNKNOWN_PIPELINE = Problem(404, "unknown-pipeline", "No pipeline has this name.")
UNKNOWN_CUSTOMER = Problem(403, "unknown-customer", "No customer has this name.")
BAD_REQUEST = Problem(400, "bad-request", "The request can't be understood.")
BAD_JSON = Problem(400, "bad-json", "The body is not a JSON object.")
BAD_DEADLINE = Problem(400, "bad-deadline", "The deadline is not a usable number.")
BAD_KEY = Problem(400, "bad-key", "The idempotency key is not usable.")
TOO_LARGE = Problem(413, "body-too-large", "The body is larger than this gateway accepts.")
KEY_MISMATCH = Problem(422, "key-mismatch", "The key was used with another request.")
KEY_EXPIRED = Problem(410, "key-expired", "The key was used; its outcome is no longer kept.")
NOT_READY = Problem(503, "not-ready", "This gateway has no configuration yet.")
DRAINING = Problem(503, "draining", "This gateway is stopping.")
OUT_OF_PLACE = Problem(503, "out-of-place", "No gateway inside the customer's places answers.")
TRANSIT_REFUSED = Problem(421, "transit-refused", "The customer forbids relaying.")
PLACE_CHANGED = Problem(503, "place-changed", "The customer's places no longer allow this.")
NO_TARGET = Problem(503, "no-target", "No allowed target can run a stage.")
OVER_LIMIT = Problem(429, "over-limit", "The customer is over its limit.")
QUARANTINED = Problem(503, "quarantined", "Targets ended each time while they ran it.")
TOO_LATE = Problem(503, "too-late", "The request can't be answered within its deadline.")
STAGE_FAILED = Problem(502, "stage-failed", "A stage failed.")
LEDGER_UNAVAILABLE = Problem(503, "ledger-unavailable", "Keyed work can't be claimed now.")
CLAIM_HELD = Problem(409, "claim-held", "The key's work is claimed and its outcome unknown.")
RESULT_GONE = Problem(410, "result-gone", "The work ran; its answer is no longer held.")
INTERNAL = Problem(500, "internal", "This gateway failed; its log says why.")


class Refusal(Exception):
    """Ends a request with a problem; `run` is the run state to report, if it is known."""

    def __init__(
        self, problem: Problem, detail: str = "", retry_after: int = 1, run: RunState | None = None
    ):
        self.problem = problem
        self.detail = detail
        self.retry_after = retry_after
        self.run = run
        super().__init__(f"{problem.code}: {detail}")
