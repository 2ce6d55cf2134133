"""How fast engines read is learned from prompts that are read alone."""

import pytest

from traystall.passthrough.placement.engines import (
    EngineChoice,
    EnginePlacer,
    Placement,
    PromptPart,
)
from traystall.passthrough.placement.read_rate import USUAL_TOKENS_PER_SECOND, ReadRate

FIRST_EVENT = 0.05


def read(rate, tokens, tokens_per_second, count=80, beside=()):
    for number in range(count):
        began = number * 10.0
        rate.began(f"r{number}", tokens, set(beside), began)
        rate.came(f"r{number}", began + tokens / tokens_per_second + FIRST_EVENT)
    return rate.tokens_per_second


@pytest.mark.parametrize("true_rate", [25_000.0, 38_400.0, 61_200.0, 150_000.0])
def test_rate_comes_near_what_engines_do(true_rate):
    assert read(ReadRate(), 9000, true_rate) == pytest.approx(true_rate, rel=0.02)


def test_short_prompts_and_prompts_beside_others_teach_nothing():
    assert read(ReadRate(), 500, 20_000.0) == USUAL_TOKENS_PER_SECOND
    assert read(ReadRate(), 9000, 20_000.0, beside=["other"]) == USUAL_TOKENS_PER_SECOND


def test_a_prompt_that_another_joins_teaches_nothing():
    rate = ReadRate()
    rate.began("a", 9000, set(), 0.0)
    rate.began("b", 9000, {"a"}, 0.1)
    rate.came("a", 5.0)
    rate.came("b", 5.0)
    assert rate.tokens_per_second == USUAL_TOKENS_PER_SECOND


def test_what_ended_without_an_event_teaches_nothing_and_nothing_learns_without_bounds():
    rate = ReadRate()
    rate.began("a", 9000, set(), 0.0)
    rate.forget("a")
    rate.came("a", 100.0)
    assert rate.tokens_per_second == USUAL_TOKENS_PER_SECOND
    assert read(rate, 9000, 1.0) >= 9_999
    assert read(ReadRate(), 9000, 1e9) <= 200_001


@pytest.mark.parametrize(("tokens_per_second", "waits"), [(200_000.0, True), (20_000.0, False)])
def test_a_prompt_waits_for_its_home_only_as_long_as_that_is_worth_it(tokens_per_second, waits):
    """Moving 10 MB elsewhere counts as 0.12 s, reading 9,000 tokens as 0.05 or 0.45 s."""
    placer = EnginePlacer()
    placer.read_rate.tokens_per_second = tokens_per_second
    home, away = EngineChoice("e-1", "here", 10**6), EngineChoice("e-2", "there", 10**6)
    placer.place(Placement("a", (PromptPart("x", 9000),), 9000), [home], 0.0)
    next_one = Placement("b", (PromptPart("y", 90),), 90, "here", 10_000_000)
    assert (placer.likely(next_one, [home, away], 0.0) == "e-1") == waits
