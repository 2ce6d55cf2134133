"""What the parts of a pass-through gateway share."""

import asyncio
import random as random_module
from collections import Counter

from traystall.admission.pool_sharing import shared_pools
from traystall.core import clock
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.gateway.configuration import ConfigurationFollower
from traystall.passthrough.admission.budget import RepeatBudget, RepeatBudgetRule
from traystall.passthrough.dialect import HeaderNames, StageDialect
from traystall.passthrough.health.board import TargetBoard, TargetView
from traystall.passthrough.health.cold import ColdStartLimit
from traystall.passthrough.health.cold_targets import ColdStartLimiter
from traystall.passthrough.health.data_centre_monitor import DataCentreMonitor
from traystall.passthrough.health.notices import TargetNoticeMonitor
from traystall.passthrough.ownership.owners import OwnerSelector, batching_key
from traystall.passthrough.stages.cells import Cells, batching_cells
from traystall.permits.lenders import SETTLE_SECONDS, LenderRanking
from traystall.permits.permits import Permits
from traystall.quarantine.guard import RequestGuard
from traystall.registry.follower import RegistryFollower
from traystall.routes.matching import RouteIndex
from traystall.systems.permits import FIRST_PART
from traystall.tables.gateways import GatewayRow

_MIN_CONNECTIONS = 4
_MAX_ENGINE_SCALE = 3.0
# How often is looked whether a configuration has come, in seconds.
_LOOK_SECONDS = 0.02
# Over how long callers are spread who come back after a rest: a part of it, and seconds.
_SPREAD_PART = 0.25
_MIN_SPREAD, _MAX_SPREAD = 0.1, 1.0
# Callers are not sent away for the sake of turns for longer than this, in seconds.
_MAX_TURN_SECONDS = 2.0
# Weight of the newest duration of a stage.
_LEARNING = 0.15


