"""Apply what targets announce: leaving, backoff periods and rate limits; log the changes."""

from collections.abc import Iterable, Mapping

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.permits.permits import Permits
from traystall.systems import membership
from traystall.systems.retry_after import RETRY_AFTER, SERVICE_UNAVAILABLE, parse_retry_after
from traystall.systems.target_limits import LIMIT_HEADER, parse_limit
from traystall.tables.targets import TargetRow

_TOO_MANY_REQUESTS = 429
# Statuses from here on are failures, which are no evidence that a rate limit has ended.
_FAILURE_STATUS = 500


def apply_presence(target: TargetRow, report: membership.PresenceReport) -> None:
    """Apply a report of a target's state; log it if it changed anything."""
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


def apply_backoff(target: TargetRow, status: int, headers: Mapping, request: str = "") -> None:
    """Start a backoff period if the headers of any response of a target ask for one."""
    if status not in (SERVICE_UNAVAILABLE, _TOO_MANY_REQUESTS):
        return
    now = clock.monotonic()
    seconds = parse_retry_after(headers.getall(RETRY_AFTER, []), headers.get("Date"))
    had_backoff = target.availability.is_backing_off(now)
    if seconds and target.availability.request_backoff(seconds, request, now) and not had_backoff:
        metrics.rests_total.inc({"pool": target.target.pool})
        decision("target-rests", target=target.target.name, seconds=seconds, request=request)


def apply_rate_limit(
    permits: Permits,
    target: TargetRow,
    status: int,
    headers: Mapping,
    sent_at: float,
    request: str = "",
    is_work: bool = True,
) -> None:
    """Apply the rate limit for all gateways that the headers of a response announce, if any.

    Only a successful response to work without such a header ends a limit. `sent_at` is the time
    at which the request was sent.
    """
    values = headers.getall(LIMIT_HEADER, [])
    if not values and not target.limit.has_been_limited:
        return
    limit = parse_limit(values)
    if limit is None or (limit.per_second is None and not (is_work and status < _FAILURE_STATUS)):
        return
    permits.observe_answer(target.life, limit, sent_at, request)


def log_ended_backoffs(targets: Iterable[TargetRow], resting: set[str]) -> None:
    """Log ended backoff periods; `resting` has the targets in one and is updated by each call."""
    now = clock.monotonic()
    found = {row.target.name for row in targets if row.availability.is_backing_off(now)}
    for name in sorted(resting - found):
        decision("target-rested", target=name)
    resting.clear()
    resting.update(found)
    metrics.resting_targets.set({}, len(found))
