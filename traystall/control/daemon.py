"""The `traystall-control` program: one replica of the log and the services that depend on it."""

import asyncio
import contextlib
import logging
import random
import sys

import aiomisc

from traystall.catalog.models import NumberRule
from traystall.conf.settings import Settings, load_or_exit
from traystall.consensus.models import MemberRecord, Timing
from traystall.consensus.replica import Replica
from traystall.control.evacuation import EvacuationOrders
from traystall.control.exceptions import ControlError
from traystall.control.formation import InitialMember, form_group
from traystall.control.leader import LeaderClient
from traystall.control.members import MemberChanges
from traystall.control.node import DISK_RETRY_SECONDS, Node
from traystall.control.orders import OrderSender
from traystall.control.registrations import Registrations
from traystall.control.repair import GroupRepair
from traystall.control.service import ArrangeEntities, ControlService, keep_as_sent
from traystall.control.settings import SETTINGS, check_control
from traystall.control.state import StateMachine
from traystall.control.subscribers import Subscribers
from traystall.control.suspects import SuspectService
from traystall.control.targets_api import add_target_calls
from traystall.core import clock, daemon, hold_ups, logs, startup
from traystall.core.exceptions import ConsensusError, DiskFailed, RpcError
from traystall.http.health import add_health_pages
from traystall.http.resources import process_resources
from traystall.http.router import Router
from traystall.http.server import HttpServer
from traystall.permits.permits import Permits
from traystall.registry.follower import RegistryFollower
from traystall.registry.persistence import RegistryPersistence
from traystall.registry.service import RegistryService
from traystall.registry.store import TargetStore
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire.ttypes import (
    JoinRequest,
    LiftRequest,
    RegistryRequest,
    ReportRunsRequest,
    TrialRequest,
)
from traystall.rpc.records import to_wire_member
from traystall.rpc.server import RpcServer
from traystall.storage.folder import DataFolder

GROUP = "main"
ROLE = "control"
# Higher than any revision number or version in use; a follower that reports it receives no updates.
_MAX_NUMBER = 2**62
_BYTES_PER_MEGABYTE = 1_000_000
# How long open HTTP responses may take to finish at shutdown.
_CLOSE_SECONDS = 0.2

logger = logging.getLogger(__name__)


