"""Clocks for code that does I/O; decision functions take `now` as a parameter instead."""

import time


def monotonic() -> float:
    """Return seconds on a clock that never goes backwards and includes suspended time.

    Leases and time windows use this clock. A process that was frozen, or a machine
    that was suspended, must see its lease as expired when it resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return seconds since the epoch; only for timestamps in logs and replicated log entries."""
    return time.time()
