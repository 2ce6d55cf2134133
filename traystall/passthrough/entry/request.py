"""The state of one request at a pass-through gateway: parameters, deadline and outcome."""

import asyncio

import msgspec

from traystall.core import clock
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.entry.messages import CallerRequest, RequestWriter
from traystall.passthrough.exceptions import Refusal
from traystall.passthrough.placement.choice import Prompt, parse_prompt
from traystall.quarantine.guard import GuardedRun
from traystall.routes.models import KeyedCustomer, Route

# Header with which a stream is continued after an event.
LAST_EVENT_ID = "Last-Event-Id"
# The final response is sent this long before the deadline, so that it arrives in time.
_RESPONSE_MARGIN_SECONDS = 0.03
# Callers of a stream wait this many times the route's aim for the first event, and at least this
# many seconds. The stages may use this ratio of that time.
_PATIENCE_AIM_RATIO = 4.0
_MIN_PATIENCE_SECONDS = 2.0
_STAGES_PATIENCE_RATIO = 0.9
# A stream is begun only if this multiple of the usual response time is left, because a response
# that the deadline cuts off is worse for the caller than a refusal. At most this ratio of the
# request's whole time is kept for it. Otherwise slow responses could refuse all later requests,
# whose responses would be the only evidence that they are fast again.
_RESPONSE_TIME_FACTOR = 1.5
_MAX_RESPONSE_TIME_RATIO = 0.4
# Larger results are read in the data centre where they are produced. Batching trades 10 MB of
# transfer for one second of waiting, so a result of this size is worth 0.1 s.
_LARGE_RESULT_BYTES = 1_000_000


class CompletedStage(msgspec.Struct, frozen=True):
    """Durations of a completed stage in seconds: in total, waiting for its call, and in the call.

    The rest of the total is transfer time between gateways.
    """

    stage: int
    seconds: float
    waited: float
    called: float

    def to_log(self) -> list[float]:
        """Return the number of the stage, followed by the durations in milliseconds."""
        return [self.stage, *(round(s * 1000) for s in (self.seconds, self.waited, self.called))]


