"""State that the components of a pass-through gateway share.

A stage of a request is split into pieces, which are sent to a pool of targets in batches. A cell
is a group of data centres that batches pieces for itself; one gateway of the cell, its batching
owner, does so for all of them. A view is what a gateway knows of one target.
"""

import asyncio
import random as random_module
from collections import Counter

from traystall.admission.pool_sharing import shared_pools
from traystall.core import clock
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.gateway.configuration import ConfigurationFollower
from traystall.passthrough.admission.budget import RepeatBudget, RepeatBudgetRule
from traystall.passthrough.dialect import HeaderNames, StageDialect
from traystall.passthrough.exchange.answer_room import AnswerRoom
from traystall.passthrough.health.board import TargetBoard, TargetView
from traystall.passthrough.health.cold import ColdStartLimit
from traystall.passthrough.health.cold_targets import ColdStartLimiter
from traystall.passthrough.health.data_centre_monitor import DataCentreMonitor
from traystall.passthrough.health.notices import TargetNoticeMonitor
from traystall.passthrough.health.target_prober import TargetProber
from traystall.passthrough.ownership.owners import OwnerSelector, batching_key
from traystall.passthrough.stages.cells import Cells, batching_cells
from traystall.passthrough.tunnels.dialer import TargetDialer
from traystall.permits.leases import Leases
from traystall.permits.lenders import SETTLE_SECONDS, LenderRanking
from traystall.permits.permits import Permits
from traystall.quarantine.guard import RequestGuard
from traystall.registry.follower import RegistryFollower
from traystall.routes.matching import RouteIndex
from traystall.streams.origins import StreamOrigins
from traystall.systems.permits import FIRST_LENDER_SHARE
from traystall.tables.gateways import GatewayRow

_MIN_CONNECTIONS = 4
# A registry that has not replied for this time may know targets of versions that are unknown here.
_REGISTRY_SILENCE_SECONDS = 2.0
# All targets have reported again to a registry that restarted so long ago.
_REGISTRY_RESTART_SECONDS = 4.0
_MAX_ENGINE_SCALE = 3.0
# Interval between checks for a configuration at the start.
_CONFIGURATION_POLL_SECONDS = 0.02
# Retries after a backoff are spread over this fraction of the backoff, within the two bounds.
_RETRY_SPREAD_RATIO = 0.25
_MIN_RETRY_SPREAD_SECONDS, _MAX_RETRY_SPREAD_SECONDS = 0.1, 1.0
# Upper bound of the retry delay that a rate-limited pool adds.
_MAX_PERMIT_INTERVAL_SECONDS = 2.0
# Weight of the newest sample in the moving averages of durations.
_SAMPLE_WEIGHT = 0.15
# The expected duration of a route's responses halves in this time without one. Callers that were
# held up together have deadlines of some seconds, in which it must hardly change.
_RESPONSE_HALF_LIFE_SECONDS = 60.0


