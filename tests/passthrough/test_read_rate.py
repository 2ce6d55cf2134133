"""The prefill rate of engines is learned from prompts that an engine reads alone."""

import pytest

from traystall.passthrough.placement.engines import (
    EngineCandidate,
    EnginePlacer,
    PlacementQuery,
    PromptPart,
)
from traystall.passthrough.placement.read_rate import DEFAULT_TOKENS_PER_SECOND, PrefillRate

FIRST_EVENT = 0.05


def measure(rate, tokens, tokens_per_second, count=80, beside=()):
    for number in range(count):
        began = number * 10.0
        rate.on_placed(f"r{number}", tokens, set(beside), began)
        rate.on_first_event(f"r{number}", began + tokens / tokens_per_second + FIRST_EVENT)
    return rate.tokens_per_second


@pytest.mark.parametrize("true_rate", [25_000.0, 38_400.0, 61_200.0, 150_000.0])
def test_rate_converges_to_the_actual_rate(true_rate):
    assert measure(PrefillRate(), 9000, true_rate) == pytest.approx(true_rate, rel=0.02)


def test_short_and_concurrent_prompts_give_no_sample():
    assert measure(PrefillRate(), 500, 20_000.0) == DEFAULT_TOKENS_PER_SECOND
    assert measure(PrefillRate(), 9000, 20_000.0, beside=["other"]) == DEFAULT_TOKENS_PER_SECOND


def test_prompt_joined_by_another_gives_no_sample():
    rate = PrefillRate()
    rate.on_placed("a", 9000, set(), 0.0)
    rate.on_placed("b", 9000, {"a"}, 0.1)
    rate.on_first_event("a", 5.0)
    rate.on_first_event("b", 5.0)
    assert rate.tokens_per_second == DEFAULT_TOKENS_PER_SECOND


def test_ended_request_gives_no_sample_and_samples_are_bounded():
    rate = PrefillRate()
    rate.on_placed("a", 9000, set(), 0.0)
    rate.discard("a")
    rate.on_first_event("a", 100.0)
    assert rate.tokens_per_second == DEFAULT_TOKENS_PER_SECOND
    assert measure(rate, 9000, 1.0) >= 9_999
    assert measure(PrefillRate(), 9000, 1e9) <= 200_001


@pytest.mark.parametrize(("tokens_per_second", "waits"), [(200_000.0, True), (20_000.0, False)])
def test_prompt_waits_for_a_local_engine_only_while_a_transfer_costs_more(tokens_per_second, waits):
    """A transfer of 10 MB costs 0.12 s, prefill of 9,000 tokens costs 0.05 or 0.45 s."""
    placer = EnginePlacer()
    placer.prefill_rate.tokens_per_second = tokens_per_second
    local, remote = EngineCandidate("e-1", "here", 10**6), EngineCandidate("e-2", "there", 10**6)
    placer.place(PlacementQuery("a", (PromptPart("x", 9000),), 9000), [local], 0.0)
    query = PlacementQuery("b", (PromptPart("y", 90),), 90, "here", 10_000_000)
    assert (placer.best_engine(query, [local, remote], 0.0) == "e-1") == waits
