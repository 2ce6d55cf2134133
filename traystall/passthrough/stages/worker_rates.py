"""How fast the targets of a pool make pieces. Pure; monotonic seconds, rates pieces a second."""

from traystall.systems.permits import FIRST_PART


def rate_of_workers(workers, profile, now) -> float:
    """Return how many pieces a second some targets make with full calls, as far as room lasts.

    `workers` are pairs of a worker and the calls a second that it takes, None for any number.
    """
    seconds = max(0.001, profile.seconds(profile.batch))
    called = sum(
        profile.batch * _calls(worker, taken, profile, seconds) for worker, taken in workers
    )
    held = sum(worker.book.rate(profile.room_bytes, seconds, now) for worker, _ in workers)
    return min(called, held)


def _calls(worker, taken, profile, seconds) -> float:
    """Return how many full calls a second a target answers, by its slots and its limit."""
    calls = profile.slots / seconds / worker.ratio
    return calls if taken is None else min(calls, taken * FIRST_PART)
