"""Estimate the throughput of targets. Pure; monotonic seconds, rates in pieces per second."""

from traystall.systems.permits import FIRST_LENDER_SHARE


def rate_of_workers(workers, profile, now) -> float:
    """Return the pieces per second that targets run with full calls, within their result memory.

    `workers` holds pairs of a worker and its rate limit in calls per second, None for no limit.
    """
    seconds = max(0.001, profile.seconds(profile.batch))
    called = sum(
        profile.batch * _calls_per_second(worker, limit, profile, seconds)
        for worker, limit in workers
    )
    held = sum(worker.book.rate(profile.room_bytes, seconds, now) for worker, _ in workers)
    return min(called, held)


def _calls_per_second(worker, limit, profile, seconds) -> float:
    """Return the full calls per second that a target answers, given its slots and rate limit."""
    unlimited = profile.slots / seconds / worker.ratio
    return unlimited if limit is None else min(unlimited, limit * FIRST_LENDER_SHARE)
