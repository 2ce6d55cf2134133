"""Read the notices that targets put into the heads of their responses.

A target can ask for a backoff period (Retry-After), announce that it shuts down, or name a rate
limit for all gateways together. Every response can carry a notice, whatever the request was.
"""

from collections.abc import Callable, Iterable

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.exchange.connection import ResponseHead, TargetConnection
from traystall.passthrough.health.board import TargetView
from traystall.systems.retry_after import RETRY_AFTER, SERVICE_UNAVAILABLE, parse_retry_after
from traystall.systems.target_limits import parse_limit

# Another incarnation at the address responds with this status. Its notices do not concern the
# requested one.
_MISDIRECTED = 421
# A response with this status or above is a failure. It does not end the phase after a backoff
# period in which a target gets only a few requests.
_FIRST_FAILURE_STATUS = 500
# Header values are truncated to this length in the log.
_MAX_LOGGED_CHARACTERS = 40


class TargetNoticeMonitor:
    """Process the notices in all responses, and log the start and end of backoff periods.

    `on_shutdown()` is called when a target announces that it shuts down.
    """

    def __init__(self, names: HeaderNames, on_shutdown: Callable[[], None]):
        self._names = names
        self._on_shutdown = on_shutdown
        # Targets in a backoff period whose end is not yet logged, by incarnation.
        self._in_backoff: dict[str, TargetView] = {}

    def on_response_head(
        self, view: TargetView, connection: TargetConnection, head: ResponseHead
    ) -> None:
        """Process the notices in a response head."""
        if head.status == _MISDIRECTED:
            return
        values = head.get_all(RETRY_AFTER) if head.status == SERVICE_UNAVAILABLE else []
        seconds = parse_retry_after(values, head.get("Date")) if values else 0.0
        if seconds:
            self._start_backoff(view, connection, head, seconds, values)
        elif head.status < _FIRST_FAILURE_STATUS:
            view.availability.on_answer(clock.monotonic())
        self._process_limit(view.permits, view.limit, self._names.limit, view, connection, head)
        self._process_limit(view.leases, view.brittle, self._names.brittle, view, connection, head)
        if head.get(self._names.leaving) not in (None, "", "0") and not view.availability.leaves:
            self._process_shutdown(view, head)

    def on_request_sent(self, view: TargetView, connection: TargetConnection) -> None:
        """Count requests that violate a backoff period or a rate limit; both counts should be 0."""
        if view.availability.is_backing_off(clock.monotonic()):
            metrics.sent_in_rest_total.inc({"pool": view.report.pool})
        if view.limit.is_limited and not connection.sent_request.is_covered:
            metrics.sent_beyond_limit_total.inc({"pool": view.report.pool})

    def review(self, views: Iterable[TargetView]) -> None:
        """Log the backoff periods that are over, and publish the gauges."""
        now = clock.monotonic()
        for life, view in list(self._in_backoff.items()):
            if not view.availability.is_backing_off(now):
                del self._in_backoff[life]
                decision("target-rested", target=life, pool=view.report.pool)
        metrics.resting_targets.set({}, len(self._in_backoff))
        metrics.leaving_targets.set({}, sum(view.availability.leaves for view in views))

    def _process_limit(self, limits, limit, name, view, connection, head):
        """Process what header `name` of a response announces, or its absence.

        A missing header ends an earlier limit only if the response belongs to the request sent
        last, that request was new work, and the response is no failure.
        """
        if limits is None:
            return
        values = head.get_all(name)
        if not values and not limit.has_been_limited:
            return
        announced = parse_limit(values)
        if announced is None:
            return
        sent_request = connection.sent_request
        response_request_id = head.get(self._names.request_id)
        in_order = sent_request.request_id is None or response_request_id in (
            None,
            sent_request.request_id,
        )
        if announced.per_second is None and not (
            sent_request.is_work and in_order and head.status < _FIRST_FAILURE_STATUS
        ):
            return
        if announced.per_second is not None and limits is view.permits:
            view.limit_connection = connection
        limits.observe_answer(
            view.report.life, announced, sent_request.sent_at, response_request_id or ""
        )

    def _start_backoff(self, view, connection, head, seconds, values):
        request = self._request_id(head)
        now = clock.monotonic()
        was_backing_off = view.availability.is_backing_off(now)
        if not view.availability.request_backoff(seconds, request, now):
            return
        view.backoff_connection = connection
        self._in_backoff[view.report.life] = view
        if not was_backing_off:
            metrics.rests_total.inc({"pool": view.report.pool})
            decision(
                "target-rests",
                target=view.report.life,
                pool=view.report.pool,
                seconds=seconds,
                value=", ".join(values)[:_MAX_LOGGED_CHARACTERS],
                request=request,
            )

    def _process_shutdown(self, view, head):
        view.availability.leaves = True
        decision(
            "target-leaves",
            target=view.report.life,
            pool=view.report.pool,
            value=(head.get(self._names.leaving) or "")[:_MAX_LOGGED_CHARACTERS],
            request=self._request_id(head),
        )
        self._on_shutdown()

    def _request_id(self, head) -> str:
        return (head.get(self._names.request_id) or "")[:_MAX_LOGGED_CHARACTERS]
