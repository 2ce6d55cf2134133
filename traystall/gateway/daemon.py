"""The `traystall-gateway` program: a gateway that runs pipelines of stages at targets."""

import asyncio
import logging
import sys

import aiomisc
from aiohttp import web

from traystall.conf.settings import Settings, load_or_exit
from traystall.core import daemon, hold_ups, logs
from traystall.core.ids import new_id
from traystall.gateway.configuration import ConfigurationFollower
from traystall.gateway.context import GatewayContext
from traystall.gateway.front import Frontend
from traystall.gateway.health import add_health_routes
from traystall.gateway.ledger import LedgerClient
from traystall.gateway.presence import PresenceWatcher
from traystall.gateway.relay import Relay
from traystall.gateway.service import GatewayService
from traystall.gateway.settings import SETTINGS, check_gateway
from traystall.permits.broadcast import LimitBroadcaster
from traystall.quarantine.digests import make_key
from traystall.quarantine.guard import RequestGuard
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire.ttypes import GatewayRecord
from traystall.rpc.leader import LeaderLink
from traystall.rpc.server import RpcServer
from traystall.tables.targets import TargetState

ROLE = "gateway"
_MAX_HEADER_BYTES = 16 * 1024
# Timeout of a report of ended targets; the next control daemon is tried after it. A commit takes
# several round trips and a disk sync.
_LEADER_TIMEOUT_SECONDS = 0.5

logger = logging.getLogger(__name__)


class GatewayDaemon(aiomisc.Service):
    """Create, start and stop the components of a gateway."""

    def __init__(self, settings: Settings):
        super().__init__()
        self._settings = settings
        self._identity = f"{settings.instance}/{new_id()}"
        self._state = "serving"

    async def start(self) -> None:
        """Fetch the newest reachable configuration and start to serve."""
        settings = self._settings
        self._links = LinkPool(
            LinkIdentity(settings.cluster, ROLE, self._identity, settings.secret)
        )
        self._follower = ConfigurationFollower(
            self._links, settings.control, settings.neighbours, self._describe
        )
        ledger = LedgerClient(self._links, settings.control)
        key = make_key(settings.cluster, settings.secret)
        guard = RequestGuard(
            key, LeaderLink(self._links, settings.control, _LEADER_TIMEOUT_SECONDS)
        )
        self._follower.suspects = guard.held
        self._context = GatewayContext(
            settings, self._identity, self._links, self._follower, ledger, guard
        )
        await self._context.http.open()
        self._relay = Relay(self._context)
        await self._relay.open()
        service = GatewayService(self._context)
        self._server = RpcServer(
            settings.rpc_listen, settings.cluster, settings.secret, service.handle
        )
        await self._server.start()
        await self._follower.fetch_newest()
        await self._start_http()
        self._background = daemon.BackgroundTasks()
        self._background.start(self._follower.follow_forever())
        self._background.start(guard.reports.send_forever())
        self._background.start(PresenceWatcher(self._context).watch_forever())
        context = self._context
        broadcaster = LimitBroadcaster(
            context.permits,
            self._links,
            lambda: self._follower.directory,
            context.data_centre_of,
            context.lives,
        )
        self._background.start(broadcaster.run_forever())
        self._background.start(hold_ups.report_forever())
        logger.info("started", extra={"identity": self._identity})

    async def until_stopped(self, stopping: asyncio.Event) -> None:
        """Wait for a stop signal, then drain the requests in flight."""
        await daemon.wait_for_stop_or_failure(stopping, self._background.failed)
        logger.info("draining", extra={"in_flight": self._front.in_flight})
        self._state = "draining"
        self._context.permits.may_grant = False
        self._front.draining = True
        await asyncio.sleep(self._settings.drain_notice)
        await self._site.stop()
        await self._front.drain(self._settings.drain_limit)
        logger.info("drained", extra={"in_flight": self._front.in_flight})

    async def stop(self, exception: Exception | None = None) -> None:
        """Close every connection."""
        self._background.stop()
        self._context.permits.close()
        self._context.guard.ends.close()
        await self._runner.cleanup()
        await self._server.stop()
        await self._relay.close()
        await self._context.http.close()
        await self._links.close()

    def _describe(self) -> GatewayRecord:
        settings = self._settings
        return GatewayRecord(
            identity=self._identity,
            instance=settings.instance,
            data_centre=settings.data_centre,
            address=settings.listen,
            rpc_address=settings.rpc_listen,
            number=self._follower.held.number,
            state=self._state,
            age=0.0,
            leaving=self._leaving(),
            uptime=0.0,
            evacuation_version=self._follower.evacuations.version,
            lends=True,
        )

    def _leaving(self):
        """Return the leaving targets of this data centre; other data centres don't probe them."""
        context = getattr(self, "_context", None)
        if context is None:
            return []
        here = self._settings.data_centre
        return [
            f"{row.target.name}@{row.incarnation}"
            for row in context.targets.all()
            if row.state is TargetState.LEAVING and row.target.data_centre == here
        ]

    def _is_ready(self):
        return self._state == "serving" and self._follower.held.number > 0

    async def _start_http(self):
        app = web.Application(client_max_size=self._settings.max_body_bytes)
        self._front = Frontend(self._context, self._relay)
        self._front.add_routes(app)
        add_health_routes(app, self._is_ready)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
        )
        await self._runner.setup()
        host, _, port = self._settings.listen.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()


def main() -> None:
    """Run the daemon; exit with 2 on bad settings."""
    settings = load_or_exit("traystall-gateway", SETTINGS, [check_gateway])
    logs.configure(settings.log_level, settings.instance, settings.data_centre)
    service = GatewayDaemon(settings)
    sys.exit(daemon.run(service, service.until_stopped))


if __name__ == "__main__":
    main()
