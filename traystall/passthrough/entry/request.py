"""One request on its way through a gateway: what it asks, its deadline, what became of it."""

import asyncio

import msgspec

from traystall.core import clock
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.entry.messages import CallerRequest, RequestWriter
from traystall.passthrough.exceptions import Refusal
from traystall.passthrough.placement.choice import Prompt, parse_prompt
from traystall.quarantine.guard import GuardedRun
from traystall.routes.models import KeyedCustomer, Route

# A final answer is given this long before the deadline, in seconds, so that it arrives in time.
ANSWER_MARGIN = 0.03
# Callers of streams wait so many times the aim, and so many seconds at least, for the first event.
_PATIENCE_AIMS = 4.0
_MIN_PATIENCE = 2.0
_PATIENCE_PART = 0.9
# A stage that makes more than this is read where it is made: at 10 MB for a second of waiting
# (the exchange rate of batching) it is worth 0.1 s.
_HEAVY_BYTES = 1_000_000


class MadeStage(msgspec.Struct, frozen=True):
    """Tell how long a stage took, how long it waited for its call and how long that took, seconds.

    What is left of it went to and fro between gateways.
    """

    stage: int
    seconds: float
    waited: float
    called: float

    def to_log(self) -> list[float]:
        """Return its figures, in milliseconds, after its number."""
        return [self.stage, *(round(s * 1000) for s in (self.seconds, self.waited, self.called))]


class PassRequest:
    """Hold one request; times are monotonic seconds."""

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
        # The data centres in which it may run; none means anywhere.
        self.places = places
        self.request_id = caller.get(names.request_id) or ""
        self.writer = RequestWriter(caller, names)
        self.guarded = GuardedRun(
            customer.name if customer else "",
            route.name,
            (caller.get("Host") or "").lower() + caller.target,
            caller.body,
        )
        self.deadline = started + self._seconds()
        self.prompt: Prompt = parse_prompt(
            caller.get(names.prompt_parts), caller.get(names.token_counts)
        )
        self.piece_key = caller.get(names.piece_key) or ""
        self.piece_counts = _parse_counts(caller.get(names.pieces), len(route.stages))
        self.inputs: tuple[str, ...] = ()
        # The data centre where the results of the stages will be read, as far as it is known.
        self.stages_data_centre = ""
        # Where it was placed on an engine; empty for this gateway.
        self.placer_address = ""
        # Whether a cell that is busy should say so at once, because another may be asked.
        self.refuse_at_once = False
        self.input_bytes = sum(
            self.piece_counts[index] * route.stages[index].result_bytes
            for index in route.final_stages()
        )
        # Ends it when its time is over; set while it runs.
        self.time_limit: asyncio.Timeout | None = None
        # What became of it.
        self.attempts = 0
        self.tried: set[str] = set()
        self.may_have_run = False
        self.outcome = "broken"
        self.target = ""
        self.stages_seconds: float | None = None
        self.made_stages: list[MadeStage] = []
        self.first_event: float | None = None
        self.last_event_at: float | None = None
        self.longest_pause = 0.0
        self.events = 0

    @property
    def priority(self) -> int:
        """Return the rank of the request, 0 first: the customer's goes before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def may_go_elsewhere(self) -> bool:
        """Return whether another target may be asked in place of the one that has it now."""
        left = self.route.max_attempts - self.attempts
        return self.route.is_safe_to_retry and left > 0 and not self.guarded.trial

    @property
    def mark(self) -> str:
        """Return what is the same when the caller tries again, as far as it can be told."""
        own = self.prompt.parts[-1].name if self.prompt.parts else ""
        return f"{self.route.name} {own} {self.prompt.tokens} {self.piece_counts}"

    @property
    def has_heavy_results(self) -> bool:
        """Return whether a stage makes so much that it should not cross data centres."""
        made = zip(self.route.stages, self.piece_counts, strict=True)
        return any(count * stage.result_bytes > _HEAVY_BYTES for stage, count in made)

    def stage_seconds_left(self) -> float:
        """Return how long the stages may still take to be of use.

        Past some multiple of the aim callers give a stream up that has not begun.
        """
        patience = max(_MIN_PATIENCE, self.route.aim * _PATIENCE_AIMS) * _PATIENCE_PART
        given_up = self.started + patience - clock.monotonic() - self.prompt.seconds()
        return min(self.remaining(), given_up) if self.route.aim else self.remaining()

    def remaining(self) -> float:
        """Return the seconds left until the final answer must be on its way."""
        return self.deadline - ANSWER_MARGIN - clock.monotonic()

    def wire(self, view, last_event_id: str | None) -> bytes:
        """Return the bytes to send to one target now."""
        names = self.names
        left = max(1, int((self.deadline - clock.monotonic()) * 1000))
        extra = {names.deadline_ms: str(left), names.expected_incarnation: view.identity}
        if self.customer is not None:
            extra[names.customer] = self.customer.name
        if self.inputs:
            extra[names.inputs] = ",".join(self.inputs)
        if last_event_id is not None:
            extra["Last-Event-Id"] = last_event_id
        return self.writer.write(extra)

    def end_now(self) -> bool:
        """End the request as if its time were over; False if its answer has begun."""
        if self.events or self.time_limit is None:
            return False
        self.time_limit.reschedule(asyncio.get_running_loop().time())
        return True

    def note_event(self, now: float) -> None:
        """Record that an event was passed on."""
        self.events += 1
        if self.last_event_at is None:
            self.first_event = now - self.started
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now

    def _seconds(self):
        text = self.caller.get(self.names.deadline_ms)
        if text is None:
            return self.route.timeout
        try:
            return min(self.route.timeout, max(0.0, float(text) / 1000))
        except ValueError:
            raise Refusal(
                400, "bad-deadline", f"{self.names.deadline_ms} is not a number of milliseconds."
            ) from None


def _parse_counts(text, stages):
    """Return how many pieces each stage has; a stage that is not named has none."""
    words = [word.strip() for word in (text or "").split(",")] if text else []
    if any(not word.isdigit() for word in words):
        raise Refusal(400, "bad-pieces", "The numbers of pieces can't be read.")
    counts = [int(word) for word in words[:stages]]
    return counts + [0] * (stages - len(counts))
