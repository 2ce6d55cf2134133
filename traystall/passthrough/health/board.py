"""Targets as one gateway sees them: what they report, what it has running there, how they do.

Where an operator has evacuated a data centre, its targets are known but not usable.
"""

from collections import Counter
from collections.abc import Callable

import msgspec

from traystall.passthrough.exceptions import ExchangeError
from traystall.passthrough.exchange.connection import (
    ConnectionObserver,
    ResponseHead,
    TargetConnection,
)
from traystall.passthrough.exchange.pool import ConnectionPool
from traystall.passthrough.health.places import DataCentreWatch
from traystall.permits.permits import Permit, Permits
from traystall.quarantine.ends import WatchedTarget
from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.table import Registry
from traystall.tables.asked import Asked
from traystall.tables.target_limits import TargetLimit

FAILURES_TO_AVOID = 2
_FIRST_AVOID_SECONDS = 0.4
_MAX_AVOID_SECONDS = 4.0
# Weight of the newest duration in the learned mean.
_LEARNING = 0.2
# What was learned of a target counts half after so many seconds without an answer: one that was
# slow for a moment got nothing beside an idle one, and so nothing better was ever learned.
_HALF_LIFE_SECONDS = 5.0
# A ready target that has been silent this long, in seconds, is used only if no other is left.
SILENT_SECONDS = 4.0


