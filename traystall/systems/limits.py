"""Hold a customer's declared limits, in the part that this gateway may spend."""

import msgspec

from traystall.tables.entities import Customer, DataCentre

# A bucket holds at most this many seconds of its rate, but one request at least.
BURST_SECONDS = 1.0
# Lent permits come back to their owner after this time.
LOAN_SECONDS = 30.0
# Clocks of two instances may run apart by this fraction.
CLOCK_DRIFT = 0.1
MAX_WAIT = 60.0


class PermitLoan(msgspec.Struct, frozen=True):
    """Hold borrowed or lent permits; `until` is monotonic seconds of this process."""

    permits: int
    until: float


class LimitRow(msgspec.Struct):
    """Hold one customer's bucket and its requests in progress at this gateway."""

    tokens: float
    refilled_at: float
    running: int = 0
    lent: list[PermitLoan] = []
    borrowed: list[PermitLoan] = []


class Loan(msgspec.Struct, frozen=True):
    """Hold what one gateway hands to another: tokens for good, permits for `seconds`."""

    tokens: float = 0.0
    permits: int = 0
    seconds: float = 0.0


class Verdict(msgspec.Struct, frozen=True):
    """Say whether a request is within the limits; if not, when one may be again."""

    within: bool
    why: str = ""
    retry_after: float = 0.0


def count_gateways(customer: Customer, data_centres: list[DataCentre]) -> int:
    """Return how many gateways are declared where the customer's requests may run."""
    places = set(customer.data_centres)
    return max(1, sum(place.gateways for place in data_centres if place.name in places))


def gateway_position(
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
            return before + index if index < place.gateways else count_gateways(customer, places)
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
    """Decide and count, customer by customer.

    Parts follow demand: a gateway that runs out asks its neighbours. Tokens of
    the rate change hands for good. Permits come back to the lender by time, so
    the borrower may use them only for requests that surely end before that;
    a lost answer loses tokens or permits, and never makes any.
    """

    def __init__(self):
        self._rows: dict[str, LimitRow] = {}

    def admit(
        self, customer: Customer, index: int, count: int, now: float, seconds: float
    ) -> Verdict:
        """Return whether a request of at most `seconds` may start here, and count it if so."""
        row = self._row(customer, index, count, now)
        if customer.limits.concurrency:
            ends_at = now + seconds
            if row.running >= self._permits(row, customer, index, count, now, ends_at):
                return Verdict(False, "concurrency", 1.0)
        if customer.limits.rate:
            if row.tokens < 1.0:
                rate = part_of(customer.limits.rate, index, count)
                wait = (1.0 - row.tokens) / rate if rate else MAX_WAIT
                return Verdict(False, "rate", wait)
            row.tokens -= 1.0
        row.running += 1
        return Verdict(True)

    def finish(self, customer: str) -> None:
        """Count that a request of the customer ended."""
        self._rows[customer].running -= 1

    def grant(self, customer: Customer, index: int, count: int, now: float, wanted: Loan) -> Loan:
        """Hand out part of what is not used here: half at most, permits in use never."""
        row = self._row(customer, index, count, now)
        tokens = 0.0
        if customer.limits.rate and row.tokens >= 1.0:
            tokens = min(wanted.tokens, max(1.0, row.tokens / 2))
            row.tokens -= tokens
        permits = 0
        if customer.limits.concurrency:
            until = now + LOAN_SECONDS
            free = self._permits(row, customer, index, count, now, until) - row.running
            permits = min(wanted.permits, max(0, (free + 1) // 2))
            if permits:
                row.lent = [*row.lent, PermitLoan(permits, until)]
        return Loan(tokens, permits, LOAN_SECONDS)

    def borrow(self, customer: str, loan: Loan, asked_at: float) -> None:
        """Take in what a neighbour handed out; `asked_at` is when it was asked."""
        row = self._rows[customer]
        row.tokens += loan.tokens
        if loan.permits:
            # The lender counts from when it answered, which is later than the question.
            until = asked_at + loan.seconds * (1 - CLOCK_DRIFT)
            row.borrowed = [*row.borrowed, PermitLoan(loan.permits, until)]

    def _permits(self, row, customer, index, count, now, needed_until):
        """Return the permits usable for a request that ends by `needed_until`."""
        row.lent = [loan for loan in row.lent if loan.until > now]
        row.borrowed = [loan for loan in row.borrowed if loan.until > now]
        own = whole_part_of(customer.limits.concurrency, index, count)
        own -= sum(loan.permits for loan in row.lent)
        usable = (loan.permits for loan in row.borrowed if loan.until >= needed_until)
        return own + sum(usable)

    def _row(self, customer, index, count, now):
        rate = part_of(customer.limits.rate, index, count)
        capacity = max(1.0, rate * BURST_SECONDS)
        row = self._rows.get(customer.name)
        if row is None:
            row = self._rows[customer.name] = LimitRow(capacity, now)
        # Borrowed tokens may lie above the capacity; they are kept, but nothing is added to them.
        refill = rate * (now - row.refilled_at)
        row.tokens = max(row.tokens, min(capacity, row.tokens + refill))
        row.refilled_at = now
        return row
