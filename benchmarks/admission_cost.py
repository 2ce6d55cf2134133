"""Time one admission decision by the number of active requests.

Run with: python -m benchmarks.admission_cost
A request that waits for admission asks again every 0.05 s, so in a burst a batcher
makes hundreds of decisions a second.
"""

import time

from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.routes.models import Route, Split, StagePlan

_DECISIONS = 200
_STAGES = (StagePlan("a"), StagePlan("b", (0,)), StagePlan("c", (1,)))
_ROUTE = Route("r", "h", "/", (Split("engine"),), aim=1.5, stages=_STAGES)
_COUNTS = (1, 8, 16)


def _loads(rate):
    return {pool: PoolLoad(lambda priority, due: 40, rate, 0.2) for pool in "abc"}


def measure(active: int) -> float:
    """Return the microseconds of one decision with `active` other active requests."""
    book = AdmissionController()
    for number in range(active):
        arrival = AdmissionRequest(f"r{number}", _ROUTE, _COUNTS, 1, 1e9, 6.0, f"m{number}")
        book.admit(arrival, _loads(1e9), number / max(1, active))
    arrival = AdmissionRequest("last", _ROUTE, _COUNTS, 1, -1.0, 6.0, "last")
    loads = _loads(10.0)
    began = time.perf_counter()
    for _ in range(_DECISIONS):
        book.admit(arrival, loads, 1.0)
    return (time.perf_counter() - began) / _DECISIONS * 1e6


def main() -> None:
    """Print a row for each number of active requests."""
    for active in (10, 100, 300, 1000):
        print(f"{active:5} active: {measure(active):7.0f} us a decision")


if __name__ == "__main__":
    main()