class PassContext:
    """State of one pass-through gateway."""

    def __init__(
        self,
        data_centre: str,
        identity: str,
        names: HeaderNames,
        stage_dialect: StageDialect,
        budget_rule: RepeatBudgetRule,
        cold_rule: ColdStartLimit = ColdStartLimit(),  # noqa: B008 - it is frozen.
        lender_settle_seconds: float = SETTLE_SECONDS,
    ):
        self.data_centre = data_centre
        self.identity = identity
        self.names = names
        self.stage_dialect = stage_dialect
        self.random = random_module.Random()
        self.places = DataCentreMonitor(data_centre)
        lender_ranking = LenderRanking(identity, lender_settle_seconds)
        self.permits = Permits(identity, self.directory, self.random, lender_ranking)
        self.leases = Leases(identity, self.directory, self.random, lender_ranking)
        self.dialer = TargetDialer(self)
        self.board = TargetBoard(
            self.random,
            self.max_connections,
            self.places,
            self.permits,
            self.leases,
            self.dialer.dial,
        )
        self.notices = TargetNoticeMonitor(names, self.board.reindex)
        self.board.on_send = self.notices.on_request_sent
        self.board.on_head = self.notices.on_response_head
        self.follower: ConfigurationFollower | None = None
        self.registry: RegistryFollower | None = None
        self.owners = OwnerSelector(self)
        self.answer_room = AnswerRoom()
        self.batcher = None
        self.placement_service = None
        self.guard: RequestGuard | None = None
        # Key of the digests that name requests and streams to other processes.
        self.digest_key = b""
        self.streams = StreamOrigins(identity, data_centre, self.directory, self.only_version)
        self.board.on_version_changed = self.streams.on_target_replaced
        self.prober = TargetProber(self)
        self.cold = ColdStartLimiter(self, cold_rule)
        self._budget_rule = budget_rule
        self._budgets: dict[str, RepeatBudget] = {}
        self._stage_seconds: dict[str, float] = {}
        # By route, the moving average of the seconds from the start of a request at its target to
        # the end of its response, and when the last one ended.
        self._response_seconds: dict[str, tuple[float, float]] = {}
        # Number of this gateway's requests whose stages are running, by the pool that they need
        # next.
        self.pending_by_pool: Counter[str] = Counter()
        self._engine_scale = 1.0
        # Cached cells, with the generation of targets and the revision that they are based on.
        self._cells = Cells()
        self._cells_version = (-1, -1)
        # Cached pools whose capacity is divided into shares, with the revision they are based on.
        self._shared_pools: frozenset[str] = frozenset()
        self._shared_pools_revision = -1

    @property
    def index(self) -> RouteIndex:
        """Return the routes in force."""
        return self.follower.held.tables.index

    def is_behind(self) -> bool:
        """Return whether a newer accepted revision is known that is not in force here yet."""
        newest = max(self.registry.newest_revision, self.follower.newest_revision)
        return newest > self.index.number

    async def wait_for_configuration(self, seconds: float) -> None:
        """Return once a configuration is in force, or after `seconds`."""
        deadline = clock.monotonic() + seconds
        while not self.index.number and clock.monotonic() < deadline:
            await asyncio.sleep(_CONFIGURATION_POLL_SECONDS)

    def directory(self) -> list[GatewayRow]:
        """Return the known gateways."""
        return self.follower.directory if self.follower is not None else []

    def gateways(self) -> int:
        """Return the number of known gateways, including this one."""
        return max(1, len(self.follower.directory))

    def max_connections(self, pool: str) -> int:
        """Return this gateway's share of the connections that a target of a pool accepts."""
        found = self.index.pools.get(pool)
        total = found.max_connections if found else _MIN_CONNECTIONS
        return max(_MIN_CONNECTIONS, total // (self.gateways() + 1))

    def budget(self, pool: str) -> RepeatBudget:
        """Return this gateway's retry budget for a pool."""
        found = self._budgets.get(pool)
        if found is None:
            found = self._budgets[pool] = RepeatBudget(self._budget_rule)
        return found

    def consume_repeat(self, pool: str, now: float, count: int = 1) -> bool:
        """Take retries from the budget of a pool; return whether the budget allowed them.

        `now` is in monotonic seconds; the retries are given back by it.
        """
        return self.budget(pool).try_consume(now, self.gateways(), count)

    def on_evacuations(self, before: EvacuatedDataCentres, after: EvacuatedDataCentres) -> None:
        """Stop using the evacuated data centres; treat targets in restored ones as cold."""
        for data_centre in before.data_centres - after.data_centres:
            self.cold.mark_cold(data_centre)
        self.board.set_evacuated(after.data_centres)

    def is_evacuated(self, view: TargetView) -> bool:
        """Return whether the data centre of a target is evacuated, so that it gets no new work."""
        return view.report.data_centre in self.board.evacuated

    def only_version(self, pools: list[str], seconds: float) -> str | None:
        """Return the software version of all targets known in some pools in the last `seconds`.

        Return None if there were several, or if it is not certain here.
        """
        now = clock.monotonic()
        if now - self.registry.last_reply_at() > _REGISTRY_SILENCE_SECONDS:
            return None
        if self.registry.all_restarted_since(now - _REGISTRY_RESTART_SECONDS):
            return None
        return self.board.versions.only_version(pools, seconds, now)

    def excluded_targets(self, passed) -> set[str]:
        """Return the targets that a request must not get: tried, silent, or of another version."""
        excluded = passed.tried | passed.silent_targets
        if passed.version is None:
            return excluded
        views = self.board.pool(passed.pool)
        return excluded | {v.identity for v in views if v.report.version != passed.version}

    def has_no_eligible_targets(self, pool: str, places: tuple[str, ...]) -> bool:
        """Return whether a pool has targets, but all are outside `places` or evacuated."""
        return bool(self.board.pool(pool)) and not self.board.eligible(pool, places)

    def backoff_left(self, pool: str, places: tuple[str, ...] = ()) -> float:
        """Return the seconds until an eligible target of a pool accepts requests again.

        Until then each one is in a backoff period, or its rate limit is used up.
        """
        return self.board.backoff_left(pool, clock.monotonic(), places)

    def rate_limit_wait(self, pool: str, places: tuple[str, ...] = ()) -> float:
        """Return how long a request would wait for the rate limit of a pool, in seconds.

        0 unless all targets of the pool announce a limit. The estimate assumes that every other
        gateway has as many requests pending for the pool as this one.
        """
        per_second = self.board.total_rate_limit(pool, places) if self.permits.limits() else None
        if per_second is None:
            return 0.0
        return self.pending_by_pool[pool] * self.gateways() / (per_second * FIRST_LENDER_SHARE)

    def spread_retry_after(self, seconds: float) -> float:
        """Return a retry delay after a backoff of `seconds`, with jitter to spread the retries."""
        spread = min(
            _MAX_RETRY_SPREAD_SECONDS,
            max(_MIN_RETRY_SPREAD_SECONDS, seconds * _RETRY_SPREAD_RATIO),
        )
        return seconds + self.random.uniform(0.0, spread)

    def permit_interval(self, pool: str, places: tuple[str, ...] = ()) -> float:
        """Return the expected seconds between two permits of this gateway for a limited pool.

        0 unless all targets of the pool announce a limit. A caller that retries sooner would
        mostly be refused again.
        """
        per_second = self.board.total_rate_limit(pool, places)
        if per_second is None:
            return 0.0
        return min(
            _MAX_PERMIT_INTERVAL_SECONDS, self.gateways() / (per_second * FIRST_LENDER_SHARE)
        )

    def update_engine_scale(self, usual: float, found: float) -> None:
        """Update the ratio of measured to usual time until an engine's first event."""
        self._engine_scale += _SAMPLE_WEIGHT * (found / max(0.01, usual) - self._engine_scale)

    def engine_seconds(self, usual: float) -> float:
        """Return the expected seconds until the first event, scaled from the usual time."""
        return usual * min(_MAX_ENGINE_SCALE, max(1.0, self._engine_scale))

    def batching_owner(self, cell: str) -> GatewayRow | None:
        """Return the gateway that batches the pieces of a cell, or None if it is this one."""
        return self.owners.owner(batching_key(cell), self.cells().data_centres(cell))

    def consume_batched_repeat(self, pool: str, cell: str) -> bool:
        """Take one retry of a piece from the budget of a pool; return whether it was allowed.

        The batching owner of a cell sends the pieces of all its gateways, so the budget is
        divided among the cells instead of the gateways.
        """
        is_owner = self.batching_owner(cell) is None
        gateways = max(1, len(self.cells())) if is_owner else self.gateways()
        return self.budget(pool).try_consume(clock.monotonic(), gateways)

    def cells(self) -> Cells:
        """Return the cells that batch their own pieces; none if one gateway batches for all."""
        version = (self.board.generation, self.index.number)
        if self._cells_version != version:
            self._cells_version = version
            pools = [name for name, pool in self.index.pools.items() if pool.batches]
            self._cells = batching_cells(self.board.data_centres(name) for name in pools)
        return self._cells

    def shared_pools(self) -> frozenset[str]:
        """Return the pools whose capacity routes and customers divide into shares.

        The result is cached for each configuration.
        """
        if self._shared_pools_revision != self.index.number:
            self._shared_pools_revision = self.index.number
            self._shared_pools = shared_pools(self.index.table.routes, self.index.pools)
        return self._shared_pools

    def record_stage_seconds(self, pool: str, seconds: float) -> None:
        """Update the expected duration of a stage from a completed one, queueing included."""
        known = self.stage_seconds(pool)
        self._stage_seconds[pool] = known + _SAMPLE_WEIGHT * (seconds - known)

    def stage_seconds(self, pool: str) -> float:
        """Return the expected duration of a stage of a pool, queueing included."""
        return self._stage_seconds.get(pool, self.usual_stage_seconds(pool))

    def record_response_seconds(self, route: str, seconds: float) -> None:
        """Update the expected duration of a route's responses from a complete one."""
        known, _ = self._response_seconds.get(route, (seconds, 0.0))
        mean = known + _SAMPLE_WEIGHT * (seconds - known)
        self._response_seconds[route] = (mean, clock.monotonic())

    def response_seconds(self, route: str) -> float:
        """Return the expected seconds until a response is complete.

        The value decays to 0 without new responses, since requests are refused by it.
        """
        mean, ended_at = self._response_seconds.get(route, (0.0, 0.0))
        return mean * 0.5 ** ((clock.monotonic() - ended_at) / _RESPONSE_HALF_LIFE_SECONDS)

    def usual_stage_seconds(self, pool: str) -> float:
        """Return the duration of a call with a full batch, as the pool's profile declares it."""
        found = self.index.pools.get(pool)
        profile = found.batches if found else None
        return profile.seconds(profile.batch) if profile else 0.0

    def usable(
        self, pool: str, places: tuple[str, ...] = (), include_closed: bool = False
    ) -> list[TargetView]:
        """Return the targets of a pool that may get work now, all inside `places` if it is given.

        Residency takes precedence: targets outside `places` are never returned, however doubtful
        the ones inside are. With `include_closed`, targets whose rate limit is used up for the
        moment are returned too.
        """
        last_reply_at = self.registry.last_reply_at()
        return self.board.usable(pool, clock.monotonic(), last_reply_at, places, include_closed)
