"""Rate and concurrency limits of customers, divided over the gateways.

Each gateway enforces its own share of a customer's limits. A gateway that runs
out borrows unused tokens or permits from its neighbours.
"""

import msgspec

from traystall.tables.entities import Customer, DataCentre

# Capacity of a token bucket in seconds of its rate; at least one request.
BURST_SECONDS = 1.0
# Lent permits return to their owner after this time.
LOAN_SECONDS = 30.0
# Assumed relative drift between the clocks of two instances, as a fraction.
CLOCK_DRIFT = 0.1
# Retry time for a gateway whose share of the rate is zero.
MAX_WAIT_SECONDS = 60.0


class PermitLoan(msgspec.Struct, frozen=True):
    """Borrowed or lent permits; `until` is monotonic seconds of this process."""

    permits: int
    until: float


class CustomerUsage(msgspec.Struct):
    """One customer's token bucket and running requests at this gateway."""

    tokens: float
    refilled_at: float
    running: int = 0
    lent: list[PermitLoan] = []
    borrowed: list[PermitLoan] = []


class Loan(msgspec.Struct, frozen=True):
    """A transfer between gateways: tokens are permanent, permits are lent for `seconds`."""

    tokens: float = 0.0
    permits: int = 0
    seconds: float = 0.0


class LimitDecision(msgspec.Struct, frozen=True):
    """Whether a request is within the limits; if not, why and after how many seconds to retry."""

    within: bool
    why: str = ""
    retry_after: float = 0.0


def count_gateways(customer: Customer, data_centres: list[DataCentre]) -> int:
    """Return the number of declared gateways in the customer's data centres, at least 1."""
    places = set(customer.data_centres)
    return max(
        1, sum(data_centre.gateways for data_centre in data_centres if data_centre.name in places)
    )


def gateway_position(
    customer: Customer, data_centres: list[DataCentre], own_data_centre: str, index: int
) -> int:
    """Return this gateway's position among those of the customer's data centres.

    The position of a gateway without a share is not below the number of gateways.
    """
    places = sorted(
        (data_centre for data_centre in data_centres if data_centre.name in customer.data_centres),
        key=lambda data_centre: data_centre.name,
    )
    before = 0
    for data_centre in places:
        if data_centre.name == own_data_centre:
            # A gateway beyond the declared number has no share, so that the shares don't exceed
            # the limit.
            return (
                before + index if index < data_centre.gateways else count_gateways(customer, places)
            )
        before += data_centre.gateways
    return before


def rate_share(whole: float, index: int, count: int) -> float:
    """Return one gateway's equal share of a rate; all shares sum to `whole`."""
    return whole / count if index < count else 0.0


def concurrency_share(whole: int, index: int, count: int) -> int:
    """Return one gateway's share of a concurrency limit; all shares sum to `whole`."""
    if index >= count:
        return 0
    return whole // count + (1 if index < whole % count else 0)


class Limiter:
    """Enforce the limits of each customer at this gateway.

    Shares follow demand: a gateway that runs out requests more from its
    neighbours. Rate tokens are transferred permanently. Concurrency permits
    return to the lender after a fixed time, so the borrower uses them only for
    requests that end before then. A lost reply can lose tokens or permits but
    never creates any.
    """

    def __init__(self):
        self._rows: dict[str, CustomerUsage] = {}

    def admit(
        self, customer: Customer, index: int, count: int, now: float, seconds: float
    ) -> LimitDecision:
        """Admit a request that runs for at most `seconds` if the limits allow it."""
        row = self._row(customer, index, count, now)
        if customer.limits.concurrency:
            ends_at = now + seconds
            if row.running >= self._permits(row, customer, index, count, now, ends_at):
                return LimitDecision(False, "concurrency", 1.0)
        if customer.limits.rate:
            if row.tokens < 1.0:
                rate = rate_share(customer.limits.rate, index, count)
                wait = (1.0 - row.tokens) / rate if rate else MAX_WAIT_SECONDS
                return LimitDecision(False, "rate", wait)
            row.tokens -= 1.0
        row.running += 1
        return LimitDecision(True)

    def finish(self, customer: str) -> None:
        """Record the end of a request of the customer."""
        self._rows[customer].running -= 1

    def grant(self, customer: Customer, index: int, count: int, now: float, wanted: Loan) -> Loan:
        """Transfer up to half of the unused tokens and permits; permits in use stay here."""
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

    def borrow(self, customer: str, loan: Loan, requested_at: float) -> None:
        """Add a neighbour's loan; `asked_at` is when the request was sent to it."""
        row = self._rows[customer]
        row.tokens += loan.tokens
        if loan.permits:
            # The lender's period starts with its reply, which is later than the request.
            until = requested_at + loan.seconds * (1 - CLOCK_DRIFT)
            row.borrowed = [*row.borrowed, PermitLoan(loan.permits, until)]

    def _permits(self, row, customer, index, count, now, needed_until):
        """Return the number of permits usable by a request that ends by `needed_until`."""
        row.lent = [loan for loan in row.lent if loan.until > now]
        row.borrowed = [loan for loan in row.borrowed if loan.until > now]
        own = concurrency_share(customer.limits.concurrency, index, count)
        own -= sum(loan.permits for loan in row.lent)
        usable = (loan.permits for loan in row.borrowed if loan.until >= needed_until)
        return own + sum(usable)

    def _row(self, customer, index, count, now):
        rate = rate_share(customer.limits.rate, index, count)
        capacity = max(1.0, rate * BURST_SECONDS)
        row = self._rows.get(customer.name)
        if row is None:
            row = self._rows[customer.name] = CustomerUsage(capacity, now)
        # Borrowed tokens may exceed the capacity. They are kept, but the bucket isn't refilled.
        refill = rate * (now - row.refilled_at)
        row.tokens = max(row.tokens, min(capacity, row.tokens + refill))
        row.refilled_at = now
        return row
