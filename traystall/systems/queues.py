"""Order the work that waits at a gateway for a slot.

Work is sorted by priority class. Within a class, customers are served by
weighted fair queueing; within a customer, the earliest deadline is first.
"""

import msgspec

from traystall.tables.entities import CLASS_RANK, Customer, PriorityClass, Stage

WAIT_WEIGHT = 0.15
# Work is held back while this many requests per slot wait for the next stage.
MAX_WAITING_PER_NEXT_SLOT = 2


class Waiter(msgspec.Struct, eq=False):
    """A waiting attempt; `latest_start` and `deadline` are monotonic seconds."""

    request_id: str
    customer: Customer
    stage: Stage
    priority: PriorityClass
    deadline: float
    latest_start: float
    excluded: frozenset[str]
    since: float
    # Median seconds of the stage, 0 if unknown, and its latest end that leaves the following
    # stages their time.
    typical: float = 0.0
    must_end_by: float = float("inf")
    # Pool of the next stage, empty for the last one.
    next_pool: str = ""
    grant: object = None
    # Whether it is one of the limited attempts sent after its target's backoff period.
    is_recovery_attempt: bool = False


class WaitTimes:
    """Running mean of the recent waiting time for each pool, in seconds."""

    def __init__(self):
        self._means: dict[str, float] = {}

    def record(self, pool: str, seconds: float) -> None:
        """Update the pool's running mean with one wait, whether it ended with a slot or not."""
        mean = self._means.get(pool, 0.0)
        self._means[pool] = mean + WAIT_WEIGHT * (seconds - mean)

    def of(self, pool: str) -> float:
        """Return the running mean of a pool."""
        return self._means.get(pool, 0.0)


class FairClock:
    """Virtual service time of each customer for weighted fair queueing."""

    def __init__(self):
        self._served: dict[str, float] = {}
        self._floor = 0.0

    def served(self, customer: str) -> float:
        """Return a customer's service; a new customer starts at the floor, not at zero."""
        return max(self._served.get(customer, 0.0), self._floor)

    def charge(self, customer: Customer) -> None:
        """Add one started request to the customer's service, divided by its share."""
        before = self.served(customer.name)
        self._floor = max(self._floor, before - 1.0)
        self._served[customer.name] = before + 1.0 / customer.limits.share


def is_held_back(waiter: Waiter, waiting_next: int, slots_next: int) -> bool:
    """Return whether to hold the attempt back because the next stage has a long queue.

    Work that is started ahead of a slower stage is mostly wasted. While it is
    held back, it can still be refused as not run. Quick work is never held back.
    """
    if not waiter.next_pool or waiter.priority is PriorityClass.QUICK:
        return False
    return waiting_next >= max(1, MAX_WAITING_PER_NEXT_SLOT * slots_next)


def order(waiters: list[Waiter], clock: FairClock) -> list[Waiter]:
    """Return the waiters in the order in which they receive slots."""
    return sorted(
        waiters,
        key=lambda waiter: (
            CLASS_RANK[waiter.priority],
            clock.served(waiter.customer.name),
            waiter.deadline,
        ),
    )
