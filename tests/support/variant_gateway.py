"""A gateway without some of its mechanisms, or with naive decisions throughout.

The environment variable VARIANT names the mechanisms to disable, comma separated. The daemon
itself is the real one; only decisions are replaced.
"""

import itertools
import os

from traystall.gateway import daemon, stages
from traystall.systems import admission, breakers, deadlines, routing, shares, speeds, windows
from traystall.systems import queues as queues_module
from traystall.systems.retries import FailureKind

NAIVE_RETRIES = 3


def without_shares():
    """Send bulk work to targets without capacity shares."""
    routing.has_room = lambda row, priority, now: not row.availability.is_backing_off(now)


def without_quick_slot():
    """Reserve no slot for interactive work."""
    shares.reserved_targets = lambda targets, has_quick_work, quick_slots: frozenset()


def without_windows():
    """Never exceed the assigned share."""
    windows.on_duration = lambda row, seconds, least, was_limited: None


def without_giving_up():
    """Let a generation run until its deadline, even if it will miss it."""
    deadlines.will_miss_deadline = lambda elapsed, done, left, remaining: False


def without_drop():
    """Let work wait until its deadline, however little time is left."""
    deadlines.minimum_time = lambda times, pipeline, from_stage, now: 0.0
    admission.minimum_time = deadlines.minimum_time
    deadlines.likely_time = deadlines.minimum_time


def without_ratio():
    """Treat all targets as equally fast."""
    speeds.on_duration = lambda row, seconds, typical, now: None
    speeds.on_overdue = lambda row, elapsed, typical, now: None


def without_breaker():
    """Send work to targets however often they fail."""
    breakers.on_failure = lambda breaker, now, random: None


def without_holding():
    """Start work regardless of the queue at the following stage."""
    from traystall.gateway import dispatch

    dispatch.is_held_back = lambda waiter, waiting_next, slots_next: False


def without_foresight():
    """Ignore the queueing times of later stages, and the slowness of a target."""
    queues_module.WaitTimes.record = lambda self, pool, seconds: None
    routing.can_finish = lambda row, waiter, now: True


def without_patience():
    """Wait for each attempt until the deadline."""
    deadlines.patience = lambda times, pipeline, index, deadline, now: max(0.0, deadline - now)


def without_classes():
    """Serve work in order of arrival."""
    from traystall.gateway import dispatch

    queues_module.order = lambda waiters, clock: sorted(waiters, key=lambda w: w.since)
    dispatch.order = queues_module.order


def naive():
    """Use round robin, first in first out, three immediate retries, and no admission control."""
    without_shares()
    without_drop()
    without_giving_up()
    without_ratio()
    without_breaker()
    without_patience()
    without_classes()
    without_foresight()
    without_holding()
    turn = itertools.count()

    def choose(found, waiter, now, random):
        row = found[next(turn) % len(found)] if found else None
        return routing.Choice(row, "round robin", len(found))

    def may_retry(kind, repeatable, attempts, budget, remaining):
        safe = kind is FailureKind.NOT_RUN or repeatable
        return safe and attempts <= NAIVE_RETRIES and remaining > 0

    routing.choose = choose
    stages.retries.may_retry = may_retry


VARIANTS = {
    "naive": naive,
    "shares": without_shares,
    "quick_slot": without_quick_slot,
    "windows": without_windows,
    "giving_up": without_giving_up,
    "drop": without_drop,
    "ratio": without_ratio,
    "breaker": without_breaker,
    "holding": without_holding,
    "foresight": without_foresight,
    "patience": without_patience,
    "classes": without_classes,
}


def main():
    """Apply the variants and run the daemon."""
    for name in filter(None, os.environ.get("VARIANT", "").split(",")):
        VARIANTS[name]()
    daemon.main()


if __name__ == "__main__":
    main()
