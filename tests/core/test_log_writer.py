"""Log lines are written whole and in order, use bounded memory and never block the daemon."""

import json
import logging
import os
import subprocess
import sys
import threading

from pythonjsonlogger.json import JsonFormatter

from traystall.core.log_writer import (
    DROPPED_LINES_EVENT,
    MAX_PENDING_BYTES,
    BackgroundHandler,
    LogRateLimiter,
)


def test_each_message_has_its_own_rate_limit():
    budget = LogRateLimiter(lines_per_second=2)
    assert [budget.allows("often", 0.0) for _ in range(4)] == [True, True, False, False]
    assert budget.allows("seldom", 0.5)
    assert budget.allows("often", 1.0), "a new second begins"
    assert budget.take_dropped_counts() == {"often": 2}
    assert budget.take_dropped_counts() == {}


def handler_on(descriptor, budget=None):
    handler = BackgroundHandler(descriptor, budget)
    handler.setFormatter(JsonFormatter("%(message)s"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return handler, logger


def read_all(descriptor):
    with open(descriptor, "rb") as file:
        return [json.loads(line) for line in file.read().splitlines()]


def test_lines_are_written_whole_and_in_order():
    reader, writer = os.pipe()
    handler, logger = handler_on(writer)
    found = []
    thread = threading.Thread(target=lambda: found.extend(read_all(reader)))
    thread.start()
    for number in range(400):
        logger.info("line", extra={"number": number})
    handler.close()
    os.close(writer)
    thread.join()
    assert [line["number"] for line in found] == list(range(400))


def test_unread_pipe_does_not_block_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    handler, logger = handler_on(writer, LogRateLimiter(10**9))
    text = "x" * 1000
    lines = 4 * MAX_PENDING_BYTES // len(text)
    for number in range(lines):
        logger.info("line", extra={"number": number, "text": text})
    found = []
    thread = threading.Thread(target=lambda: found.extend(read_all(reader)))
    thread.start()
    while handler._pending:
        handler.flush()
    logger.info("last")
    while not handler._all_written.is_set():
        handler.flush()
    os.close(writer)
    thread.join()
    dropped = sum(
        line["counts"]["line"] for line in found if line["message"] == DROPPED_LINES_EVENT
    )
    written = [line["number"] for line in found if line["message"] == "line"]
    assert dropped > 0
    assert dropped + len(written) == lines
    assert written == sorted(written)
    assert found[-1]["message"] == "last"


_ENDLESS = """
import logging
from traystall.core import logs
logs.configure("info", "i", "d")
for number in range(3000):
    logs.decision(f"m{number % 20}", text="x" * 200)
open(PATH, "w").write("done")
"""


def test_daemon_with_a_full_standard_error_pipe_runs_to_its_end(tmp_path):
    path = tmp_path / "done"
    process = subprocess.Popen(
        [sys.executable, "-c", _ENDLESS.replace("PATH", repr(str(path)))], stderr=subprocess.PIPE
    )
    try:
        assert process.wait(60) == 0
        assert path.read_text() == "done"
    finally:
        process.stderr.close()


def test_normal_exit_loses_no_lines():
    code = "from traystall.core import logs; logs.configure('info', 'i', 'd'); logs.decision('end')"
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, timeout=60, check=True
    )
    assert json.loads(found.stderr)["message"] == "end"
