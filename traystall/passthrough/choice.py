"""Choose the target of an attempt. Pure: views in, a view out, ties broken by `random`."""

import msgspec

from traystall.passthrough.board import TargetView, rendezvous_order

# What a request already running counts beside the new one, so that empty targets are compared too.
_OWN_WEIGHT = 0.25
# A target in another data centre counts as this much more loaded.
_DISTANCE = 1.3
# Engines read about so many prompt tokens a second, and a running request holds a new one
# up by about so many seconds.
PREFILL_TOKENS_PER_SECOND = 60_000.0
_RUNNING_SECONDS = 0.003
# From the end of the prompt to the first event.
_FIRST_EVENT_SECONDS = 0.05


class Prompt(msgspec.Struct, frozen=True):
    """Describe a prompt: sizes in tokens, and the key of what it shares with others."""

    tokens: int = 0
    shared_tokens: int = 0
    output_tokens: int = 0
    shared_key: str = ""

    def seconds(self) -> float:
        """Return about how long an engine takes to the first token, nothing being kept."""
        return self.tokens / PREFILL_TOKENS_PER_SECOND + _FIRST_EVENT_SECONDS


def parse_prompt(parts: str | None, counts: str | None) -> Prompt:
    """Return what the headers say of a prompt; what can't be read counts as nothing.

    `parts` is ID:TOKENS,...; the last part belongs to the request itself. `counts`
    is the tokens of the prompt and the most that may come out.
    """
    named = [word.strip().partition(":") for word in (parts or "").split(",") if word.strip()]
    sizes = [int(size) if size.isdigit() else 0 for _, _, size in named]
    numbers = [int(word) if word.strip().isdigit() else 0 for word in (counts or "").split(",")]
    tokens = numbers[0] if numbers and numbers[0] else sum(sizes)
    return Prompt(
        tokens=tokens,
        shared_tokens=sum(sizes[:-1]),
        output_tokens=numbers[1] if len(numbers) > 1 else 0,
        shared_key=named[-2][0] if len(named) > 1 else "",
    )


def choose_target(
    candidates: list[TargetView], excluded: set[str], data_centre: str, mean: float, random
) -> TargetView | None:
    """Return the least loaded target that was not tried yet, or None."""
    found = _untried(candidates, excluded)
    if not found:
        return None
    return min(found, key=lambda view: (_load(view, data_centre, mean), random.random()))


def choose_engine(
    candidates: list[TargetView], excluded: set[str], prompt: Prompt, random
) -> TargetView | None:
    """Return the engine on which the first token is likely to come soonest, or None.

    The first engine in the order of the prompt's shared part is taken to hold
    that part already; anywhere else it has to be read anew.
    """
    found = _untried(candidates, excluded)
    if not found:
        return None
    names = [view.report.address for view in found]
    holder = rendezvous_order(prompt.shared_key, names)[0] if prompt.shared_key else ""

    def seconds(view):
        tokens = view.running_tokens
        if view.report.address != holder:
            tokens += prompt.shared_tokens
        return tokens / PREFILL_TOKENS_PER_SECOND + view.running * _RUNNING_SECONDS

    return min(found, key=lambda view: (seconds(view), random.random()))


def _untried(candidates, excluded):
    return [
        view for view in candidates if view.identity not in excluded and view.connections.has_room()
    ]


def _load(view, data_centre, mean):
    ratio = view.mean_seconds / mean if mean and view.mean_seconds else 1.0
    distance = 1.0 if view.report.data_centre == data_centre else _DISTANCE
    return (view.running + _OWN_WEIGHT) * ratio * distance / max(1, view.report.slots)