class TargetView(msgspec.Struct):
    """Hold one life of a target with what this gateway has learned of it.

    Durations are seconds, times monotonic seconds; `ratio` is how long the
    target takes compared with others of its pool.
    """

    report: TargetReport
    connections: ConnectionPool
    running: int = 0
    mean_seconds: float = 0.0
    learned_at: float = float("-inf")
    failures: int = 0
    avoid_until: float = float("-inf")
    avoided: int = 0
    is_misplaced: bool = False
    # How long it takes beside the others of its pool.
    ratio: float = 1.0
    # Until when it counts as cold: it gets little then.
    cold_until: float = float("-inf")
    # What it has asked of this gateway, and the connection on which it asked for rest.
    asked: Asked = msgspec.field(default_factory=Asked)
    asked_on: TargetConnection | None = None
    # What it takes from all gateways together, who lends that, and the connection on which it was
    # named last.
    limit: TargetLimit = msgspec.field(default_factory=TargetLimit)
    permits: Permits | None = None
    limited_on: TargetConnection | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether it has said nowhere that it leaves."""
        return self.report.state is RegisteredState.READY and not self.asked.leaves

    def may_get_work(self, now: float) -> bool:
        """Return whether new work may be sent now, by what it has asked for and reported."""
        return self.is_ready and self.asked.may_get_work(now) and not self.limit.is_closed(now)

    def is_covered(self, permit: Permit | None) -> bool:
        """Return whether a request may be sent now by what it takes from all gateways."""
        if not self.limit.is_limited:
            return True
        return self.permits is not None and self.permits.covers(self.report.life, permit)

    def blocked_until(self) -> float:
        """Return when it may be asked for something again, by its rest and its limit."""
        closed = self.limit.closed_until if self.limit.is_limited else float("-inf")
        return max(self.asked.rest_until, closed)

    @property
    def identity(self) -> str:
        """Return the name of this life of the target."""
        return self.report.identity

    def watched(self, evidence: Callable[[], str]) -> WatchedTarget:
        """Return what is looked into when a connection to it breaks."""
        report = self.report
        return WatchedTarget(
            report.life, report.address, report.pool, evidence, lambda: self.learned_at
        )

    def usual_seconds(self, mean: float, now: float) -> float:
        """Return how long it takes; what was learned fades towards `mean`, that of its pool."""
        if not self.mean_seconds:
            return mean
        weight = 0.5 ** (max(0.0, now - self.learned_at) / _HALF_LIFE_SECONDS)
        return mean + (self.mean_seconds - mean) * weight

    def on_success(self, seconds: float, now: float) -> None:
        """Learn from an answer that came at `now`."""
        self.learned_at = now
        self.failures = 0
        self.avoided = 0
        if self.mean_seconds:
            self.mean_seconds += _LEARNING * (seconds - self.mean_seconds)
        else:
            self.mean_seconds = seconds

    def on_failure(self, now: float, random) -> None:
        """Count a failure; keep work away for a growing time after several in a row."""
        self.failures += 1
        if self.failures < FAILURES_TO_AVOID:
            return
        seconds = min(_MAX_AVOID_SECONDS, _FIRST_AVOID_SECONDS * 2**self.avoided)
        self.avoided += 1
        self.avoid_until = max(self.avoid_until, now + seconds * random.uniform(0.75, 1.25))

    def on_unreachable(self, now: float, random) -> None:
        """Keep work away at once: no connection came up."""
        self.failures = max(self.failures, FAILURES_TO_AVOID - 1)
        self.on_failure(now, random)


class TargetBoard:
    """Hold the targets of all pools, fed by the registry."""

    def __init__(
        self, random, max_connections, places: DataCentreWatch, permits: Permits | None = None
    ):
        self.registry = Registry()
        self.places = places
        self._permits = permits
        self._random = random
        self._max_connections = max_connections
        self._views: dict[str, TargetView] = {}
        self._pools: dict[str, list[TargetView]] = {}
        # Data centres whose targets get no new work.
        self.evacuated: frozenset[str] = frozenset()
        self.on_change: list = []
        # Told of what is sent to targets, and of the heads of their answers.
        self.on_send: Callable[[TargetView, TargetConnection], None] = lambda view, connection: None
        self.on_head: Callable[[TargetView, TargetConnection, ResponseHead], None] = (
            lambda view, connection, head: None
        )
        # Grows whenever a target comes, goes or changes.
        self.generation = 0

    def merge(self, report: TargetReport, seen_at: float) -> None:
        """Take in what a control daemon tells of a target."""
        if not self.registry.merge(report, seen_at):
            return
        row = self.registry.get(report.identity)
        view = self._views.get(report.identity)
        asked, limit = Asked(), None
        if view is not None and 0 < view.report.started < row.report.started:
            # Connections, failures and learned times belong to the life that has ended. No
            # connection outlives it: what was asked on one that is open, the new life has asked.
            is_open = view.asked_on is not None and not view.asked_on.is_closed
            asked = view.asked.for_next_life(is_open)
            if view.limited_on is not None and not view.limited_on.is_closed:
                limit = view.limit
            self._drop(report.identity)
            view = None
        if row.report.state is RegisteredState.GONE:
            if view is not None:
                # Whoever still runs a request there sees that its end was announced.
                view.report = row.report
            self._drop(report.identity)
        elif view is None:
            self._views[report.identity] = self._make_view(row, asked, limit)
        else:
            if self._permits is not None and view.report.life != row.report.life:
                view.limit = self._permits.adopt(row.report.life, view.limit)
            view.report = row.report
            view.cold_until = row.cold_until
        self._index()

    def _make_view(self, row, asked, limit) -> TargetView:
        most = self._max_connections
        observer = ConnectionObserver(
            lambda connection: self.on_send(view, connection),
            lambda connection, head: self.on_head(view, connection, head),
        )
        pool = ConnectionPool(row.report.address, lambda: most(row.report.pool), observer)
        view = TargetView(row.report, pool, cold_until=row.cold_until, asked=asked)
        if self._permits is not None:
            view.permits = self._permits
            view.limit = self._permits.adopt(row.report.life, limit)
        return view

    def saw(self, identity: str, seen_at: float) -> None:
        """Take in that a target has reported."""
        self.registry.saw(identity, seen_at)

    def view(self, identity: str) -> TargetView | None:
        """Return one target, or None."""
        return self._views.get(identity)

    def identities(self) -> set[str]:
        """Return the names of all targets that are known."""
        return set(self._views)

    def sign_of_end(self, view: TargetView) -> str:
        """Return how it shows that a life of a target has ended, or an empty string."""
        if view.is_misplaced:
            return "another life answers at its address"
        known = self._views.get(view.identity)
        if known is not None and known is not view:
            return "it has started again"
        newest = self.at_address(view.report.address)
        if newest is not None and newest is not view:
            return "another target is at its address"
        return ""

    def at_address(self, address: str) -> TargetView | None:
        """Return the newest target known at IP:PORT, or None."""
        found = [view for view in self._views.values() if view.report.address == address]
        return max(found, key=lambda view: self._seen_at(view), default=None)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Use the targets of these data centres no more, and those of all others again."""
        self.evacuated = data_centres
        self._index()

    def expect_cold(self, data_centre: str, cold_seconds: Callable[[str], float], now: float):
        """Take the targets of a data centre for cold until they tell otherwise.

        They rested: what they say themselves may come after the first work for them.
        `cold_seconds(pool)` is how long targets of a pool stay cold.
        """
        for view in self._views.values():
            if view.report.data_centre == data_centre:
                until = now + cold_seconds(view.report.pool)
                view.cold_until = max(view.cold_until, until)

    def pool(self, name: str) -> list[TargetView]:
        """Return the targets of a pool that have not said that they leave."""
        return self._pools.get(name, [])

    def data_centres(self, name: str) -> Counter[str]:
        """Return how many targets of a pool each data centre has that is not evacuated."""
        return Counter(view.report.data_centre for view in self.inside(name))

    def inside(self, name: str, places: tuple[str, ...] = ()) -> list[TargetView]:
        """Return the targets of a pool in `places` (none: anywhere) that are not evacuated."""
        return [
            view
            for view in self.pool(name)
            if view.report.data_centre not in self.evacuated
            and (not places or view.report.data_centre in places)
        ]

    def usable(
        self,
        name: str,
        now: float,
        registry_heard_at: float,
        places: tuple[str, ...] = (),
        closed_too: bool = False,
    ) -> list[TargetView]:
        """Return the targets of a pool to which work may go now, doubtful ones only if all are.

        Where data centres are named, targets outside them are left out first, and
        those of evacuated ones always: no doubt about the others brings them back. Neither does
        it bring back what has asked for rest. What takes no more from this gateway for the moment,
        since others have its limit, is left out unless `closed_too`.
        """
        ready = [
            view
            for view in self.inside(name, places)
            if not view.is_misplaced
            and view.asked.may_get_work(now)
            and (closed_too or not view.limit.is_closed(now))
        ]
        sound = [view for view in ready if now >= view.avoid_until]
        near = [view for view in sound if not self.places.is_out(view.report.data_centre, now)]
        heard = [view for view in near if not self._is_silent(view, registry_heard_at)]
        return heard or near or sound or ready

    def rest_left(self, name: str, now: float, places: tuple[str, ...] = ()) -> float:
        """Return how long all targets of a pool may not be asked, in seconds; 0 if one may.

        They rest, or others have what they take.
        """
        found = [view for view in self.inside(name, places) if not view.is_misplaced]
        return max(0.0, min((view.blocked_until() - now for view in found), default=0.0))

    def whole_limit(self, name: str, places: tuple[str, ...] = ()) -> float | None:
        """Return what all targets of a pool take a second together, None if one names no limit."""
        found = [view for view in self.inside(name, places) if not view.is_misplaced]
        if not found or not all(view.limit.is_limited for view in found):
            return None
        return sum(view.limit.per_second for view in found)

    def held_back(self, name: str, now: float) -> set[str]:
        """Return the names of the targets of a pool that get no work from here.

        They rest or leave, or others have what they take.
        """
        known = [view for view in self._views.values() if view.report.pool == name]
        return {view.identity for view in known if not view.may_get_work(now)}

    def next_available_seconds(
        self, name: str, excluded: set[str], now: float, places: tuple[str, ...] = ()
    ) -> float:
        """Return how long the next target of a pool is not asked, in seconds; inf if none is so.

        It rests, or others have what it takes. One that has just rested and waits for its first
        answer counts as rested in no time.
        """
        return min(
            (
                max(0.0, view.blocked_until() - now)
                for view in self.inside(name, places)
                if view.identity not in excluded and not view.may_get_work(now)
            ),
            default=float("inf"),
        )

    def views(self) -> list[TargetView]:
        """Return all targets that are known."""
        return list(self._views.values())

    def lives(self) -> set[str]:
        """Return the names of the lives of all targets that are known."""
        return {view.report.life for view in self._views.values()}

    def data_centre_of(self, life: str) -> str:
        """Return where a life of a target is, an empty text if it is not known."""
        view = self._views.get(life) or self._views.get(life.rpartition("@")[0])
        return view.report.data_centre if view is not None else ""

    def reindex(self) -> None:
        """Take in that a target has said in an answer that it leaves."""
        self._index()

    def mean_seconds(self, name: str) -> float:
        """Return the middle of what the targets of a pool take, 0 if nothing is known."""
        known = sorted(view.mean_seconds for view in self.pool(name) if view.mean_seconds)
        return known[len(known) // 2] if known else 0.0

    def on_exchange_error(self, view: TargetView, error: ExchangeError, now: float) -> None:
        """Learn from an attempt that failed on its way."""
        if error.silent:
            self.places.on_silent(view.report.data_centre, view.identity, now)
        if error.silent or not error.sent:
            view.on_unreachable(now, self._random)
        else:
            view.on_failure(now, self._random)

    def close(self) -> None:
        """Close every connection."""
        for view in self._views.values():
            view.connections.close()

    def _seen_at(self, view):
        row = self.registry.get(view.identity)
        return row.seen_at if row else float("-inf")

    def _is_silent(self, view, registry_heard_at):
        """Return whether the registry still answers but has long not heard of the target."""
        return registry_heard_at - self._seen_at(view) > SILENT_SECONDS

    def _drop(self, identity):
        view = self._views.pop(identity, None)
        if view is not None:
            view.connections.close_idle()

    def _index(self):
        pools: dict[str, list[TargetView]] = {}
        for view in self._views.values():
            if view.is_ready:
                pools.setdefault(view.report.pool, []).append(view)
        for views in pools.values():
            views.sort(key=lambda view: view.identity)
        self._pools = pools
        self.generation += 1
        for callback in self.on_change:
            callback()