class PassRequest:
    """State of one request; times are monotonic seconds."""

    def __init__(
        self,
        caller: CallerRequest,
        route: Route,
        pool: str,
        customer: KeyedCustomer | None,
        names: HeaderNames,
        started: float,
        places: tuple[str, ...] = (),
    ):
        self.caller = caller
        self.route = route
        self.pool = pool
        self.customer = customer
        self.names = names
        self.started = started
        # Data centres in which the request may run; empty means anywhere.
        self.places = places
        self.request_id = caller.get(names.request_id) or ""
        # The request that brought the first event of the stream that this one continues, and the
        # last event that the caller has.
        self.resumes = caller.get(names.resumes) or ""
        self.last_event_id = caller.get(LAST_EVENT_ID)
        self.writer = RequestWriter(caller, names)
        self.deadline = started + allowed_seconds(
            caller.get(names.deadline_ms), route, names.deadline_ms
        )
        self.prompt: Prompt = parse_prompt(
            caller.get(names.prompt_parts), caller.get(names.token_counts)
        )
        self.guarded = GuardedRun(
            customer.name if customer else "",
            route.name,
            (caller.get("Host") or "").lower() + caller.target,
            caller.body,
            tuple(part.name for part in self.prompt.parts[:-1]),
        )
        self.piece_key = caller.get(names.piece_key) or ""
        self.piece_counts = _parse_counts(caller.get(names.pieces), len(route.stages))
        self.inputs: tuple[str, ...] = ()
        # Data centre where the results of the stages will be read, if it is known.
        self.stages_data_centre = ""
        # Address of the gateway that placed the request on an engine; empty for this gateway.
        self.placer_address = ""
        # Whether a busy cell should refuse at once, because another cell can be tried.
        self.refuse_at_once = False
        self.input_bytes = sum(
            self.piece_counts[index] * route.stages[index].result_bytes
            for index in route.final_stages()
        )
        # Timeout of the request; set while it runs.
        self.time_limit: asyncio.Timeout | None = None
        # Progress and outcome.
        self.attempts = 0
        self.tried: set[str] = set()
        # Targets that do not respond, while the request looks for one to go on at.
        self.silent_targets: set[str] = set()
        # Software version of the targets that may continue the stream; None before its first event.
        self.version: str | None = None
        # Names the stream to other gateways; empty before its first event.
        self.stream_digest = b""
        self.may_have_run = False
        self.outcome = "broken"
        self.target = ""
        self.stages_seconds: float | None = None
        self.completed_stages: list[CompletedStage] = []
        self.first_event: float | None = None
        self.last_event_at: float | None = None
        self.longest_pause = 0.0
        self.events = 0

    @property
    def priority(self) -> int:
        """Return the priority, 0 is highest; the customer's overrides the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def may_try_another_target(self) -> bool:
        """Return whether the request may be retried at another target."""
        left = self.route.max_attempts - self.attempts
        return self.route.is_safe_to_retry and left > 0 and not self.guarded.trial

    @property
    def continues_stream(self) -> bool:
        """Return whether the caller has events of the stream from an earlier request."""
        return self.route.resumable and (bool(self.resumes) or self.last_event_id is not None)

    @property
    def mark(self) -> str:
        """Return a key that a caller's retry of the same request most likely shares."""
        own = self.prompt.parts[-1].name if self.prompt.parts else ""
        return f"{self.route.name} {own} {self.prompt.tokens} {self.piece_counts}"

    @property
    def has_large_results(self) -> bool:
        """Return whether the results of a stage are too large to move between data centres."""
        stages = zip(self.route.stages, self.piece_counts, strict=True)
        return any(count * stage.result_bytes > _LARGE_RESULT_BYTES for stage, count in stages)

    def stage_seconds_left(self, response_seconds: float) -> float:
        """Return the seconds that the stages may still take before their results are useless.

        Callers give up a stream that has not started after a multiple of the route's aim. After the
        stages, the response usually takes `response_seconds`.
        """
        remaining = self.remaining() - self.seconds_for_response(response_seconds)
        patience = (
            max(_MIN_PATIENCE_SECONDS, self.route.aim * _PATIENCE_AIM_RATIO)
            * _STAGES_PATIENCE_RATIO
        )
        patience_left = self.started + patience - clock.monotonic() - self.prompt.seconds()
        return min(remaining, patience_left) if self.route.aim else remaining

    def seconds_for_response(self, response_seconds: float) -> float:
        """Return how long before the deadline a response must begin that usually takes so long."""
        longest = (self.deadline - self.started) * _MAX_RESPONSE_TIME_RATIO
        return min(response_seconds * _RESPONSE_TIME_FACTOR, longest)

    def remaining(self) -> float:
        """Return the seconds left until the final response must be sent."""
        return self.deadline - _RESPONSE_MARGIN_SECONDS - clock.monotonic()

    def to_bytes(self, view, last_event_id: str | None) -> bytes:
        """Return the encoded request for one target, with the deadline that is left now."""
        names = self.names
        left = max(1, int((self.deadline - clock.monotonic()) * 1000))
        extra = {names.deadline_ms: str(left), names.expected_incarnation: view.identity}
        if self.customer is not None:
            extra[names.customer] = self.customer.name
        if self.inputs:
            extra[names.inputs] = ",".join(self.inputs)
        if last_event_id is not None:
            extra[LAST_EVENT_ID] = last_event_id
        return self.writer.write(extra)

    def time_out_now(self) -> bool:
        """Make the request time out now; return False if its response has started."""
        if self.events or self.time_limit is None:
            return False
        self.time_limit.reschedule(asyncio.get_running_loop().time())
        return True

    def record_event(self, now: float) -> None:
        """Record that an event was forwarded to the caller."""
        self.events += 1
        if self.last_event_at is None:
            self.first_event = now - self.started
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now


def allowed_seconds(text: str | None, route: Route, name: str) -> float:
    """Return how long a request may take whose header `name` has the value `text`, if any."""
    if not text:
        return route.timeout
    try:
        return min(route.timeout, max(0.0, float(text) / 1000))
    except ValueError:
        raise Refusal(400, "bad-deadline", f"{name} is not a number of milliseconds.") from None


def _parse_counts(text, stages):
    """Return the number of pieces of each stage; 0 for stages that `text` does not list."""
    words = [word.strip() for word in (text or "").split(",")] if text else []
    if any(not word.isdigit() for word in words):
        raise Refusal(400, "bad-pieces", "The numbers of pieces can't be read.")
    counts = [int(word) for word in words[:stages]]
    return counts + [0] * (stages - len(counts))
