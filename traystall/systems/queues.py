"""Order the work that waits at a gateway for a slot.

Classes come first. Within a class, customers take turns by the service they
have had, weighted by their share; within a customer the earliest deadline
comes first.
"""

import msgspec

from traystall.tables.entities import CLASS_RANK, Customer, PriorityClass, Stage

WAIT_WEIGHT = 0.15
# Work is held back once this many times the slots of the following stage wait for it.
HELD_BEYOND = 2


class Waiter(msgspec.Struct, eq=False):
    """Hold one attempt that waits; `latest_start` and `deadline` are monotonic seconds."""

    request_id: str
    customer: Customer
    stage: Stage
    priority: PriorityClass
    deadline: float
    latest_start: float
    excluded: frozenset[str]
    since: float
    # Typical seconds of the stage, 0 if unknown, and when it must end to leave the rest its time.
    typical: float = 0.0
    must_end_by: float = float("inf")
    # Pool of the following stage, empty for the last one.
    next_pool: str = ""
    grant: object = None
    # Whether it was granted as one of the first after a rest of its target.
    is_recovery_attempt: bool = False


class WaitTimes:
    """Remember how long work has lately waited for each pool, in seconds."""

    def __init__(self):
        self._means: dict[str, float] = {}

    def record(self, pool: str, seconds: float) -> None:
        """Fold one wait into the pool's running mean, whether it ended in a slot or not."""
        mean = self._means.get(pool, 0.0)
        self._means[pool] = mean + WAIT_WEIGHT * (seconds - mean)

    def of(self, pool: str) -> float:
        """Return the running mean of a pool."""
        return self._means.get(pool, 0.0)


class FairClock:
    """Measure the service that customers have had, in shares."""

    def __init__(self):
        self._served: dict[str, float] = {}
        self._floor = 0.0

    def served(self, customer: str) -> float:
        """Return a customer's service; a newcomer starts at the floor, not at zero."""
        return max(self._served.get(customer, 0.0), self._floor)

    def charge(self, customer: Customer) -> None:
        """Count one start for the customer."""
        before = self.served(customer.name)
        self._floor = max(self._floor, before - 1.0)
        self._served[customer.name] = before + 1.0 / customer.limits.share


def is_held_back(waiter: Waiter, waiting_next: int, slots_next: int) -> bool:
    """Return whether to hold work because the following stage already has enough waiting.

    Work that is started only to wait behind a slower stage is mostly wasted;
    held back, it can still be refused as not run. Quick work is never held.
    """
    if not waiter.next_pool or waiter.priority is PriorityClass.QUICK:
        return False
    return waiting_next >= max(1, HELD_BEYOND * slots_next)


def order(waiters: list[Waiter], clock: FairClock) -> list[Waiter]:
    """Return the waiters in the order in which slots go to them."""
    return sorted(
        waiters,
        key=lambda waiter: (
            CLASS_RANK[waiter.priority],
            clock.served(waiter.customer.name),
            waiter.deadline,
        ),
    )
