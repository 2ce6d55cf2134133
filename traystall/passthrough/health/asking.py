"""Hear what targets ask for in the heads of their answers, whatever was asked of them."""

from collections.abc import Callable, Iterable

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.exchange.connection import ResponseHead, TargetConnection
from traystall.passthrough.health.board import TargetView
from traystall.systems.rests import RETRY_AFTER, TURNED_AWAY, rest_seconds
from traystall.systems.target_limits import read_limit

# Another life answers so; what it says is not said of the one that was asked.
_MISDIRECTED = 421
# Statuses from here on are failures, after which one that has rested still gets little.
_FAILURES = 500
# So much of a header's value is logged.
_LOGGED_CHARACTERS = 40


class AskingWatch:
    """Take in the head of every answer of every target, and log when a rest or a leave begins.

    `on_leaving()` is called when a target has said that it leaves.
    """

    def __init__(self, names: HeaderNames, on_leaving: Callable[[], None]):
        self._names = names
        self._on_leaving = on_leaving
        # Those that rest, until that is logged as over.
        self._resting: dict[str, TargetView] = {}

    def heard(self, view: TargetView, connection: TargetConnection, head: ResponseHead) -> None:
        """Take in the head of an answer."""
        if head.status == _MISDIRECTED:
            return
        values = head.get_all(RETRY_AFTER) if head.status == TURNED_AWAY else []
        seconds = rest_seconds(values, head.get("Date")) if values else 0.0
        if seconds:
            self._rest(view, connection, head, seconds, values)
        elif head.status < _FAILURES:
            view.asked.on_answer(clock.monotonic())
        self._hear_limit(view, connection, head)
        if head.get(self._names.leaving) not in (None, "", "0") and not view.asked.leaves:
            self._leave(view, head)

    def sent(self, view: TargetView, connection: TargetConnection) -> None:
        """Count what is sent against the word of a target, whoever sends it: nothing should be."""
        if view.asked.rests(clock.monotonic()):
            metrics.sent_in_rest_total.inc({"pool": view.report.pool})
        if view.limit.is_limited and not connection.sent_request.is_covered:
            metrics.sent_beyond_limit_total.inc({"pool": view.report.pool})

    def review(self, views: Iterable[TargetView]) -> None:
        """Log the rests that are over, and publish how many targets rest and leave."""
        now = clock.monotonic()
        for life, view in list(self._resting.items()):
            if not view.asked.rests(now):
                del self._resting[life]
                decision("target-rested", target=life, pool=view.report.pool)
        metrics.resting_targets.set({}, len(self._resting))
        metrics.leaving_targets.set({}, sum(view.asked.leaves for view in views))

    def _hear_limit(self, view, connection, head):
        """Take in whether an answer names a limit for all gateways together.

        Only an answer to work that came in order, and is no failure, shows that one has ended.
        """
        if view.permits is None:
            return
        values = head.get_all(self._names.limit)
        if not values and not view.limit.was_named:
            return
        word = read_limit(values)
        if word is None:
            return
        sent_request = connection.sent_request
        answered = head.get(self._names.request_id)
        in_order = sent_request.request_id is None or answered in (None, sent_request.request_id)
        if word.per_second is None and not (
            sent_request.is_work and in_order and head.status < _FAILURES
        ):
            return
        if word.per_second is not None:
            view.limited_on = connection
        view.permits.hear(view.report.life, word, sent_request.sent_at, answered or "")

    def _rest(self, view, connection, head, seconds, values):
        request = self._request_of(head)
        now = clock.monotonic()
        was_resting = view.asked.rests(now)
        if not view.asked.ask_rest(seconds, request, now):
            return
        view.asked_on = connection
        self._resting[view.report.life] = view
        if not was_resting:
            metrics.rests_total.inc({"pool": view.report.pool})
            decision(
                "target-rests",
                target=view.report.life,
                pool=view.report.pool,
                seconds=seconds,
                value=", ".join(values)[:_LOGGED_CHARACTERS],
                request=request,
            )

    def _leave(self, view, head):
        view.asked.leaves = True
        decision(
            "target-leaves",
            target=view.report.life,
            pool=view.report.pool,
            value=(head.get(self._names.leaving) or "")[:_LOGGED_CHARACTERS],
            request=self._request_of(head),
        )
        self._on_leaving()

    def _request_of(self, head) -> str:
        return (head.get(self._names.request_id) or "")[:_LOGGED_CHARACTERS]
