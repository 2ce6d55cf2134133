"""Following a request through the log lines of several instances."""

import json

import pytest

from traystall.cli.client import BadUsage, Refused
from traystall.cli.main import Traystall
from traystall.cli.trace import read_line, trace


def line(time, instance, message, prefix="", **fields):
    return prefix + json.dumps(
        {"time": time, "level": "INFO", "instance": instance, "message": message} | fields
    )


LINES = [
    line("03", "g-1", "passed", request="r-1", outcome="refused-busy", seconds=0.2),
    line("02", "g-2", "not-admitted", prefix="  12.5 g-2 ", request="r-1", wait=0.4),
    line("02", "g-1", "pieces-failed", target="t-1", why="no answer in time"),
    line("02", "g-9", "pieces-failed", target="t-2"),
    line("09", "g-1", "draining"),
    line("01", "g-1", "passed", request="r-2", outcome="complete"),
    "what happened",
    "{not json",
    '{"time": "02"}',
    "",
]


def test_steps_are_in_order_with_concurrent_events_of_their_instances():
    found = trace("r-1", filter(None, map(read_line, LINES)))
    assert found.outcome == "refused-busy"
    assert [step.message for step in found.steps] == ["not-admitted", "passed"]
    assert [(other.instance, other.message) for other in found.context_lines] == [
        ("g-1", "pieces-failed")
    ]
    assert found.steps[0].text() == "02 g-2 not-admitted wait=0.4"


def test_request_without_a_final_log_line_has_an_unknown_outcome():
    found = trace("r-1", filter(None, map(read_line, LINES[1:])))
    assert found.outcome == "unknown"


def test_command_reads_several_files(tmp_path, capsys):
    for number, text in enumerate(LINES):
        (tmp_path / str(number)).write_text(text + "\n")
    files = ",".join(str(tmp_path / str(number)) for number in range(len(LINES)))
    Traystall().trace("r-1", files)
    printed = capsys.readouterr().out
    assert "outcome: refused-busy" in printed
    assert "not-admitted" in printed and "t-2" not in printed


def test_command_reports_unknown_requests_and_unreadable_files(tmp_path):
    (tmp_path / "log").write_text(LINES[0])
    with pytest.raises(Refused, match="r-9"):
        Traystall().trace("r-9", str(tmp_path / "log"))
    with pytest.raises(BadUsage, match="can't be read"):
        Traystall().trace("r-1", str(tmp_path / "none"))
