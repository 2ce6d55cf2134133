"""Choose the target of an attempt.

The score of a target is this gateway's attempts in flight there plus a small
constant, multiplied by the target's service time relative to its pool. All
candidates are scanned and ties are broken at random. The load that targets
report is out of date on arrival, so targets are never ranked by it.
"""

import msgspec

from traystall.systems import windows
from traystall.systems.breakers import allows_attempt
from traystall.systems.queues import Waiter
from traystall.tables.entities import Customer, PriorityClass, Stage
from traystall.tables.targets import TargetRow, TargetState

IN_FLIGHT_OFFSET = 0.25
# A target within this ratio of its pool's time isn't checked for whether it can finish in time.
SLOW_RATIO = 1.5
# Penalty for quick work on a target without a reserved slot, where it may wait for bulk work.
NO_RESERVED_SLOT_PENALTY = 1.0
# Quick work may use this multiple of a target's slots before it waits at the gateway.
QUICK_OVERCOMMIT = 2


class Choice(msgspec.Struct, frozen=True):
    """The chosen row and the reason; `row` is None if no candidate accepts work now."""

    row: TargetRow | None
    why: str
    candidates: int


def candidates(rows, customer: Customer, stage: Stage, excluded, now: float) -> list[TargetRow]:
    """Return the rows that may run the stage, including those without a free slot."""
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
    """Return whether the target holds the stage's model; true if its models are unknown."""
    return not stage.model or not row.models or stage.model in row.models


def has_room(row: TargetRow, priority: PriorityClass, now: float) -> bool:
    """Return whether this gateway may send one more attempt of the class to the target."""
    if not row.availability.may_send_work(now) or row.limit.is_closed(now):
        return False
    if priority is PriorityClass.QUICK:
        return row.total_in_flight < row.target.slots * QUICK_OVERCOMMIT
    return row.bulk_in_flight < windows.allowance(row)


def score(row: TargetRow, priority: PriorityClass) -> float:
    """Return the cost of sending one more attempt to the target; lower is better."""
    waiting = row.total_in_flight + IN_FLIGHT_OFFSET
    if priority is PriorityClass.QUICK and not row.reserves_quick_slot:
        waiting += NO_RESERVED_SLOT_PENALTY
    return waiting * row.service_ratio


def can_finish(row: TargetRow, waiter: Waiter, now: float) -> bool:
    """Return whether the target is fast enough for the request's remaining time."""
    if row.service_ratio <= SLOW_RATIO:
        return True
    return now + waiter.typical * row.service_ratio <= waiter.must_end_by


def choose(found: list[TargetRow], waiter: Waiter, now: float, random) -> Choice:
    """Return the candidate with the lowest score among those with capacity and enough speed."""
    priority = waiter.priority
    best: list[TargetRow] = []
    best_score = float("inf")
    for row in found:
        cost = score(row, priority)
        if cost > best_score or not has_room(row, priority, now):
            continue
        if not allows_attempt(row.breaker, now) or not can_finish(row, waiter, now):
            continue
        if cost < best_score:
            best, best_score = [row], cost
        elif cost == best_score:
            best.append(row)
    if not best:
        return Choice(None, "no candidate has room" if found else "no candidate", len(found))
    return Choice(random.choice(best), f"score {best_score:.3f}", len(found))
