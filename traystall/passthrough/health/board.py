"""The targets known at one gateway, with their reported state and what the gateway has observed.

A target is known by its identity; each start of its process is one incarnation. Targets of a data
centre that an operator has evacuated remain known, but get no new work.
"""

from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec

from traystall.core import clock
from traystall.passthrough.exceptions import ExchangeError
from traystall.passthrough.exchange.connection import (
    CONNECT_TIMEOUT_SECONDS,
    ConnectionObserver,
    ResponseHead,
    TargetConnection,
    connect,
)
from traystall.passthrough.exchange.pool import ConnectionPool
from traystall.passthrough.health.data_centre_monitor import DataCentreMonitor
from traystall.passthrough.health.versions import VersionHistory
from traystall.permits.leases import Leases
from traystall.permits.permits import Permit, Permits
from traystall.quarantine.ends import TargetIncarnation
from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.table import Registry
from traystall.systems.backoff import backoff_seconds
from traystall.tables.availability import Availability
from traystall.tables.target_limits import TargetLimit

# A target is avoided after this many consecutive failures. The avoidance period doubles with each
# further failure, from the first value up to the maximum.
FAILURES_TO_AVOID = 2
_FIRST_AVOID_SECONDS = 0.4
_MAX_AVOID_SECONDS = 4.0
# Weight of the newest duration in the moving average of durations.
_LEARNING_WEIGHT = 0.2
# The learned duration loses half of its weight after this time without a response. Without the
# decay, a target that was slow for a moment got no work beside an idle one, so its average never
# recovered.
_HALF_LIFE_SECONDS = 5.0
# A ready target that has not reported for this time is used only if no other is left.
SILENT_TARGET_SECONDS = 4.0
# A target that has sent nothing for this time to the requests that it runs counts as silent for the
# moment. Reading a long prompt holds up the events of all its streams for less.
QUIET_SECONDS = 0.4


