"""What kinds and customers ask of pools lately, and whose turn it is. Pure; monotonic seconds."""

from collections.abc import Mapping

import msgspec

from traystall.admission.shares import KindPart, parts_of_customers, parts_of_kinds

# Demand is averaged over about this long, in seconds: the shortest rushes last some seconds, and
# a second of a kind that asks 15 times a second still tells its rate.
_DEMAND_SECONDS = 1.5
# Who has asked for nothing so long, in seconds, is forgotten.
_FORGOTTEN_SECONDS = 10.0
# Parts are worked out so often, in seconds: a tenth of the time in which demand is averaged.
_PARTS_SECONDS = 0.1
# What a customer may have saved up, in requests: who asks once is never behind.
_MOST_SAVED = 2.0


class FadingRate(msgspec.Struct):
    """Measure how fast something comes, a second; what is older fades."""

    rate: float = 0.0
    at: float = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Count what has come."""
        self.rate = self.at_time(now) + amount / _DEMAND_SECONDS
        self.at = now

    def at_time(self, now: float) -> float:
        """Return the rate now."""
        if now <= self.at:
            return self.rate
        return self.rate * 0.5 ** ((now - self.at) / _DEMAND_SECONDS / 0.7)


class _Asker(msgspec.Struct):
    """Hold one customer of one kind: how often it asks, and what it has saved up."""

    requested: FadingRate = msgspec.field(default_factory=FadingRate)
    saved: float = 1.0


class DemandTracker:
    """Count who asks for what at one gateway that batches, and say who may begin."""

    def __init__(self):
        # By kind and pool, pieces a second; by kind, then customer.
        self._pieces: dict[str, dict[str, FadingRate]] = {}
        self._askers: dict[str, dict[str, _Asker]] = {}
        self._parts: dict[str, KindPart] = {}
        self._parts_of_customers: dict[str, dict[str, float]] = {}
        self._worked_out_at = float("-inf")

    def requested(self, kind: str, customer: str, pieces: Mapping[str, int], now: float) -> None:
        """Count a request that asks to begin; each try of a caller counts."""
        pools = self._pieces.setdefault(kind, {})
        for pool, count in pieces.items():
            pools.setdefault(pool, FadingRate()).add(count, now)
        asker = self._askers.setdefault(kind, {}).setdefault(customer, _Asker())
        asker.requested.add(1.0, now)
        part = self._parts_of_customers.get(kind, {}).get(customer, 1.0)
        asker.saved = min(_MOST_SAVED, asker.saved + part)

    def update_shares(self, rates: Mapping[str, float], now: float) -> None:
        """Work the parts out by what crowded pools make, in pieces a second, if it is time."""
        if now - self._worked_out_at < _PARTS_SECONDS:
            return
        self._worked_out_at = now
        self._forget(now)
        requested = {
            kind: {pool: rate.at_time(now) for pool, rate in pools.items()}
            for kind, pools in self._pieces.items()
        }
        self._parts = parts_of_kinds(requested, rates)
        self._parts_of_customers = {
            kind: self._of_customers(kind, part, now) for kind, part in self._parts.items()
        }

    def part(self, kind: str) -> KindPart:
        """Return which part of a kind is served now, and which pool binds it."""
        return self._parts.get(kind, KindPart())

    def part_of(self, kind: str, customer: str) -> float:
        """Return which part of what a customer asks of a kind is served now."""
        return self._parts_of_customers.get(kind, {}).get(customer, self.part(kind).part)

    def may_start(self, kind: str, customer: str) -> bool:
        """Return whether it is a customer's turn; always where nothing binds its kind."""
        asker = self._askers.get(kind, {}).get(customer)
        return not self.part(kind).pool or asker is None or asker.saved >= 1.0

    def record_start(self, kind: str, customer: str) -> None:
        """Take a turn."""
        asker = self._askers.get(kind, {}).get(customer)
        if asker is not None:
            asker.saved = max(0.0, asker.saved - 1.0)

    def customer_count(self) -> int:
        """Return how many customers of kinds are held."""
        return sum(len(askers) for askers in self._askers.values())

    def _of_customers(self, kind, part, now):
        if not part.pool:
            return {}
        requested = {name: row.requested.at_time(now) for name, row in self._askers[kind].items()}
        return parts_of_customers(requested, part.part * sum(requested.values()))

    def _forget(self, now):
        for kind, askers in list(self._askers.items()):
            for customer, row in list(askers.items()):
                if now - row.requested.at > _FORGOTTEN_SECONDS:
                    del askers[customer]
            if not askers:
                del self._askers[kind]
                del self._pieces[kind]
