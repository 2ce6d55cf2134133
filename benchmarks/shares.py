"""Measure the cost of capacity shares of crowded pools: time, memory, and message size.

Run with: python -m benchmarks.shares
A gateway that batches decides once for each request that is ready to start; each customer has a
row for each kind of request.
"""

import time
import tracemalloc

from traystall.admission.demand import DemandTracker
from traystall.rpc.gen.wire.ttypes import StageReply, StageRequest
from traystall.rpc.messages import encode

_PIECES = {"portal": 1, "meter": 6, "billing": 10}
_RATES = {"meter": 500.0}
_WAITS = {"portal": 0.12, "meter": 0.48, "billing": 0.21}
_PERIOD_SECONDS = 10.0


def request_all(customers: int) -> DemandTracker:
    """Return the demand after each customer has requested capacity once in 10 s."""
    demand = DemandTracker()
    for number in range(customers):
        now = number * _PERIOD_SECONDS / customers
        demand.requested("kind", f"customer-{number}", _PIECES, now)
        demand.update_shares(_RATES, now)
        demand.may_start("kind", f"customer-{number}")
    return demand


def decision_microseconds(customers: int) -> float:
    """Return the microseconds of one decision."""
    began = time.perf_counter()
    request_all(customers)
    return (time.perf_counter() - began) / customers * 1e6


def bytes_per_row(customers: int) -> float:
    """Return the bytes of a row."""
    tracemalloc.start()
    held = request_all(customers)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / max(1, held.customer_count())


def message_growth() -> tuple[int, int]:
    """Return the added bytes in a request and in a reply for the queues of three pools."""
    request = {"pool": "portal", "request_id": "r", "stage": 0, "pieces": [0]}
    plain = len(encode(StageRequest(**request)))
    extended = len(encode(StageRequest(**request, customer="c" * 12, waits=_WAITS, waits_age=0.2)))
    reply = len(encode(StageReply(handles=["h"], reasons=[""])))
    extended_reply = len(encode(StageReply(handles=["h"], reasons=[""], waits=_WAITS, waited=0.1)))
    return extended - plain, extended_reply - reply


def main() -> None:
    """Print a row for each number of customers, then the bytes."""
    for customers in (16, 1000, 16_000):
        size, micros = bytes_per_row(customers), decision_microseconds(customers)
        print(f"{customers:6} customers: {size:6.0f} bytes a row, {micros:5.0f} us a decision")
    request, reply = message_growth()
    print(f"added to a request: {request} bytes, to a reply: {reply} bytes")


if __name__ == "__main__":
    main()