class TargetView(msgspec.Struct):
    """Hold one incarnation of a target with what this gateway has learned about it.

    Durations are in seconds, points in time in monotonic seconds. `ratio` is the duration of the
    target relative to others of its pool. `cold_until` is when the cold start ends; until then the
    target gets only few requests.

    `availability` holds the backoff period and the shutdown notice that the target sent to this
    gateway. `limit` is its rate limit for all gateways together, and `permits` obtains the permits
    to send within that limit. `backoff_connection` and `limit_connection` are the connections on
    which the latest backoff notice and the latest rate limit arrived.

    `brittle` holds how many rejections a second the target bears, if it says so. It then runs only
    requests that hold a lease of one of its places, which `leases` obtains.
    """

    report: TargetReport
    connections: ConnectionPool
    running: int = 0
    mean_seconds: float = 0.0
    learned_at: float = float("-inf")
    failures: int = 0
    avoid_until: float = float("-inf")
    avoid_count: int = 0
    is_replaced: bool = False
    ratio: float = 1.0
    cold_until: float = float("-inf")
    availability: Availability = msgspec.field(default_factory=Availability)
    backoff_connection: TargetConnection | None = None
    limit: TargetLimit = msgspec.field(default_factory=TargetLimit)
    permits: Permits | None = None
    limit_connection: TargetConnection | None = None
    brittle: TargetLimit = msgspec.field(default_factory=TargetLimit)
    leases: Leases | None = None
    # When bytes last arrived from it on any connection, and since when it owes bytes to a request
    # that runs. Both are not later than the reading of the bytes.
    heard_at: float = float("-inf")
    awaited_since: float = float("-inf")
    # Whether a probe, or a request that has left it, found it silent, and it has not been heard
    # since.
    is_silent: bool = False
    # Whether it sends back the ids of this gateway's own calls.
    echoes_call_ids: bool = False

    @property
    def is_ready(self) -> bool:
        """Return whether the target is ready and has not announced its shutdown."""
        return self.report.state is RegisteredState.READY and not self.availability.leaves

    def may_send_work(self, now: float) -> bool:
        """Return whether the target's state, its notices and its rate limit allow new work now."""
        return self.is_ready and self.availability.may_send_work(now) and not self.is_closed(now)

    def is_closed(self, now: float) -> bool:
        """Return whether other gateways use up its rate limit, or its places, for the moment."""
        return self.limit.is_closed(now) or self.brittle.is_closed(now)

    def is_unlent(self, now: float) -> bool:
        """Return whether it is limited or brittle and no gateway grants permits or places now."""
        return self.limit.is_unlent(now) or self.brittle.is_unlent(now)

    def is_covered(self, permit: Permit | None) -> bool:
        """Return whether the target's rate limit allows a request with `permit` now."""
        if not self.limit.is_limited:
            return True
        return self.permits is not None and self.permits.covers(self.report.life, permit)

    def blocked_until(self) -> float:
        """Return when the backoff period and the waits for its limits are all over."""
        closed = [limit.opens_at for limit in (self.limit, self.brittle) if limit.is_limited]
        return max([self.availability.backoff_until, *closed])

    @property
    def identity(self) -> str:
        """Return the identity of the target."""
        return self.report.identity

    def watched(self, evidence: Callable[[], str]) -> TargetIncarnation:
        """Return the description that is examined when a connection to the target breaks."""
        report = self.report
        return TargetIncarnation(
            report.life, report.address, report.pool, evidence, lambda: self.learned_at
        )

    def on_data(self, now: float) -> None:
        """Record that bytes arrived from the target."""
        self.heard_at = self.awaited_since = now
        self.is_silent = False

    def on_request_started(self, now: float) -> None:
        """Count a request that runs at the target from now on."""
        if not self.running:
            self.awaited_since = now
        self.running += 1

    def silent_seconds(self, now: float) -> float:
        """Return for how long the target has sent nothing to requests that run there; 0 if none."""
        return now - self.awaited_since if self.running else 0.0

    def expected_seconds(self, mean: float, now: float) -> float:
        """Return the expected duration; the learned one decays towards `mean`, that of its pool."""
        if not self.mean_seconds:
            return mean
        weight = 0.5 ** (max(0.0, now - self.learned_at) / _HALF_LIFE_SECONDS)
        return mean + (self.mean_seconds - mean) * weight

    def on_success(self, seconds: float, now: float) -> None:
        """Record a successful response with its duration."""
        self.on_response(now)
        if self.mean_seconds:
            self.mean_seconds += _LEARNING_WEIGHT * (seconds - self.mean_seconds)
        else:
            self.mean_seconds = seconds

    def on_response(self, now: float) -> None:
        """Record a successful response whose duration says nothing about the target's speed."""
        self.learned_at = now
        self.failures = 0
        self.avoid_count = 0

    def on_failure(self, now: float, random) -> None:
        """Record a failure; avoid the target with exponential backoff after several in a row.

        Failures during a period neither count nor extend it: they belong to requests that were in
        flight when it began, or that had no other target.
        """
        self.failures += 1
        if self.failures < FAILURES_TO_AVOID or now < self.avoid_until:
            return
        seconds = backoff_seconds(_FIRST_AVOID_SECONDS, _MAX_AVOID_SECONDS, self.avoid_count)
        self.avoid_count += 1
        self.avoid_until = max(self.avoid_until, now + seconds * random.uniform(0.75, 1.25))

    def on_other_path(self) -> None:
        """Forget failures of a path to the target, since another path to it works."""
        self.failures = 0
        self.avoid_count = 0
        self.avoid_until = float("-inf")

    def on_unreachable(self, now: float, random) -> None:
        """Avoid the target immediately, because no connection could be established."""
        self.failures = max(self.failures, FAILURES_TO_AVOID - 1)
        self.on_failure(now, random)


Dial = Callable[[TargetReport, ConnectionObserver], Awaitable[TargetConnection]]


async def dial_directly(report: TargetReport, observer: ConnectionObserver) -> TargetConnection:
    """Return a new connection to the address of a target; raise ConnectFailed."""
    return await connect(report.address, CONNECT_TIMEOUT_SECONDS, observer)


