"""Running state of targets, as one gateway or control daemon sees it.

Times are monotonic seconds of this process. Rows survive a new revision as
long as the target keeps its name and address.
"""

from enum import StrEnum

import msgspec

from traystall.tables.availability import Availability
from traystall.tables.entities import PriorityClass, Target
from traystall.tables.target_limits import TargetLimit

# So many targets that are no longer declared are remembered, the newest.
_MOST_FORMER = 1000


class TargetState(StrEnum):
    """Name what is known of a target's presence."""

    LIVE = "live"
    LEAVING = "leaving"


class Breaker(msgspec.Struct):
    """Count failures in a row; while open, no work but one probe is sent."""

    failures: int = 0
    opened: int = 0
    open_until: float = float("-inf")
    probing: bool = False


class TargetRow(msgspec.Struct):
    """Hold what is known of one target."""

    target: Target
    incarnation: str = ""
    state: TargetState = TargetState.LIVE
    # This gateway's attempts in flight: quick ones, and all others.
    quick_in_flight: int = 0
    bulk_in_flight: int = 0
    # How long this target takes compared with its pool; 1.0 is as long.
    service_ratio: float = 1.0
    ratio_at: float = float("-inf")
    breaker: Breaker = msgspec.field(default_factory=Breaker)
    # What it has asked of this gateway.
    availability: Availability = msgspec.field(default_factory=Availability)
    # What it takes from all gateways together.
    limit: TargetLimit = msgspec.field(default_factory=TargetLimit)
    # Models that the target says it holds; empty means not known.
    models: frozenset[str] = frozenset()
    # Work other than quick that this gateway may have in flight here at once.
    share: int = 1
    # What it may have beyond its share, as long as the target keeps up.
    extra: float = 0.0
    may_exceed_share: bool = False
    # Whether one slot of the target is kept free of bulk work.
    reserves_quick_slot: bool = False
    # Average number of this gateway's quick attempts in flight, and when it was last folded in.
    quick_load: float = 0.0
    quick_load_at: float = float("-inf")

    def take(self, priority: PriorityClass) -> None:
        """Count one more attempt in flight."""
        if priority is PriorityClass.QUICK:
            self.quick_in_flight += 1
        else:
            self.bulk_in_flight += 1

    def release_slot(self, priority: PriorityClass) -> None:
        """Count one attempt less in flight."""
        if priority is PriorityClass.QUICK:
            self.quick_in_flight -= 1
        else:
            self.bulk_in_flight -= 1

    @property
    def life(self) -> str:
        """Return the name under which all gateways know its limit."""
        return f"{self.target.name}@{self.target.address}"

    def blocked_until(self) -> float:
        """Return when it may be asked for something again, by its rest and its limit."""
        closed = self.limit.closed_until if self.limit.is_limited else float("-inf")
        return max(self.availability.backoff_until, closed)

    @property
    def has_asked(self) -> bool:
        """Return whether it has ever asked for rest, or leaves."""
        return self.availability.backoff_until > float("-inf") or self.state is TargetState.LEAVING

    @property
    def total_in_flight(self) -> int:
        """Return this gateway's attempts in flight at the target."""
        return self.quick_in_flight + self.bulk_in_flight


class TargetTable:
    """Hold rows by target name, with an index by pool."""

    def __init__(self):
        self._rows: dict[str, TargetRow] = {}
        # Rows that a revision or an evacuation took away and that have asked for something.
        self._former: dict[str, TargetRow] = {}
        self._pools: dict[str, list[TargetRow]] = {}

    def replace(self, targets) -> None:
        """Take over the targets of a revision, keeping the rows that still stand.

        What a target has asked for outlasts its absence: an evacuation that was taken back would
        else send to one that rests or leaves.
        """
        known = self._former | self._rows
        rows = {}
        for target in targets:
            row = known.get(target.name)
            if row is None or row.target.address != target.address:
                row = TargetRow(target)
            row.target = target
            rows[target.name] = row
        former = [(name, row) for name, row in known.items() if name not in rows and row.has_asked]
        self._former = dict(former[-_MOST_FORMER:])
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
