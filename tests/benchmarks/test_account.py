"""The account of a day combines its report with calls and refusals from the logs."""

import json

import msgspec

from benchmarks.account import account, calls_by_pool, decisions, quantile, refusals, stage_times
from tests.benchmarks.test_compare import BODY


def line(message, **fields):
    record = {"message": message, **fields}
    return f"   0.7006 edge-hall-a-1 {json.dumps(record)}\n"


def call(pieces, waiting, target="t-1"):
    return line("pieces", pool="p", target=target, pieces=pieces, waiting=waiting, seconds=0.2)


LOG = [
    "built in 26.1 s\n",
    "not JSON {at all\n",
    call(7, 0),
    call(3, 7, "t-2"),
    call(2, 6),
    line("passed", route="r", stages=[[0, 300, 100, 190], [1, 500, 20, 400]]),
    line("passed", route="r", stages=[[0, 400, 10, 380]]),
    line("passed", route="plain", stages=[]),
    line("not-admitted", route="r", came_back=False),
    line("not-admitted", route="r", came_back=True),
    line("not-admitted", route="r", came_back=True),
]


def test_lines_without_a_record_are_skipped():
    assert len(list(decisions(LOG))) == 9


def test_calls_are_summed_by_pool():
    calls_of_pool = calls_by_pool(list(decisions(LOG)))["p"]
    assert (calls_of_pool.calls, calls_of_pool.pieces, calls_of_pool.largest) == (3, 12, 7)
    assert calls_of_pool.targets == {"t-1", "t-2"}
    assert calls_of_pool.partial_with_full_queue() == 1


def test_refusals_separate_first_attempts_from_retries():
    assert refusals(list(decisions(LOG))) == {("r", False): 1, ("r", True): 2}


def test_stage_times_have_queue_call_and_hand_over():
    times = stage_times(list(decisions(LOG)))
    assert times.keys() == {("r", 0), ("r", 1)}
    assert times["r", 0].seconds == [300, 400]
    assert times["r", 0].handed_over == [10, 10]
    assert quantile(times["r", 0].waited, 0.9) == 100
    assert quantile(times["r", 0].waited, 0.1) == 10


def test_the_whole_account_is_printed(tmp_path, capsys):
    (tmp_path / "r.json").write_bytes(msgspec.json.encode(BODY))
    (tmp_path / "log.txt").write_text("".join(LOG))
    account(tmp_path / "r.json", tmp_path / "log.txt")
    printed = capsys.readouterr().out
    assert "| whole day | 0.080 |" in printed
    assert "| p | 2 | 3 | 4.0 | 7 | 1 | 1 |" in printed
    assert "| r 1 | 1 | 500, 500, 500 | 20, 20, 20 | 400, 400, 400 | 80, 80, 80 |" in printed
    assert "| r | 1 | 2 |" in printed
