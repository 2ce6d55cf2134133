"""The typed call and reply that all adapters share, and their header names."""

from collections.abc import Callable, Mapping

import msgspec

from traystall.tables.entities import PriorityClass, Stage, Target

ATTEMPT_HEADER = "X-Attempt-Id"
RUN_HEADER = "X-Run-State"
STATE_HEADER = "X-Target-State"
INCARNATION_HEADER = "X-Target-Incarnation"
PRIORITY_HEADER = "X-Priority"
KEY_HEADER = "Idempotency-Key"


class Call(msgspec.Struct):
    """One attempt at one target; `budget` is the time limit in seconds."""

    target: Target
    stage: Stage
    attempt_id: str
    body: dict
    results: dict
    priority: PriorityClass
    budget: float
    repeatable: bool
    key: str = ""
    # Called right before the first byte may be sent.
    on_sending: Callable[[], None] = lambda: None
    # Called with the status and headers of any response.
    on_head: Callable[[int, Mapping], None] = lambda status, headers: None
    # Called with the index and text of each generated token.
    on_token: Callable[[int, str], None] = lambda index, text: None
    # Tokens that earlier attempts generated; the attempt resumes after them.
    tokens: list[str] = []


class Reply(msgspec.Struct):
    """Complete result of a stage."""

    result: dict
    tokens: int = 0


PRIORITY_LEVEL = {
    PriorityClass.QUICK: 0,
    PriorityClass.STANDARD: 1,
    PriorityClass.LONG: 2,
}
