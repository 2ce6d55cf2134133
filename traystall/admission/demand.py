"""Measure the recent demand of routes and customers, and decide which customer may start next.

The module does no I/O; times are monotonic seconds. A `kind` is the name of a route. A customer
earns credit with each request that asks for admission, by its current share, and a request that is
admitted costs one unit of credit.
"""

from collections.abc import Mapping

import msgspec

from traystall.admission.shares import RouteShare, customer_shares, route_shares

# Demand is averaged over about this time. The shortest load peaks last a few seconds, and one
# second of a route with 15 requests per second still shows its rate.
_DEMAND_SECONDS = 1.5
# A customer without requests for this time is removed.
_CUSTOMER_TTL_SECONDS = 10.0
# Shares are updated at this interval, about a tenth of the time over which demand is averaged.
_UPDATE_INTERVAL_SECONDS = 0.1
# Largest credit of a customer, in requests. A customer that sends a single request has enough.
_MAX_CREDIT_REQUESTS = 2.0


class DecayingRate(msgspec.Struct):
    """Measure a rate per second as an average with exponential decay."""

    rate: float = 0.0
    at: float = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Count an amount that arrives now."""
        self.rate = self.at_time(now) + amount / _DEMAND_SECONDS
        self.at = now

    def at_time(self, now: float) -> float:
        """Return the rate at a time."""
        if now <= self.at:
            return self.rate
        return self.rate * 0.5 ** ((now - self.at) / _DEMAND_SECONDS / 0.7)


class _CustomerDemand(msgspec.Struct):
    """Hold the request rate of one customer on one route, and the customer's credit."""

    requested: DecayingRate = msgspec.field(default_factory=DecayingRate)
    credit: float = 1.0


class DemandTracker:
    """Track the demand at one gateway that batches, and the shares that follow from it."""

    def __init__(self):
        # Pieces per second, by route and pool.
        self._pieces: dict[str, dict[str, DecayingRate]] = {}
        # By route and customer.
        self._customers: dict[str, dict[str, _CustomerDemand]] = {}
        self._route_shares: dict[str, RouteShare] = {}
        self._customer_shares: dict[str, dict[str, float]] = {}
        self._updated_at = float("-inf")

    def requested(self, kind: str, customer: str, pieces: Mapping[str, int], now: float) -> None:
        """Count a request that asks for admission; each retry of a caller counts as well."""
        pools = self._pieces.setdefault(kind, {})
        for pool, count in pieces.items():
            pools.setdefault(pool, DecayingRate()).add(count, now)
        row = self._customers.setdefault(kind, {}).setdefault(customer, _CustomerDemand())
        row.requested.add(1.0, now)
        part = self._customer_shares.get(kind, {}).get(customer, 1.0)
        row.credit = min(_MAX_CREDIT_REQUESTS, row.credit + part)

    def update_shares(self, rates: Mapping[str, float], now: float) -> None:
        """Update the shares from the rates of congested pools, in pieces per second, if due."""
        if now - self._updated_at < _UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        self._expire(now)
        requested = {
            kind: {pool: rate.at_time(now) for pool, rate in pools.items()}
            for kind, pools in self._pieces.items()
        }
        self._route_shares = route_shares(requested, rates)
        self._customer_shares = {
            kind: self._shares_of_customers(kind, part, now)
            for kind, part in self._route_shares.items()
        }

    def part(self, kind: str) -> RouteShare:
        """Return the share of a route's demand that is served now, and the pool that limits it."""
        return self._route_shares.get(kind, RouteShare())

    def customer_share(self, kind: str, customer: str) -> float:
        """Return the share of a customer's demand on a route that is served now."""
        return self._customer_shares.get(kind, {}).get(customer, self.part(kind).part)

    def may_start(self, kind: str, customer: str) -> bool:
        """Return whether a customer has credit for a request, or no pool limits the route."""
        row = self._customers.get(kind, {}).get(customer)
        return not self.part(kind).pool or row is None or row.credit >= 1.0

    def record_start(self, kind: str, customer: str) -> None:
        """Spend the credit of an admitted request."""
        row = self._customers.get(kind, {}).get(customer)
        if row is not None:
            row.credit = max(0.0, row.credit - 1.0)

    def customer_count(self) -> int:
        """Return the number of tracked customers, counted once for each route."""
        return sum(len(customers) for customers in self._customers.values())

    def _shares_of_customers(self, kind, part, now):
        if not part.pool:
            return {}
        requested = {
            name: row.requested.at_time(now) for name, row in self._customers[kind].items()
        }
        return customer_shares(requested, part.part * sum(requested.values()))

    def _expire(self, now):
        for kind, customers in list(self._customers.items()):
            for customer, row in list(customers.items()):
                if now - row.requested.at > _CUSTOMER_TTL_SECONDS:
                    del customers[customer]
            if not customers:
                del self._customers[kind]
                del self._pieces[kind]