class ControlDaemon(aiomisc.Service):
    """Connect the components of a control daemon."""

    def __init__(self, settings: Settings):
        super().__init__()
        self._settings = settings
        # Shared by everything that listens.
        self.client_resources = process_resources(
            settings.memory_megabytes, settings.max_descriptors
        )
        self._address = settings.rpc_advertise or settings.rpc_listen
        self.node: Node | None = None
        # Control daemons to ask for admission; `reload` may change the list.
        self.join_addresses: list[str] = list(settings.join)
        # May rename the entities of a new configuration after those of the previous one, so that
        # the change between them is small.
        self.arrange_entities: ArrangeEntities = keep_as_sent

    async def start(self) -> None:
        """Open the data folder, join the group and start to serve."""
        settings = self._settings
        folder = DataFolder(settings.data_folder, settings.disk_megabytes * _BYTES_PER_MEGABYTE)
        recovered = await self._open_folder(folder)
        identity = folder.identity.name
        self._links = LinkPool(LinkIdentity(settings.cluster, ROLE, identity, settings.secret))
        self.node = self._make_node(identity, folder, recovered)
        subscribers = Subscribers(self.node, self._links, self._address)
        self._members = MemberChanges(self.node)
        permits = Permits(identity, subscribers.rows, random.Random())
        permits.links = self._links
        self._order_sender = OrderSender(self.node, permits)
        self.service = ControlService(
            self.node,
            subscribers,
            self._members,
            EvacuationOrders(self.node, lambda: self._known_data_centres(subscribers)),
            settings.operator_token,
            NumberRule(settings.number_rule),
            self.arrange_entities,
        )
        suspects = SuspectService(self.node, settings.operator_token)
        self.service.add_handler(ReportRunsRequest, suspects.report)
        self.service.add_handler(TrialRequest, suspects.begin_trial)
        self.service.add_handler(LiftRequest, suspects.lift)
        self.leader = LeaderClient(self.node, self.service, self._links)
        self._start_registry(identity)
        self.registrations = Registrations(self.registry, self.node.state, self.leader)
        self.node.on_applied.append(self.registrations.merge_departures)
        await self._registry_persistence.restore()
        repair = self._make_repair(identity)
        self._server = RpcServer(
            settings.rpc_listen,
            settings.cluster,
            settings.secret,
            self.service.handle,
            max_ungreeted=self.client_resources.max_other_connections,
        )
        await self._server.start()
        self.node.start()
        self.registrations.merge_departures()
        await self._start_http()
        self._background = daemon.BackgroundTasks()
        self._background.start(self._form_group())
        self._background.start(subscribers.share_directory_forever())
        self._background.start(self._order_sender.run_forever())
        self._background.start(self._registry_follower.follow_forever())
        self._background.start(self._registry_persistence.save_forever())
        self._background.start(self._reload_forever())
        self._background.start(hold_ups.report_forever())
        if repair is not None:
            self._background.start(repair.review_forever())
            self._background.start(repair.request_join_forever())
        seconds = round(clock.monotonic() - startup.STARTED_AT, 3)
        logger.info("started", extra={"identity": identity, "seconds": seconds})

    async def until_stopped(self, stopping: asyncio.Event) -> None:
        """Return on a signal, after a transfer of leadership; raise if a background task fails."""
        await daemon.wait_for_stop_or_failure(stopping, self.node.failed, self._background.failed)
        if self.node.replica.is_leader:
            with contextlib.suppress(ControlError, ConsensusError, RpcError):
                await self._members.hand_over()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop serving and close the data folder."""
        self._background.stop()
        await self._order_sender.close()
        await self._server.stop()
        await self.node.stop()
        await self._links.close()
        await self._http.close(_CLOSE_SECONDS)

    def reload(self) -> None:
        """Reload the settings that can change at run time; subclasses may override this."""

    async def _reload_forever(self):
        while True:
            await asyncio.sleep(daemon.RELOAD_SECONDS)
            self.reload()

    async def _open_folder(self, folder):
        """Open the data folder; retry if the disk fails, but let damage end the daemon."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        while True:
            try:
                return await loop.run_in_executor(
                    None, folder.open, settings.cluster, settings.instance
                )
            except DiskFailed as error:
                logger.error("data folder not opened", extra={"why": str(error)})
                await asyncio.sleep(DISK_RETRY_SECONDS)

    def control_addresses(self) -> list[str]:
        """Return the addresses of the other control daemons known to this one."""
        members = {member.address for member in self.node.replica.members}
        known = members | set(self.join_addresses)
        return sorted(known - {self._address})

    def _known_data_centres(self, subscribers) -> set[str]:
        """Return the data centres that an order may name.

        If the settings don't list them, these are this daemon's own data centre, those of known
        members, gateways and targets, and those that are already evacuated.
        """
        if self._settings.data_centres:
            return set(self._settings.data_centres)
        known = {self._settings.data_centre}
        known |= {member.data_centre for member in self.node.replica.members}
        known |= {record.data_centre for record in subscribers.records()}
        known |= {row.report.data_centre for row in self.registry.registry.rows()}
        known |= self.node.state.evacuations.places.data_centres
        return known - {""}

    def _start_registry(self, identity):
        self.registry = RegistryService(
            lambda: [to_wire_member(member) for member in self.node.replica.members],
            lambda: self.node.state.catalog.number,
            lambda: self.node.state.evacuations.places,
            self.node.state.suspects,
        )
        self.node.on_applied.append(self.registry.on_applied)
        self.service.add_handler(RegistryRequest, self.registry.watch)
        follower = RegistryFollower(self._links, identity, self.control_addresses)
        follower.merge = self._merge_report
        # Revisions and evacuations arrive through the log; only target reports are needed here.
        follower.number = follower.evacuation_version = lambda: _MAX_NUMBER
        follower.record_seen = self.registry.registry.record_seen
        self._registry_follower = follower
        self._registry_persistence = RegistryPersistence(
            self.registry, TargetStore(self._settings.data_folder)
        )

    def _merge_report(self, report, seen_at):
        if self.registry.registry.merge(report, seen_at):
            self.registry.wake()

    def _make_repair(self, identity):
        settings = self._settings
        if not settings.self_repair:
            return None
        own = MemberRecord(identity, self._address, settings.data_centre, False)
        repair = GroupRepair(self.node, self._links, own, self.control_addresses)
        self.service.add_handler(JoinRequest, repair.join)
        return repair

    def _make_node(self, identity, folder, recovered):
        settings = self._settings
        timing = Timing(settings.election_min, settings.election_max, settings.heartbeat)
        replica = Replica(
            identity=identity,
            group=GROUP,
            timing=timing,
            random=random.SystemRandom(),
            now=clock.monotonic(),
            hard_state=recovered.hard_state,
            log=recovered.log,
            previous_ended_at=startup.STARTED_AT if settings.exclusive_start else None,
        )
        return Node(
            replica,
            StateMachine(),
            folder,
            self._links,
            self._address,
            known_addresses={},
            snapshot_every=settings.snapshot_every,
        )

    async def _form_group(self):
        settings = self._settings
        initial = [
            InitialMember(name, address, settings.initial_places.get(name, ""))
            for name, address in settings.initial_members.items()
        ]
        if not initial:
            return  # This daemon joins an existing group.
        await form_group(self.node, settings.instance, initial, self._links)

    async def _start_http(self):
        router = Router()
        add_health_pages(router, self.node.is_fresh)
        add_target_calls(router, self.registrations)
        self._http = HttpServer(router.handle, resources=self.client_resources, is_main=True)
        await self._http.listen(self._settings.http_listen)


def main() -> None:
    """Run the daemon; exit with status 2 on invalid settings and 3 on a failed disk."""
    settings = load_or_exit("traystall-control", SETTINGS, [check_control])
    logs.configure(settings.log_level, settings.instance, settings.data_centre)
    service = ControlDaemon(settings)
    sys.exit(daemon.run(service, service.until_stopped))


if __name__ == "__main__":
    main()