class TargetBoard:
    """Hold the targets of all pools, as the registry reports them.

    `dial` opens connections to them.
    """

    def __init__(
        self,
        random,
        max_connections,
        places: DataCentreMonitor,
        permits: Permits | None = None,
        leases: Leases | None = None,
        dial: Dial = dial_directly,
    ):
        self._dial = dial
        self.registry = Registry()
        self.places = places
        self._permits = permits
        self._leases = leases
        self._random = random
        self._max_connections = max_connections
        self._views: dict[str, TargetView] = {}
        self._pools: dict[str, list[TargetView]] = {}
        self.versions = VersionHistory()
        # Data centres whose targets get no new work.
        self.evacuated: frozenset[str] = frozenset()
        self.on_change: list = []
        # Callbacks for each request to a target and each response head from one.
        self.on_send: Callable[[TargetView, TargetConnection], None] = lambda view, connection: None
        self.on_head: Callable[[TargetView, TargetConnection, ResponseHead], None] = (
            lambda view, connection, head: None
        )
        # Called with an incarnation that one of another version replaces, and the time of its last
        # report.
        self.on_version_changed: Callable[[str, float], None] = lambda life, last_seen_at: None
        # Incremented whenever a target is added, removed or changed.
        self.generation = 0

    def merge(self, report: TargetReport, seen_at: float) -> None:
        """Merge a report about a target that came from a control daemon."""
        last_seen_at = self._last_seen_at(report.identity)
        if not self.registry.merge(report, seen_at):
            return
        row = self.registry.get(report.identity)
        self.versions.note(row.report.pool, row.report.version, clock.monotonic())
        view = self._views.get(report.identity)
        availability, limit = Availability(), None
        brittle = self._known_brittleness(report)
        if view is not None and 0 < view.report.started < row.report.started:
            # Connections, failures and learned durations belong to the previous incarnation. Its
            # connections are closed when it ends, so a notice that arrived on a connection that is
            # still open was sent by the new incarnation.
            is_open = view.backoff_connection is not None and not view.backoff_connection.is_closed
            availability = view.availability.for_next_incarnation(is_open)
            if view.limit_connection is not None and not view.limit_connection.is_closed:
                limit = view.limit
            if view.report.version != row.report.version:
                self.on_version_changed(view.report.life, last_seen_at)
            self._drop(report.identity)
            view = None
        if row.report.state is RegisteredState.GONE:
            if view is not None:
                # Requests that still run on the target see that its end was announced.
                view.report = row.report
            self._drop(report.identity)
        elif view is None:
            self._views[report.identity] = self._make_view(row, availability, limit, brittle)
        else:
            if self._permits is not None and view.report.life != row.report.life:
                view.limit = self._permits.register_incarnation(row.report.life, view.limit)
            if self._leases is not None and view.report.life != row.report.life:
                view.brittle = self._leases.register_incarnation(row.report.life, view.brittle)
            view.report = row.report
            view.cold_until = row.cold_until
        self._index()

    def _known_brittleness(self, report) -> TargetLimit | None:
        """Return what the target's last incarnation, or another target of its pool, announced.

        A target that returns after a fall announces it only in its first response; without this it
        would meet the whole load until then.
        """
        previous = self._views.get(report.identity)
        others = [view for view in self._views.values() if view.report.pool == report.pool]
        known = [view.brittle for view in (previous, *others) if view and view.brittle.is_limited]
        return known[0] if known else None

    def _make_view(self, row, availability, limit, brittle) -> TargetView:
        max_connections, dial = self._max_connections, self._dial
        observer = ConnectionObserver(
            lambda connection: self.on_send(view, connection),
            lambda connection, head: self.on_head(view, connection, head),
            lambda: view.on_data(clock.monotonic()),
        )
        report = row.report
        pool = ConnectionPool(
            report.address, lambda: max_connections(report.pool), lambda: dial(report, observer)
        )
        view = TargetView(row.report, pool, cold_until=row.cold_until, availability=availability)
        if self._permits is not None:
            view.permits = self._permits
            view.limit = self._permits.register_incarnation(row.report.life, limit)
        if self._leases is not None:
            view.leases = self._leases
            view.brittle = self._leases.register_incarnation(row.report.life, brittle)
        return view

    def record_seen(self, identity: str, seen_at: float) -> None:
        """Record that a target has reported."""
        self.registry.record_seen(identity, seen_at)

    def view(self, identity: str) -> TargetView | None:
        """Return the target with this identity, or None."""
        return self._views.get(identity)

    def identities(self) -> set[str]:
        """Return the identities of all known targets."""
        return set(self._views)

    def end_evidence(self, view: TargetView) -> str:
        """Return the evidence that an incarnation of a target has ended, or an empty string."""
        if view.is_replaced:
            return "another life answers at its address"
        known = self._views.get(view.identity)
        if known is not None and known is not view:
            return "it has started again"
        newest = self.at_address(view.report.address)
        if newest is not None and newest is not view:
            return "another target is at its address"
        return ""

    def at_address(self, address: str) -> TargetView | None:
        """Return the most recently seen target at IP:PORT, or None."""
        found = [view for view in self._views.values() if view.report.address == address]
        return max(found, key=lambda view: self._seen_at(view), default=None)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Replace the set of evacuated data centres, whose targets get no new work."""
        self.evacuated = data_centres
        self._index()

    def mark_data_centre_cold(
        self, data_centre: str, cold_seconds: Callable[[str], float], now: float
    ):
        """Treat the targets of a data centre as cold until they report otherwise.

        The targets were idle, and their own reports may arrive after the first requests.
        `cold_seconds(pool)` is the duration of a cold start in a pool.
        """
        for view in self._views.values():
            if view.report.data_centre == data_centre:
                until = now + cold_seconds(view.report.pool)
                view.cold_until = max(view.cold_until, until)

    def pool(self, name: str) -> list[TargetView]:
        """Return the targets of a pool that are ready and not shutting down."""
        return self._pools.get(name, [])

    def data_centres(self, name: str) -> Counter[str]:
        """Return the number of targets of a pool per data centre, without evacuated ones."""
        return Counter(view.report.data_centre for view in self.eligible(name))

    def eligible(self, name: str, places: tuple[str, ...] = ()) -> list[TargetView]:
        """Return the targets of a pool in the data centres `places`, without evacuated ones.

        An empty `places` allows all data centres.
        """
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
        include_closed: bool = False,
    ) -> list[TargetView]:
        """Return the targets of a pool that may get work now; suspected ones only if all are.

        Targets outside the data centres `places`, in evacuated data centres, in a backoff period or
        without a lender are always excluded, even if all others are suspected of a failure. Targets
        whose rate limit is used up by other gateways for the moment are excluded unless
        `include_closed` is set.

        The remaining targets are narrowed down to those without recent failures, then to reachable
        data centres, then to targets that report, then to those that were not
        found silent. If a step leaves none, the step before counts.
        """
        ready = [
            view
            for view in self.eligible(name, places)
            if not view.is_replaced
            and view.availability.may_send_work(now)
            and not view.is_unlent(now)
            and (include_closed or not view.is_closed(now))
        ]
        healthy = [view for view in ready if now >= view.avoid_until]
        reachable = [
            view for view in healthy if not self.places.is_unreachable(view.report.data_centre, now)
        ]
        reporting = [view for view in reachable if not self._is_silent(view, registry_heard_at)]
        heard = [view for view in reporting if not view.is_silent]
        return heard or reporting or reachable or healthy or ready

    def backoff_left(self, name: str, now: float, places: tuple[str, ...] = ()) -> float:
        """Return how long all targets of a pool are unavailable, in seconds; 0 if one is available.

        The cause is a backoff period, or a rate limit that other gateways have used up.
        """
        found = [view for view in self.eligible(name, places) if not view.is_replaced]
        return max(0.0, min((view.blocked_until() - now for view in found), default=0.0))

    def total_rate_limit(self, name: str, places: tuple[str, ...] = ()) -> float | None:
        """Return the sum of the rate limits of a pool per second, or None if a target has none."""
        found = [view for view in self.eligible(name, places) if not view.is_replaced]
        if not found or not all(view.limit.is_limited for view in found):
            return None
        return sum(view.limit.per_second for view in found)

    def is_brittle(self, name: str, places: tuple[str, ...] = ()) -> bool:
        """Return whether all targets of a pool are brittle."""
        found = [view for view in self.eligible(name, places) if not view.is_replaced]
        return bool(found) and all(view.brittle.is_limited for view in found)

    def unavailable(self, name: str, now: float) -> set[str]:
        """Return the identities of the targets of a pool that get no work from this gateway.

        They are in a backoff period, shutting down, or their rate limit is used up.
        """
        known = [view for view in self._views.values() if view.report.pool == name]
        return {view.identity for view in known if not view.may_send_work(now)}

    def next_available_seconds(
        self, name: str, excluded: set[str], now: float, places: tuple[str, ...] = ()
    ) -> float:
        """Return in how many seconds the next unavailable target of a pool becomes available.

        The target is in a backoff period, or its rate limit is used up. A target that waits for its
        first response after a backoff period counts with 0 seconds. Return infinity if no target is
        unavailable.
        """
        return min(
            (
                max(0.0, view.blocked_until() - now)
                for view in self.eligible(name, places)
                if view.identity not in excluded and not view.may_send_work(now)
            ),
            default=float("inf"),
        )

    def views(self) -> list[TargetView]:
        """Return all known targets."""
        return list(self._views.values())

    def lives(self) -> set[str]:
        """Return the incarnations of all known targets."""
        return {view.report.life for view in self._views.values()}

    def data_centre_of(self, life: str) -> str:
        """Return the data centre of an incarnation of a target, or an empty string."""
        view = self._views.get(life) or self._views.get(life.rpartition("@")[0])
        return view.report.data_centre if view is not None else ""

    def reindex(self) -> None:
        """Rebuild the pools after a target has announced its shutdown in a response."""
        self._index()

    def mean_seconds(self, name: str) -> float:
        """Return the median over the targets of a pool of their mean durations, or 0."""
        known = sorted(view.mean_seconds for view in self.pool(name) if view.mean_seconds)
        return known[len(known) // 2] if known else 0.0

    def on_exchange_error(self, view: TargetView, error: ExchangeError, now: float) -> None:
        """Record a failed exchange with a target."""
        if error.silent:
            self.places.on_no_response(view.report.data_centre, view.identity, now)
        if error.silent or not error.sent:
            view.on_unreachable(now, self._random)
        else:
            view.on_failure(now, self._random)

    def close(self) -> None:
        """Close every connection."""
        for view in self._views.values():
            view.connections.close()

    def _seen_at(self, view):
        return self._last_seen_at(view.identity)

    def _last_seen_at(self, identity):
        row = self.registry.get(identity)
        return row.seen_at if row else float("-inf")

    def _is_silent(self, view, registry_heard_at):
        """Return whether the registry responds but has not heard of the target for long."""
        return registry_heard_at - self._seen_at(view) > SILENT_TARGET_SECONDS

    def _drop(self, identity):
        view = self._views.pop(identity, None)
        if view is not None:
            view.connections.close_idle()

    def _index(self):
        pools: dict[str, list[TargetView]] = {}
        versions: dict[str, set[str]] = {}
        for view in self._views.values():
            versions.setdefault(view.report.pool, set()).add(view.report.version)
            if view.is_ready:
                pools.setdefault(view.report.pool, []).append(view)
        for views in pools.values():
            views.sort(key=lambda view: view.identity)
        self._pools = pools
        self.versions.set_present(versions, clock.monotonic())
        self.generation += 1
        for callback in self.on_change:
            callback()
