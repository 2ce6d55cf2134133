"""Hold a customer's declared limits, in the part that this gateway may spend."""

import msgspec

from traystall.tables.entities import Customer, DataCentre

# A bucket holds at most this many seconds of its rate, but one request at least.
BURST_SECONDS = 1.0


class LimitRow(msgspec.Struct):
    """Hold one customer's bucket and its requests in progress at this gateway."""

    tokens: float
    refilled_at: float
    running: int = 0


class Verdict(msgspec.Struct, frozen=True):
    """Say whether a request is within the limits; if not, when one may be again."""

    within: bool
    why: str = ""
    retry_after: float = 0.0


def gateways_inside(customer: Customer, data_centres: list[DataCentre]) -> int:
    """Return how many gateways are declared where the customer's requests may run."""
    places = set(customer.data_centres)
    return max(1, sum(place.gateways for place in data_centres if place.name in places))


def position_inside(
    customer: Customer, data_centres: list[DataCentre], own_place: str, index: int
) -> int:
    """Return this gateway's position among those inside; beyond the count if it has none."""
    places = sorted(
        (place for place in data_centres if place.name in customer.data_centres),
        key=lambda place: place.name,
    )
    before = 0
    for place in places:
        if place.name == own_place:
            # A gateway beyond the declared number has no part: the parts must not exceed the whole.
            return before + index if index < place.gateways else gateways_inside(customer, places)
        before += place.gateways
    return before


def part_of(whole: float, index: int, count: int) -> float:
    """Return the even part of a rate; the parts of all gateways sum to the whole."""
    return whole / count if index < count else 0.0


def whole_part_of(whole: int, index: int, count: int) -> int:
    """Return the part of a whole number; the parts of all gateways sum to the whole."""
    if index >= count:
        return 0
    return whole // count + (1 if index < whole % count else 0)


class Limiter:
    """Decide and count, customer by customer."""

    def __init__(self):
        self._rows: dict[str, LimitRow] = {}

    def admit(self, customer: Customer, index: int, count: int, now: float) -> Verdict:
        """Return whether the customer may start one more request here, and count it if so."""
        rate = part_of(customer.limits.rate, index, count)
        row = self._refill(customer.name, rate, now)
        if customer.limits.concurrency:
            allowed = whole_part_of(customer.limits.concurrency, index, count)
            if row.running >= allowed:
                return Verdict(False, "concurrency", 1.0)
        if customer.limits.rate:
            if row.tokens < 1.0:
                wait = (1.0 - row.tokens) / rate if rate else 60.0
                return Verdict(False, "rate", wait)
            row.tokens -= 1.0
        row.running += 1
        return Verdict(True)

    def finish(self, customer: str) -> None:
        """Count that a request of the customer ended."""
        self._rows[customer].running -= 1

    def _refill(self, name, rate, now):
        capacity = max(1.0, rate * BURST_SECONDS)
        row = self._rows.get(name)
        if row is None:
            row = self._rows[name] = LimitRow(capacity, now)
        row.tokens = min(capacity, row.tokens + rate * (now - row.refilled_at))
        row.refilled_at = now
        return row
