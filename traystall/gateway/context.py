"""State that the components of a gateway share: tables, clients and measured durations."""

import random as random_module

from traystall.core import clock
from traystall.gateway.adapters.http import TargetHttp
from traystall.gateway.configuration import ConfigurationFollower
from traystall.gateway.dispatch import Dispatcher
from traystall.gateway.ledger import LedgerClient
from traystall.gateway.results import ResultStore
from traystall.gateway.settings import Settings
from traystall.gateway.target_notices import apply_presence, log_ended_backoffs
from traystall.permits.permits import Permit, Permits
from traystall.quarantine.guard import RequestGuard
from traystall.rpc.client import LinkPool
from traystall.systems import loads, shares, speeds
from traystall.systems.estimates import TimeTable
from traystall.systems.limits import Limiter
from traystall.systems.membership import PresenceReport
from traystall.systems.residency import is_allowed
from traystall.systems.retries import RetryBudget
from traystall.tables.configuration import ConfigurationTables
from traystall.tables.entities import PriorityClass
from traystall.tables.targets import TargetRow, TargetTable


class GatewayContext:
    """State of one gateway."""

    def __init__(
        self,
        settings: Settings,
        identity: str,
        links: LinkPool,
        follower: ConfigurationFollower,
        ledger: LedgerClient,
        guard: RequestGuard,
    ):
        self.settings = settings
        self.identity = identity
        self.links = links
        self.follower = follower
        self.ledger = ledger
        self.guard = guard
        self.random = random_module.Random()
        self.http = TargetHttp()
        self.targets = TargetTable()
        self.times = TimeTable()
        self.limiter = Limiter()
        self.results = ResultStore()
        self.retry_budget = RetryBudget()
        self.permits = Permits(identity, lambda: follower.directory, self.random)
        self.permits.links = links
        self._quick_pools: set[str] = set()
        self._backing_off: set[str] = set()
        self.dispatcher = Dispatcher(self.targets, self.random)
        follower.on_change.append(self.on_configuration)

    @property
    def tables(self) -> ConfigurationTables:
        """Return the configuration in force."""
        return self.follower.held.tables

    @property
    def data_centre(self) -> str:
        """Return this gateway's data centre."""
        return self.settings.data_centre

    def on_configuration(self) -> None:
        """Update targets, shares and stored results after a new revision or directory."""
        self.targets.replace(self._usable_targets())
        for row in self.targets.all():
            row.limit = self.permits.limit(row.life)
        self._quick_pools = {
            stage.pool
            for pipeline in self.tables.pipelines()
            if pipeline.priority is PriorityClass.QUICK
            for stage in pipeline.stages
        }
        self.results.purge(self._may_store)
        self._apply_leaving_targets()
        self._update_shares()
        self.dispatcher.assign_all()

    def tick(self) -> None:
        """Do the periodic work: decay old measurements, update shares, assign free slots."""
        now = clock.monotonic()
        for row in self.targets.all():
            speeds.decay(row, now)
            loads.sample_quick_load(row, now)
        log_ended_backoffs(self.targets.all(), self._backing_off)
        self._update_shares()
        self.dispatcher.assign_all()

    def lives(self) -> set[str]:
        """Return the identities of all target incarnations, by which their limits are keyed."""
        return {row.life for row in self.targets.all()}

    def data_centre_of(self, life: str) -> str:
        """Return the data centre of a target's incarnation, or "" if the target is unknown."""
        row = self.targets.get(life.rpartition("@")[0])
        return row.target.data_centre if row is not None else ""

    async def take_spare_permit(self, row: TargetRow) -> Permit | None:
        """Return a permit for a request other than work, or None if the target has no rate limit.

        Raise PermitDenied if no permit is available.
        """
        if not row.limit.is_limited:
            return None
        return await self.permits.take(row.life, row.target.data_centre, is_spare=True)

    def _usable_targets(self):
        """Return the declared targets that are not in an evacuated data centre."""
        evacuated = self.follower.evacuations.places.data_centres
        return [t for t in self.tables.targets() if t.data_centre not in evacuated]

    def _may_store(self, name):
        customer = self.tables.customer(name)
        return customer is not None and is_allowed(customer, self.data_centre)

    def _apply_leaving_targets(self):
        """Mark the targets as leaving that other gateways report so."""
        for gateway in self.follower.directory:
            for identity in gateway.leaving:
                name, _, incarnation = identity.rpartition("@")
                row = self.targets.get(name)
                if row is not None:
                    apply_presence(row, PresenceReport(name, True, incarnation))

    def _update_shares(self):
        gateways = [row.identity for row in self.follower.directory if row.state == "serving"]
        for pool in {row.target.pool for row in self.targets.all()}:
            self._update_pool_shares(self.targets.pool(pool), gateways)

    def _update_pool_shares(self, rows, gateways):
        targets = [row.target for row in rows]
        quick_slots = sum(row.quick_load for row in rows) * max(1, len(gateways))
        has_quick_work = targets[0].pool in self._quick_pools
        reserved = shares.reserved_targets(targets, has_quick_work, quick_slots)
        divided = shares.divide_slots(targets, gateways, self.identity, reserved)
        for row in rows:
            share = divided[row.target.name]
            row.share = share.bulk
            row.reserves_quick_slot = share.kept
            row.may_exceed_share = not has_quick_work
