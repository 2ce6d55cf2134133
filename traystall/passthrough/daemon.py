"""The `traystall-pass` program: a gateway that forwards callers' requests to targets."""

import asyncio
import logging
import sys

import aiomisc

from traystall.conf.settings import Settings, load_or_exit
from traystall.core import clock, daemon, hold_ups, logs, startup
from traystall.core.exceptions import RpcRefused
from traystall.core.ids import new_id
from traystall.gateway.configuration import ConfigurationFollower
from traystall.http.health import add_health_pages
from traystall.http.limits import ConnectionLimits
from traystall.http.resources import process_resources
from traystall.http.router import Router
from traystall.http.server import HttpServer
from traystall.passthrough.admission.budget import RepeatBudgetRule
from traystall.passthrough.context import PassContext
from traystall.passthrough.dialect import HeaderNames, PlainStageDialect, StageDialect
from traystall.passthrough.entry.drain import Drain
from traystall.passthrough.entry.front import PassFrontend
from traystall.passthrough.exchange.answer_room import AnswerRoom
from traystall.passthrough.health.cold import ColdStartLimit
from traystall.passthrough.health.pages import BackoffPages, LimitPages
from traystall.passthrough.health.probing import DataCentreProber
from traystall.passthrough.ownership.owners import LEAVING
from traystall.passthrough.placement.service import PlacementService
from traystall.passthrough.settings import SETTINGS, check_gateway
from traystall.passthrough.stages.batcher import Batcher
from traystall.passthrough.tunnels.service import TunnelService
from traystall.permits.broadcast import LimitBroadcaster
from traystall.quarantine.digests import make_key
from traystall.quarantine.guard import RequestGuard
from traystall.registry.follower import RegistryFollower
from traystall.routes.tables import RoutingTables, Translator, translate_entities
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.leader import LeaderLink
from traystall.rpc.server import RpcServer
from traystall.tables.controls import ControlDirectory

ROLE = "gateway"
_DISPATCH_SECONDS = 0.25
# Number of control daemons that are asked for a new revision at once: one may be unreachable.
_MAX_FETCHES = 2
# Time for batches of other gateways to finish after this gateway's last own request.
_BATCHER_DRAIN_SECONDS = 0.3
# Timeout of a report of ended targets; the next control daemon is tried after it. A commit takes
# several round trips and a disk sync.
_LEADER_TIMEOUT_SECONDS = 0.5
# Time for connections without a request to close.
_CLOSE_SECONDS = 0.2

logger = logging.getLogger(__name__)


