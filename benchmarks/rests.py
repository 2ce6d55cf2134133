"""Measure the cost of honouring backoff requests and limits of targets at one gateway.

    python -m benchmarks.rests [--targets 640] [--calls 2000]

The output has the microseconds of processor time for each query of a pool in which one in a
hundred targets is in backoff, and for the head of one response with a dozen headers.
"""

import random
import time

import fire

from traystall.core import clock
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.exchange.connection import ResponseHead, TargetConnection
from traystall.passthrough.health.board import TargetBoard
from traystall.passthrough.health.data_centre_monitor import DataCentreMonitor
from traystall.passthrough.health.notices import TargetNoticeMonitor
from traystall.registry.models import TargetReport

_TARGETS_PER_BACKOFF = 100
_BACKOFF_SECONDS = 3000.0


def make_board(targets: int) -> TargetBoard:
    """Return a board with one pool; one in a hundred targets is in backoff."""
    now = clock.monotonic()
    board = TargetBoard(random.Random(1), lambda pool: 10, DataCentreMonitor("here"))
    for number in range(targets):
        address = f"10.0.{number // 250}.{number % 250}:80"
        board.merge(TargetReport(f"t{number}", "p", address, "here", slots=4), now)
        if number % _TARGETS_PER_BACKOFF == 0:
            board.view(f"t{number}").availability.request_backoff(_BACKOFF_SECONDS, "r", now)
    return board


def microseconds(call, calls: int) -> float:
    """Return the mean processor time of one call."""
    began = time.process_time()
    for _ in range(calls):
        call()
    return (time.process_time() - began) / calls * 1e6


def main(targets: int = 640, calls: int = 2000) -> None:
    """Print the cost of each query."""
    board = make_board(targets)
    now = clock.monotonic()
    watch = TargetNoticeMonitor(HeaderNames(), lambda: None)
    head = ResponseHead(200, [(b"X-Header-%d" % n, b"value") for n in range(12)])
    connection, view = TargetConnection(), board.view("t1")
    queries = {
        "usable targets": lambda: board.usable("p", now, now),
        "backoff of the whole pool": lambda: board.backoff_left("p", now),
        "targets that other gateways must avoid": lambda: board.unavailable("p", now),
        "head of a response": lambda: watch.on_response_head(view, connection, head),
    }
    for name, query in queries.items():
        print(f"{name}: {microseconds(query, calls):.1f} us")


if __name__ == "__main__":
    fire.Fire(main)
