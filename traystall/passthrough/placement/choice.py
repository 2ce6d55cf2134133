"""Choose the target of an attempt by its load; the module does no I/O.

Ties are broken by `random`.
"""

import msgspec

from traystall.passthrough.health.board import TargetView
from traystall.passthrough.placement.engines import PromptPart
from traystall.passthrough.placement.read_rate import DEFAULT_TOKENS_PER_SECOND

# Weight of the new request against those that run already, so that the durations and distances of
# idle targets are compared as well.
_NEW_REQUEST_WEIGHT = 0.25
# Smaller durations are due to the network and the event loop, not to the target. For requests of
# 2 ms such a difference alone kept all work away from a target.
_NOISE_SECONDS = 0.02
# Factor on the load of a target in another data centre.
_REMOTE_FACTOR = 1.3
# Time from the end of the prefill to the first event.
_FIRST_EVENT_SECONDS = 0.05


class Prompt(msgspec.Struct, frozen=True):
    """Describe a prompt: its parts in order, and its size in tokens."""

    parts: tuple[PromptPart, ...] = ()
    tokens: int = 0
    output_tokens: int = 0

    def seconds(self) -> float:
        """Return the approximate time to the first event without any cached part."""
        return self.tokens / DEFAULT_TOKENS_PER_SECOND + _FIRST_EVENT_SECONDS


def parse_prompt(parts: str | None, counts: str | None) -> Prompt:
    """Return the prompt that the headers describe; invalid numbers count as 0.

    `parts` is ID:TOKENS,... and its last part belongs to this request alone. `counts` is the number
    of tokens of the prompt and the largest number of output tokens.
    """
    named = [word.strip().partition(":") for word in (parts or "").split(",") if word.strip()]
    sized = tuple(PromptPart(name, int(size) if size.isdigit() else 0) for name, _, size in named)
    numbers = [int(word) if word.strip().isdigit() else 0 for word in (counts or "").split(",")]
    tokens = numbers[0] if numbers and numbers[0] else sum(part.tokens for part in sized)
    return Prompt(sized, tokens, numbers[1] if len(numbers) > 1 else 0)


def choose_target(
    candidates: list[TargetView],
    excluded: set[str],
    data_centre: str,
    mean: float,
    random,
    now: float,
) -> TargetView | None:
    """Return the least loaded target that is not excluded, or None.

    `mean` is the mean duration at the targets of the pool, in seconds; 0 if it is unknown.
    """
    found = _available(candidates, excluded)
    if not found:
        return None
    return min(found, key=lambda view: (_load(view, data_centre, mean, now), random.random()))


def _available(candidates, excluded):
    return [
        view
        for view in candidates
        if view.identity not in excluded and view.connections.has_free_connection()
    ]


def _load(view, data_centre, mean, now):
    ratio = max(_NOISE_SECONDS, view.expected_seconds(mean, now)) / max(_NOISE_SECONDS, mean)
    distance = 1.0 if view.report.data_centre == data_centre else _REMOTE_FACTOR
    return (view.running + _NEW_REQUEST_WEIGHT) * ratio * distance / max(1, view.report.slots)
