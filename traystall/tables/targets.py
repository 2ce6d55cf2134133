"""Runtime state of targets from the view of one gateway or control daemon.

Times are monotonic seconds of this process. A row is kept across revisions
while the target's name and address are unchanged.
"""

from enum import StrEnum

import msgspec

from traystall.tables.availability import Availability
from traystall.tables.entities import PriorityClass, Target
from traystall.tables.target_limits import TargetLimit

# Number of most recent rows that are kept for targets no longer in the table.
_MAX_FORMER_ROWS = 1000


class TargetState(StrEnum):
    """Presence of a target."""

    LIVE = "live"
    LEAVING = "leaving"


class Breaker(msgspec.Struct):
    """State of a circuit breaker; while it is open, only a single probe is sent."""

    failures: int = 0
    open_count: int = 0
    open_until: float = float("-inf")
    probing: bool = False


class TargetRow(msgspec.Struct):
    """State of one target."""

    target: Target
    incarnation: str = ""
    state: TargetState = TargetState.LIVE
    # This gateway's attempts in flight: quick work and all other work.
    quick_in_flight: int = 0
    bulk_in_flight: int = 0
    # Service time relative to the pool; 1.0 is equal.
    service_ratio: float = 1.0
    ratio_at: float = float("-inf")
    # When this gateway last got a response or token from the target.
    heard_at: float = float("-inf")
    breaker: Breaker = msgspec.field(default_factory=Breaker)
    # The backoff period or drain that the target requested from this gateway.
    availability: Availability = msgspec.field(default_factory=Availability)
    # Rate limit for all gateways together.
    limit: TargetLimit = msgspec.field(default_factory=TargetLimit)
    # Models that the target reports; empty if unknown.
    models: frozenset[str] = frozenset()
    # Bulk attempts (all but quick work) that this gateway may have in flight here.
    share: int = 1
    # Bulk attempts beyond the share while the target has no queue.
    excess_slots: float = 0.0
    may_exceed_share: bool = False
    # Whether one slot of the target is reserved for quick work.
    reserves_quick_slot: bool = False
    # Average number of this gateway's quick attempts in flight, and the time of the last sample.
    quick_load: float = 0.0
    quick_load_at: float = float("-inf")

    def take(self, priority: PriorityClass) -> None:
        """Take a slot for an attempt of the class."""
        if priority is PriorityClass.QUICK:
            self.quick_in_flight += 1
        else:
            self.bulk_in_flight += 1

    def release_slot(self, priority: PriorityClass) -> None:
        """Release the slot of an attempt of the class."""
        if priority is PriorityClass.QUICK:
            self.quick_in_flight -= 1
        else:
            self.bulk_in_flight -= 1

    @property
    def life(self) -> str:
        """Return the identifier of the incarnation in permits, the same at all gateways."""
        return f"{self.target.name}@{self.target.address}"

    def blocked_until(self) -> float:
        """Return when the target's backoff period and limit allow requests again."""
        closed = self.limit.opens_at if self.limit.is_limited else float("-inf")
        return max(self.availability.backoff_until, closed)

    @property
    def has_restriction(self) -> bool:
        """Return whether the target is leaving or has ever requested a backoff period."""
        return self.availability.backoff_until > float("-inf") or self.state is TargetState.LEAVING

    @property
    def total_in_flight(self) -> int:
        """Return this gateway's attempts in flight at the target."""
        return self.quick_in_flight + self.bulk_in_flight


class TargetTable:
    """Rows by target name, with an index by pool."""

    def __init__(self):
        self._rows: dict[str, TargetRow] = {}
        # Rows with restrictions whose targets a revision or an evacuation removed.
        self._former: dict[str, TargetRow] = {}
        self._pools: dict[str, list[TargetRow]] = {}

    def replace(self, targets) -> None:
        """Replace the targets by those of a revision and keep the rows of unchanged targets.

        A target's restrictions outlast its absence. Otherwise a reverted evacuation would send
        work to a target that is leaving or in a backoff period.
        """
        known = self._former | self._rows
        rows = {}
        for target in targets:
            row = known.get(target.name)
            if row is None or row.target.address != target.address:
                row = TargetRow(target)
            row.target = target
            rows[target.name] = row
        former = [
            (name, row) for name, row in known.items() if name not in rows and row.has_restriction
        ]
        self._former = dict(former[-_MAX_FORMER_ROWS:])
        self._rows = rows
        self._pools = {}
        for row in rows.values():
            self._pools.setdefault(row.target.pool, []).append(row)

    def get(self, name: str) -> TargetRow | None:
        """Return the row of a target, or None."""
        return self._rows.get(name)

    def pool(self, name: str) -> list[TargetRow]:
        """Return the rows of a pool."""
        return self._pools.get(name, [])

    def all(self) -> list[TargetRow]:
        """Return every row."""
        return list(self._rows.values())
