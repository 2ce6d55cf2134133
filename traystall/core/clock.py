"""Clocks of the I/O edges; decisions get `now` passed in and never read a clock."""

import time


def monotonic() -> float:
    """Return seconds on a clock that never steps back and counts suspended time.

    Leases and windows are measured on it: a process that was frozen or a
    machine that slept must find its lease over when it wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the epoch, for log time and log records only."""
    return time.time()
