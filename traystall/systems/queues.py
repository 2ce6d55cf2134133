"""Order the work that waits at a gateway for a slot.

Classes come first. Within a class, customers take turns by the service they
have had, weighted by their share; within a customer the earliest deadline
comes first.
"""

import msgspec

from traystall.tables.entities import CLASS_RANK, Customer, PriorityClass, Stage


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
    grant: object = None


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
