"""Choose the target of an attempt.

The score of a target is (own work in flight + a small constant) times how
long it takes compared with its pool. It scans all candidates and breaks ties
at random. Reported load is late, so it never orders targets; it only keeps
bulk work off a target that says it is full.
"""

import msgspec

from traystall.systems import windows
from traystall.systems.breakers import may_try
from traystall.systems.queues import Waiter
from traystall.tables.entities import Customer, PriorityClass, Stage
from traystall.tables.targets import TargetRow, TargetState

IN_FLIGHT_OFFSET = 0.25
# A target up to this much slower than its pool is not asked whether it can finish in time.
SLOW_RATIO = 1.5
# Added for quick work on a target that keeps no slot for it, where it may wait for bulk work.
NO_KEPT_SLOT = 1.0
# Quick work may exceed a target's slots by this factor before it waits at the gateway.
QUICK_OVERCOMMIT = 2


class Choice(msgspec.Struct, frozen=True):
    """Name the chosen row and why; `row` is None if no candidate can take work now."""

    row: TargetRow | None
    why: str
    candidates: int


def candidates(rows, customer: Customer, stage: Stage, excluded, now: float) -> list[TargetRow]:
    """Return the rows that may take the stage at all, busy or not."""
    places = customer.data_centres
    found = []
    for row in rows:
        target = row.target
        if row.state is not TargetState.LIVE or target.data_centre not in places:
            continue
        if target.kind is stage.kind and target.name not in excluded and holds_model(row, stage):
            found.append(row)
    return found


def holds_model(row: TargetRow, stage: Stage) -> bool:
    """Return whether the target holds the stage's model, or has not said what it holds."""
    return not stage.model or not row.models or stage.model in row.models


def has_room(row: TargetRow, priority: PriorityClass, now: float) -> bool:
    """Return whether this gateway may put one more attempt of the class on the target."""
    if not row.availability.may_send_work(now) or row.limit.is_closed(now):
        return False
    if priority is PriorityClass.QUICK:
        return row.total_in_flight < row.target.slots * QUICK_OVERCOMMIT
    return row.bulk_in_flight < windows.allowance(row)


def score(row: TargetRow, priority: PriorityClass) -> float:
    """Return the cost of sending one more attempt to the target; lower is better."""
    waiting = row.total_in_flight + IN_FLIGHT_OFFSET
    if priority is PriorityClass.QUICK and not row.reserves_quick_slot:
        waiting += NO_KEPT_SLOT
    return waiting * row.service_ratio


def can_finish(row: TargetRow, waiter: Waiter, now: float) -> bool:
    """Return whether the target is fast enough for what is left of the request's time."""
    if row.service_ratio <= SLOW_RATIO:
        return True
    return now + waiter.typical * row.service_ratio <= waiter.must_end_by


def choose(found: list[TargetRow], waiter: Waiter, now: float, random) -> Choice:
    """Return the best of the candidates that have room and are fast enough."""
    priority = waiter.priority
    best: list[TargetRow] = []
    best_score = float("inf")
    for row in found:
        cost = score(row, priority)
        if cost > best_score or not has_room(row, priority, now):
            continue
        if not may_try(row.breaker, now) or not can_finish(row, waiter, now):
            continue
        if cost < best_score:
            best, best_score = [row], cost
        elif cost == best_score:
            best.append(row)
    if not best:
        return Choice(None, "no candidate has room" if found else "no candidate", len(found))
    return Choice(random.choice(best), f"score {best_score:.3f}", len(found))