class PassContext:
    """Hold the state of one gateway."""

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
        ranks = LenderRanking(identity, lender_settle_seconds)
        self.permits = Permits(identity, self.directory, self.random, ranks)
        self.board = TargetBoard(self.random, self.max_connections, self.places, self.permits)
        self.notices = TargetNoticeMonitor(names, self.board.reindex)
        self.board.on_send = self.notices.on_request_sent
        self.board.on_head = self.notices.on_response_head
        self.follower: ConfigurationFollower | None = None
        self.registry: RegistryFollower | None = None
        self.owners = OwnerSelector(self)
        self.batcher = None
        self.placement_service = None
        self.guard: RequestGuard | None = None
        self.cold = ColdStartLimiter(self, cold_rule)
        self._budget_rule = budget_rule
        self._budgets: dict[str, RepeatBudget] = {}
        self._stage_seconds: dict[str, float] = {}
        # Requests of this gateway whose stages are being made, by the pool that they come to next.
        self.coming: Counter[str] = Counter()
        self._engine_scale = 1.0
        # The cells, and of which targets and routes they were worked out.
        self._cells = Cells()
        self._cells_of = (-1, -1)
        # The pools that kinds share by parts, and of which configuration they were worked out.
        self._shared: frozenset[str] = frozenset()
        self._shared_of = -1

    @property
    def index(self) -> RouteIndex:
        """Return the routes in force."""
        return self.follower.held.tables.index

    def is_behind(self) -> bool:
        """Return whether a revision is known to be accepted that is not in force here yet."""
        newest = max(self.registry.newest_revision, self.follower.newest_revision)
        return newest > self.index.number

    async def wait_for_configuration(self, seconds: float) -> None:
        """Return once a configuration is in force, or after `seconds`."""
        deadline = clock.monotonic() + seconds
        while not self.index.number and clock.monotonic() < deadline:
            await asyncio.sleep(_LOOK_SECONDS)

    def directory(self) -> list[GatewayRow]:
        """Return the gateways that are known."""
        return self.follower.directory if self.follower is not None else []

    def gateways(self) -> int:
        """Return how many gateways are known to serve, this one included."""
        return max(1, len(self.follower.directory))

    def max_connections(self, pool: str) -> int:
        """Return this gateway's part of the connections that a target of a pool accepts."""
        found = self.index.pools.get(pool)
        whole = found.max_connections if found else _MIN_CONNECTIONS
        return max(_MIN_CONNECTIONS, whole // (self.gateways() + 1))

    def budget(self, pool: str) -> RepeatBudget:
        """Return the repeat budget of a pool at this gateway."""
        found = self._budgets.get(pool)
        if found is None:
            found = self._budgets[pool] = RepeatBudget(self._budget_rule)
        return found

    def may_repeat(self, pool: str, count: int = 1) -> bool:
        """Take repeats from the budget of a pool; return whether it allowed them."""
        return self.budget(pool).try_consume(clock.monotonic(), self.gateways(), count)

    def on_evacuations(self, before: EvacuatedDataCentres, after: EvacuatedDataCentres) -> None:
        """Send nothing more to what is evacuated now; take up slowly what was restored."""
        for data_centre in before.data_centres - after.data_centres:
            self.cold.mark_cold(data_centre)
        self.board.set_evacuated(after.data_centres)

    def is_evacuated(self, view: TargetView) -> bool:
        """Return whether a target may get no new work because its data centre is evacuated."""
        return view.report.data_centre in self.board.evacuated

    def lacks_place(self, pool: str, places: tuple[str, ...]) -> bool:
        """Return whether a pool has targets, but all outside `places` or evacuated."""
        return bool(self.board.pool(pool)) and not self.board.eligible(pool, places)

    def backoff_left(self, pool: str, places: tuple[str, ...] = ()) -> float:
        """Return how long no target of a pool that may be used can be asked, in seconds.

        They rest, or others have what they take.
        """
        return self.board.backoff_left(pool, clock.monotonic(), places)

    def limit_wait(self, pool: str, places: tuple[str, ...] = ()) -> float:
        """Return how long what comes to a pool has to wait for its limit, in seconds.

        0 where not all its targets name one. What comes to other gateways is taken for as much.
        """
        taken = self.board.total_rate_limit(pool, places) if self.permits.limits() else None
        if taken is None:
            return 0.0
        return self.coming[pool] * self.gateways() / (taken * FIRST_PART)

    def after_rest(self, seconds: float) -> float:
        """Return when callers may come back after a rest, in seconds, spread over a while."""
        spread = min(_MAX_SPREAD, max(_MIN_SPREAD, seconds * _SPREAD_PART))
        return seconds + self.random.uniform(0.0, spread)

    def turn_seconds(self, pool: str, places: tuple[str, ...] = ()) -> float:
        """Return about how often this gateway gets a turn at a pool whose targets are all limited.

        0 where they are not. Whoever came back sooner would mostly be refused again.
        """
        taken = self.board.total_rate_limit(pool, places)
        if taken is None:
            return 0.0
        return min(_MAX_TURN_SECONDS, self.gateways() / (taken * FIRST_PART))

    def learn_engine(self, usual: float, found: float) -> None:
        """Learn from a first event how long engines take beside what a prompt usually takes."""
        self._engine_scale += _LEARNING * (found / max(0.01, usual) - self._engine_scale)

    def engine_seconds(self, usual: float) -> float:
        """Return about how long the first event takes now, for what it usually takes."""
        return usual * min(_MAX_ENGINE_SCALE, max(1.0, self._engine_scale))

    def batching_owner(self, cell: str) -> GatewayRow | None:
        """Return the gateway that batches the pieces of a cell, or None if it is this one."""
        return self.owners.owner(batching_key(cell), self.cells().data_centres(cell))

    def may_repeat_batched(self, pool: str, cell: str) -> bool:
        """The same for pieces, which one gateway of a cell sends for all: it has most of it."""
        batches = self.batching_owner(cell) is None
        gateways = max(1, len(self.cells())) if batches else self.gateways()
        return self.budget(pool).try_consume(clock.monotonic(), gateways)

    def cells(self) -> Cells:
        """Return the cells that batch pieces for themselves; none if one is for all."""
        held = (self.board.generation, self.index.number)
        if self._cells_of != held:
            self._cells_of = held
            pools = [name for name, pool in self.index.pools.items() if pool.batches]
            self._cells = batching_cells(self.board.data_centres(name) for name in pools)
        return self._cells

    def shared_pools(self) -> frozenset[str]:
        """Return the pools that kinds and customers share by parts; the configuration says which.

        They are worked out anew where another configuration is in force.
        """
        if self._shared_of != self.index.number:
            self._shared_of = self.index.number
            self._shared = shared_pools(self.index.table.routes, self.index.pools)
        return self._shared

    def learn_stage(self, pool: str, seconds: float) -> None:
        """Learn from a stage that was made how long one takes, its waiting included."""
        known = self.stage_seconds(pool)
        self._stage_seconds[pool] = known + _LEARNING * (seconds - known)

    def stage_seconds(self, pool: str) -> float:
        """Return about how long a stage of a pool takes now, its waiting included."""
        return self._stage_seconds.get(pool, self.usual_stage_seconds(pool))

    def usual_stage_seconds(self, pool: str) -> float:
        """Return how long a full call of a pool takes."""
        found = self.index.pools.get(pool)
        profile = found.batches if found else None
        return profile.seconds(profile.batch) if profile else 0.0

    def usable(
        self, pool: str, places: tuple[str, ...] = (), include_closed: bool = False
    ) -> list[TargetView]:
        """Return the targets of a pool to which work may go now, inside `places` if any are named.

        Place goes before everything: no doubt about the targets inside lets one outside in. With
        `closed_too` those count whose limit others have used up for the moment.
        """
        heard_at = self.registry.last_reply_at()
        return self.board.usable(pool, clock.monotonic(), heard_at, places, include_closed)
