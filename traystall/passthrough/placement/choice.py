"""Choose the target of an attempt. Pure: views in, a view out, ties broken by `random`."""

import msgspec

from traystall.passthrough.health.board import TargetView
from traystall.passthrough.placement.engines import PromptPart
from traystall.passthrough.placement.read_rate import USUAL_TOKENS_PER_SECOND

# What a request already running counts beside the new one, so that empty targets are compared too.
_OWN_WEIGHT = 0.25
# Below this, in seconds, differences are the network's and the event loop's, not the target's: with
# requests of 2 ms such a one alone kept a target from all work.
_NOISE_SECONDS = 0.02
# A target in another data centre counts as this much more loaded.
_DISTANCE = 1.3
# From the end of the prompt to the first event.
_FIRST_EVENT_SECONDS = 0.05


class Prompt(msgspec.Struct, frozen=True):
    """Describe a prompt: its parts in order, and its size in tokens."""

    parts: tuple[PromptPart, ...] = ()
    tokens: int = 0
    output_tokens: int = 0

    def seconds(self) -> float:
        """Return about how long an engine takes to the first event, nothing being kept."""
        return self.tokens / USUAL_TOKENS_PER_SECOND + _FIRST_EVENT_SECONDS


def parse_prompt(parts: str | None, counts: str | None) -> Prompt:
    """Return what the headers say of a prompt; what can't be read counts as nothing.

    `parts` is ID:TOKENS,...; the last part belongs to the request itself. `counts`
    is the tokens of the prompt and the most that may come out.
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
    """Return the least loaded target that was not tried yet, or None.

    `mean` is how long targets of the pool take, in seconds; 0 if nothing is known.
    """
    found = _untried(candidates, excluded)
    if not found:
        return None
    return min(found, key=lambda view: (_load(view, data_centre, mean, now), random.random()))


def _untried(candidates, excluded):
    return [
        view
        for view in candidates
        if view.identity not in excluded and view.connections.has_free_connection()
    ]


def _load(view, data_centre, mean, now):
    ratio = max(_NOISE_SECONDS, view.expected_seconds(mean, now)) / max(_NOISE_SECONDS, mean)
    distance = 1.0 if view.report.data_centre == data_centre else _DISTANCE
    return (view.running + _OWN_WEIGHT) * ratio * distance / max(1, view.report.slots)
