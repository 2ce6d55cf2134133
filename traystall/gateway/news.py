"""Take in news of a target's presence and what it asks for, and log what they change."""

from collections.abc import Iterable, Mapping

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.permits.permits import Permits
from traystall.systems import membership
from traystall.systems.retry_after import RETRY_AFTER, SERVICE_UNAVAILABLE, parse_retry_after
from traystall.systems.target_limits import LIMIT_HEADER, parse_limit
from traystall.tables.targets import TargetRow

# Status of an answer by which a target limits how often it is asked.
_TOO_MANY = 429
# Statuses from here on are failures, which show no end of a limit.
_FAILURES = 500


def note_presence(target: TargetRow, report: membership.PresenceReport) -> None:
    """Take in a report of a target's presence and log it if it changed anything."""
    known = target.incarnation
    changed = membership.on_report(target, report)
    if known and target.incarnation != known:
        target.limit.forget()
    if changed:
        decision(
            "presence",
            target=report.target,
            leaving=report.leaving,
            incarnation=report.incarnation,
            first_hand=report.first_hand,
        )


def note_asked(target: TargetRow, status: int, headers: Mapping, request: str = "") -> None:
    """Take in what the head of any answer of a target asks for."""
    if status not in (SERVICE_UNAVAILABLE, _TOO_MANY):
        return
    now = clock.monotonic()
    seconds = parse_retry_after(headers.getall(RETRY_AFTER, []), headers.get("Date"))
    was_resting = target.availability.is_backing_off(now)
    if seconds and target.availability.request_backoff(seconds, request, now) and not was_resting:
        metrics.rests_total.inc({"pool": target.target.pool})
        decision("target-rests", target=target.target.name, seconds=seconds, request=request)


def note_limit(
    permits: Permits,
    target: TargetRow,
    status: int,
    headers: Mapping,
    sent_at: float,
    request: str = "",
    is_work: bool = True,
) -> None:
    """Take in whether the head of an answer names a limit for all gateways together.

    Only an answer to work that is no failure shows that one has ended; `sent_at` is when the
    request left.
    """
    values = headers.getall(LIMIT_HEADER, [])
    if not values and not target.limit.has_been_limited:
        return
    word = parse_limit(values)
    if word is None or (word.per_second is None and not (is_work and status < _FAILURES)):
        return
    permits.observe_answer(target.life, word, sent_at, request)


def review_rests(targets: Iterable[TargetRow], resting: set[str]) -> None:
    """Log the rests that are over; `resting` holds the names of those that rest between calls."""
    now = clock.monotonic()
    found = {row.target.name for row in targets if row.availability.is_backing_off(now)}
    for name in sorted(resting - found):
        decision("target-rested", target=name)
    resting.clear()
    resting.update(found)
    metrics.resting_targets.set({}, len(found))