class PassGateway(aiomisc.Service):
    """Create, start and stop the components of a pass-through gateway."""

    def __init__(
        self,
        settings: Settings,
        translate: Translator,
        names: HeaderNames,
        stage_dialect: StageDialect,
    ):
        super().__init__()
        self.settings = settings
        self._translate = translate
        self._names = names
        self._stage_dialect = stage_dialect
        self._identity = f"{settings.instance}/{new_id()}"
        self._state = "serving"
        self._started_at = clock.monotonic()
        # Shared by everything that listens.
        self.client_resources = process_resources(
            settings.memory_megabytes, settings.max_descriptors
        )
        # Control daemons to get the configuration from, updated from the group's membership.
        self.controls: list[str] = list(settings.control)
        self._control_directory = ControlDirectory(settings.data_centre, settings.control)

    async def start(self) -> None:
        """Start to listen, and follow the configuration in the background."""
        settings = self.settings
        link_identity = LinkIdentity(settings.cluster, ROLE, self._identity, settings.secret)
        self._links = LinkPool(link_identity)
        rule = RepeatBudgetRule(
            settings.repeat_ratio, settings.repeat_window, settings.repeat_slack
        )
        self.gateway_context = PassContext(
            settings.data_centre,
            self._identity,
            self._names,
            self._stage_dialect,
            rule,
            ColdStartLimit(settings.cold_excess, settings.cold_slack),
        )
        self.gateway_context.answer_room = AnswerRoom(self.client_resources.answer_bytes)
        key = make_key(settings.cluster, settings.secret)
        self.gateway_context.digest_key = key
        leader = LeaderLink(self._links, self.controls, _LEADER_TIMEOUT_SECONDS)
        self.gateway_context.guard = RequestGuard(key, leader)
        dialer = self.gateway_context.dialer
        self.gateway_context.guard.ends.is_reached_by_others = dialer.is_reached_by_others
        self._follow()
        self.gateway_context.permits.links = self._links
        self.gateway_context.leases.links = self._links
        self.gateway_context.streams.links = self._links
        self.gateway_context.dialer.link_identity = link_identity
        self._tunnels = TunnelService(self.gateway_context)
        self.gateway_context.batcher = Batcher(self.gateway_context, self._links)
        self.gateway_context.placement_service = PlacementService(self.gateway_context, self._links)
        self.gateway_context.board.on_change.append(self.gateway_context.batcher.dispatch)
        self._server = RpcServer(
            settings.rpc_listen,
            settings.cluster,
            settings.secret,
            self._answer_peer,
            self._tunnels.open,
            self.client_resources.max_other_connections,
        )
        await self._server.start()
        # Connections are accepted at once: requests wait a moment for the first configuration.
        await self._start_front()
        self._background = daemon.BackgroundTasks()
        self._background.start(self._follow_configuration())
        self._background.start(self.gateway_context.registry.follow_forever())
        self._background.start(self.gateway_context.guard.reports.send_forever())
        self._background.start(self.gateway_context.streams.run_forever())
        self._background.start(self._dispatch_forever())
        self._background.start(self._reload_forever())
        self._background.start(hold_ups.report_forever())
        prober = DataCentreProber(self.gateway_context, self._links)
        self._background.start(prober.probe_forever())
        context = self.gateway_context
        for limits in (context.permits, context.leases):
            broadcaster = LimitBroadcaster(
                limits,
                self._links,
                context.directory,
                context.board.data_centre_of,
                context.board.lives,
            )
            self._background.start(broadcaster.run_forever())
        seconds = round(clock.monotonic() - startup.STARTED_AT, 3)
        logger.info("started", extra={"identity": self._identity, "seconds": seconds})

    async def until_stopped(self, stopping: asyncio.Event) -> None:
        """Wait for a stop signal, then drain the requests in flight."""
        await daemon.wait_for_stop_or_failure(stopping, self._background.failed)
        logger.info("draining", extra={"in_flight": self._front.in_flight})
        self._state = "draining"
        self.gateway_context.permits.may_grant = False
        self.gateway_context.leases.may_grant = False
        drain = Drain(self._front, self._callers)
        notice, limit = self.settings.drain_notice, self.settings.drain_limit
        await asyncio.gather(drain.run(notice, limit), self._tunnels.drain(notice + limit))
        await self.gateway_context.batcher.drain(_BATCHER_DRAIN_SECONDS)
        logger.info("drained", extra={"in_flight": self._front.in_flight})

    async def stop(self, exception: Exception | None = None) -> None:
        """Close every connection."""
        self._background.stop()
        self._tunnels.close()
        # A transfer left running would reopen its link and continue.
        for task in self._fetches:
            task.cancel()
        self.gateway_context.batcher.close()
        self.gateway_context.placement_service.close()
        self.gateway_context.permits.close()
        self.gateway_context.leases.close()
        self.gateway_context.guard.ends.close()
        self.gateway_context.streams.close()
        await self._callers.close(_CLOSE_SECONDS)
        if self._health is not None:
            await self._health.close(_CLOSE_SECONDS)
        await self._server.stop()
        self.gateway_context.prober.close()
        self.gateway_context.board.close()
        await self._links.close()

    def is_ready(self) -> bool:
        """Return whether a load balancer should send requests to this gateway."""
        return self._state == "serving" and self.gateway_context.index.number > 0

    def reload(self) -> None:
        """Reload the settings that can change while the daemon runs; by default none can."""

    def set_controls(self, addresses: list[str]) -> None:
        """Set the configured addresses of control daemons after a reload."""
        self._control_directory.set_configured(addresses)
        self._update_controls()

    def _follow(self):
        follower = ConfigurationFollower(self._links, self.controls, [], self._describe)
        follower.held.tables = RoutingTables(self._translate)
        registry = RegistryFollower(self._links, self._identity, lambda: self.controls)
        registry.merge = self.gateway_context.board.merge
        registry.record_seen = self.gateway_context.board.record_seen
        registry.on_members = self._take_members
        registry.number = lambda: follower.held.number
        registry.on_newer_revision = self._fetch_configuration
        self._fetches: set[asyncio.Task] = set()
        registry.evacuation_version = lambda: follower.evacuations.version
        registry.on_evacuation_update = follower.evacuations.take
        follower.evacuations.on_change.append(self.gateway_context.on_evacuations)
        follower.suspects = registry.suspects = self.gateway_context.guard.held
        self.gateway_context.guard.daemons_support_suspects = lambda: registry.all_support_suspects
        self.gateway_context.guard.daemons_support_parts = lambda: registry.all_support_parts
        self.gateway_context.follower = follower
        self.gateway_context.registry = registry

    async def _follow_configuration(self):
        await self.gateway_context.follower.fetch_newest()
        await self.gateway_context.follower.follow_forever()

    def _fetch_configuration(self, number, address):
        """Fetch a new revision from the control daemon that announced it.

        The watch goes to a single control daemon and misses the revision while that one is down
        or unreachable. An announcement that is dropped here is repeated until the revision has
        arrived.
        """
        if len(self._fetches) >= _MAX_FETCHES:
            return
        task = asyncio.create_task(self.gateway_context.follower.fetch_from(address))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def _take_members(self, members):
        listed = [(member.address, member.data_centre) for member in members if member.address]
        self._control_directory.update(listed, clock.monotonic())
        self._update_controls()

    def _update_controls(self):
        # The list is shared with the followers and the client of the leader.
        self.controls[:] = self._control_directory.addresses()

    def _describe(self):
        settings = self.settings
        return ttypes.GatewayRecord(
            identity=self._identity,
            instance=settings.instance,
            data_centre=settings.data_centre,
            address=settings.listen,
            rpc_address=settings.rpc_listen,
            number=self.gateway_context.follower.held.number,
            state=self._state,
            age=0.0,
            leaving=[],
            uptime=clock.monotonic() - self._started_at,
            evacuation_version=self.gateway_context.follower.evacuations.version,
            lends=True,
            keeps_streams=True,
            size=self.settings.size,
        )

    async def _answer_peer(self, request):
        """Handle the request of another gateway."""
        batcher = self.gateway_context.batcher
        is_new_work = isinstance(request, ttypes.StageRequest | ttypes.PlaceRequest)
        if is_new_work and self._state != "serving":
            # The refusal makes the peer choose another gateway from now on.
            raise RpcRefused(LEAVING, "This gateway is about to stop.")
        if isinstance(request, ttypes.StageRequest):
            return await batcher.run_locally(request)
        if isinstance(request, ttypes.StageCancel):
            batcher.cancel(request.call_id, request.request_id)
            return None
        if isinstance(request, ttypes.StageFreed):
            batcher.on_results_freed(request.pool, request.handles)
            return None
        if isinstance(request, ttypes.PlaceRequest):
            return self.gateway_context.placement_service.place_for_peer(request)
        if isinstance(request, ttypes.PlaceNote):
            self.gateway_context.placement_service.on_place_note(request)
            return None
        if isinstance(request, ttypes.PermitRequest):
            lender = self.gateway_context.leases if request.places else self.gateway_context.permits
            return lender.grant(request)
        if isinstance(request, ttypes.PermitReturn):
            if request.lease:
                self.gateway_context.leases.on_returned(request)
            else:
                self.gateway_context.permits.on_permit_returned(request)
            return None
        if isinstance(request, ttypes.LimitNews):
            self.gateway_context.permits.merge_limits(request)
            self.gateway_context.leases.merge_limits(request)
            return None
        if isinstance(request, ttypes.StreamOriginsRequest):
            return self.gateway_context.streams.on_received(request)
        if isinstance(request, ttypes.FindStreamRequest):
            return self.gateway_context.streams.answer_find(request)
        if isinstance(request, ttypes.PingRequest):
            return await batcher.ping(request)
        if isinstance(request, ttypes.WatchRequest):
            return self.gateway_context.follower.answer_watch(request)
        if isinstance(request, ttypes.TransferRequest):
            return self.gateway_context.follower.answer_transfer(request)
        raise RpcRefused("bad-method", "A gateway does not serve this call.")

    async def _dispatch_forever(self):
        while True:
            await asyncio.sleep(_DISPATCH_SECONDS)
            self.gateway_context.batcher.dispatch()
            self._tunnels.close_unwanted()
            self.gateway_context.notices.review(self.gateway_context.board.views())

    async def _reload_forever(self):
        """Reload the settings periodically: they may change without a signal."""
        while True:
            await asyncio.sleep(daemon.RELOAD_SECONDS)
            self.reload()

    async def _start_front(self):
        self._front = PassFrontend(self.gateway_context)
        self._callers = HttpServer(
            self._front.handle, sheds_load=True, resources=self.client_resources, is_main=True
        )
        self.gateway_context.follower.on_change.append(self._apply_limits)
        await self._callers.listen(self.settings.listen)
        self._health = None
        if self.settings.health_listen:
            router = Router()
            add_health_pages(router, self.is_ready)
            context = self.gateway_context
            BackoffPages(context.board, self.settings.secret).add_to(router)
            LimitPages(context.board, context.permits).add_to(router)
            self._health = HttpServer(router.handle, resources=self.client_resources)
            await self._health.listen(self.settings.health_listen)

    def _apply_limits(self):
        """Hold callers to the limits of the configuration in force."""
        limits = self.gateway_context.index.table.limits
        self._callers.set_limits(
            ConnectionLimits(
                head_bytes=limits.max_header_bytes,
                head_seconds=limits.header_timeout,
                idle_seconds=limits.idle_timeout,
            )
        )


def main() -> None:
    """Run the daemon; exit with 2 on bad settings."""
    settings = load_or_exit("traystall-pass", SETTINGS, [check_gateway])
    logs.configure(settings.log_level, settings.instance, settings.data_centre)
    service = PassGateway(settings, translate_entities, HeaderNames(), PlainStageDialect())
    sys.exit(daemon.run(service, service.until_stopped))


if __name__ == "__main__":
    main()
