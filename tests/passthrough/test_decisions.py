"""Budgets, batches, prompts and choices: pure decisions of a pass-through gateway."""

import random
from collections import Counter

import pytest

from traystall.passthrough.batching import PieceJob, take_batch
from traystall.passthrough.board import TargetBoard, rendezvous_order
from traystall.passthrough.budget import BudgetRule, RepeatBudget
from traystall.passthrough.choice import Prompt, choose_engine, choose_target, parse_prompt
from traystall.registry.models import RegisteredState, TargetReport
from traystall.routes.models import BatchProfile

RULE = BudgetRule(ratio=0.2, window=10.0, slack=58.0)


@pytest.mark.parametrize("gateways", [1, 3, 9, 85])
@pytest.mark.parametrize("rate", [0, 5, 50])
def test_repeats_of_all_gateways_stay_within_the_rule(gateways, rate):
    budgets = [RepeatBudget(RULE) for _ in range(gateways)]
    repeats, requests = [], []
    for step in range(3000):
        now = step * 0.01
        for budget in budgets:
            if rate and step % max(1, 100 // rate) == 0:
                budget.on_request(now)
                requests.append(now)
            if budget.take(now, gateways):
                repeats.append(now)
    for start in range(21):
        in_window = sum(start <= at < start + RULE.window for at in repeats)
        asked = sum(start <= at < start + RULE.window for at in requests)
        assert in_window <= RULE.ratio * asked + RULE.slack


def job(name, due=1.0, size=0, deadline=9.0):
    return PieceJob(name, name, 0, 0, "k", (), 0, due, deadline, size)


PROFILE = BatchProfile(batch=2, room_bytes=10)


def test_most_pressing_pieces_go_first():
    jobs = [job("c", 3.0), job("a", 1.0), job("b", 2.0)]
    assert [j.call_id for j in take_batch(jobs, PROFILE, 10, 0.0)] == ["a", "b"]


def test_what_is_late_already_waits_behind_what_can_be_in_time():
    jobs = [job("late", 0.0), job("soon", 3.0), job("later", 4.0)]
    assert [j.call_id for j in take_batch(jobs, PROFILE, 10, 2.0)] == ["soon", "later"]


def test_room_and_deadline_bound_a_batch():
    jobs = [job("big", 1.0, 8), job("big too", 2.0, 8), job("small", 3.0, 1), job("over", 0, 0, 0)]
    assert [j.call_id for j in take_batch(jobs, PROFILE, 10, 0.0)] == ["big", "small"]


@pytest.mark.parametrize(
    ("parts", "counts", "prompt"),
    [
        ("a:800,b:410,c:250", "1460,80", Prompt(1460, 1210, 80, "b")),
        ("a:800", "800,80", Prompt(800, 0, 80, "")),
        (None, None, Prompt()),
        ("", "x,y", Prompt()),
        ("a:x,b", "", Prompt(0, 0, 0, "a")),
    ],
)
def test_prompts_are_read_from_headers(parts, counts, prompt):
    assert parse_prompt(parts, counts) == prompt


def board(count=4, pool="p"):
    made = TargetBoard(random.Random(1), lambda pool: 10)
    for i in range(count):
        made.merge(TargetReport(f"t{i}", pool, f"10.0.0.{i}:80", "here", slots=4), 0.0)
    return made


def test_least_loaded_target_is_chosen():
    views = board().pool("p")
    views[0].running, views[1].running, views[3].running = 2, 1, 3
    assert choose_target(views, set(), "here", 0.0, random.Random(1)) is views[2]
    assert choose_target(views, {"t2"}, "here", 0.0, random.Random(1)) is views[1]
    assert choose_target([], set(), "here", 0.0, random.Random(1)) is None


def test_slow_target_gets_less():
    made = board(2)
    fast, slow = made.pool("p")
    fast.mean_seconds, slow.mean_seconds = 0.1, 0.5
    fast.running = 1
    mean = 0.1
    assert choose_target([fast, slow], set(), "here", mean, random.Random(1)) is fast
    fast.running = 3
    assert choose_target([fast, slow], set(), "here", mean, random.Random(1)) is slow


def test_shared_prompts_meet_at_one_engine_unless_it_is_busy():
    views = board().pool("p")
    prompt = Prompt(17000, 13000, 100, "shared")
    first = choose_engine(views, set(), prompt, random.Random(1))
    assert all(choose_engine(views, set(), prompt, random.Random(i)) is first for i in range(9))
    first.running_tokens = 30000
    assert choose_engine(views, set(), prompt, random.Random(1)) is not first


def test_keys_spread_over_engines_and_move_little():
    names = [f"n{i}" for i in range(9)]
    first = {key: rendezvous_order(str(key), names)[0] for key in range(900)}
    assert max(Counter(first.values()).values()) < 150
    fewer = {key: rendezvous_order(str(key), names[1:])[0] for key in range(900)}
    assert all(fewer[key] == first[key] for key in first if first[key] != "n0")


def test_leaving_targets_get_nothing():
    made = board(2)
    made.merge(TargetReport("t0", "p", "x:1", state=RegisteredState.DRAINING, sequence=5), 0.0)
    assert [view.identity for view in made.usable("p", 0.0, 0.0)] == ["t1"]
    made.merge(TargetReport("t0", "p", "x:1", sequence=6), 0.0)
    assert [view.identity for view in made.usable("p", 0.0, 0.0)] == ["t1"]


def test_doubtful_targets_are_used_only_if_all_are():
    made = board(2)
    good, bad = made.pool("p")
    bad.avoid_until = 5.0
    assert made.usable("p", 1.0, 0.0) == [good]
    good.avoid_until = 5.0
    assert made.usable("p", 1.0, 0.0) == [good, bad]
    made.saw("t1", 100.0)
    assert made.usable("p", 100.0, 100.0) == [bad]
