"""Connect to targets: directly, or through another gateway if the direct path is broken.

A gateway that is partitioned from targets can't tell this from targets that are down. So a direct
connection that takes too long or fails competes with a tunnel, and whichever is open first is used.
Everything above the connection is unaffected: this gateway admits, places, limits and retries as
usual.

A tunnel leads through a gateway in this gateway's data centre or in the target's. Requests may be
in both already, so a tunnel takes no data to another data centre.
"""

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError, RpcRefused
from traystall.core.logs import decision
from traystall.passthrough.exceptions import ConnectFailed
from traystall.passthrough.exchange.connection import (
    CONNECT_TIMEOUT_SECONDS,
    ConnectionObserver,
    TargetConnection,
    connect,
)
from traystall.passthrough.tunnels.client import open_tunnel
from traystall.passthrough.tunnels.paths import TargetPaths
from traystall.passthrough.tunnels.race import Opener, first_open
from traystall.passthrough.tunnels.service import TARGET_REFUSED
from traystall.quarantine.ends import TargetIncarnation
from traystall.registry.models import TargetReport
from traystall.rpc.client import LinkIdentity
from traystall.rpc.gen.wire.ttypes import TunnelRequest
from traystall.tables.gateways import GatewayRow

# Head start of a direct connection before a tunnel is opened as well, and the shorter one if the
# path was broken before: a round trip between regions takes less.
_HEAD_START_SECONDS = 0.1
_PROBE_HEAD_START_SECONDS = 0.04
# Head start of each gateway that is asked for a tunnel over the next one.
_GATEWAY_HEAD_START_SECONDS = 0.1
# Timeout of opening a tunnel. The other gateway connects to the target in that time.
_TUNNEL_TIMEOUT_SECONDS = 0.4
# With this many broken paths the gateway itself counts as partitioned, not a single target.
_BROKEN_PATHS_OF_PARTITION = 2


class TargetDialer:
    """Open connections to targets for one gateway, and keep its `paths` up to date."""

    def __init__(self, context):
        self._context = context
        self.paths = TargetPaths(context.random)
        # Identifies this gateway to others; without it all connections are direct.
        self.link_identity: LinkIdentity | None = None

    async def dial(self, report: TargetReport, observer: ConnectionObserver) -> TargetConnection:
        """Return a new connection to a target; raise ConnectFailed if there is none."""
        target, now = report.identity, clock.monotonic()

        async def open_directly():
            return await connect(report.address, CONNECT_TIMEOUT_SECONDS, observer)

        if self.link_identity is None or not self.paths.may_tunnel(target, now):
            connection = await open_directly()
            self._record(report, connection)
            return connection

        async def open_through_gateway():
            return await self._open_tunnel(report, observer)

        was_broken = self.paths.is_broken(target)
        if self.paths.claim_probe(target, now):
            openers = [open_directly, open_through_gateway]
            head_start = _PROBE_HEAD_START_SECONDS if was_broken else _HEAD_START_SECONDS
        else:
            # The direct path is tried only after the tunnel has failed.
            openers, head_start = [open_through_gateway, open_directly], None
        try:
            connection = await first_open(openers, head_start)
        except ConnectFailed:
            self.paths.on_unreachable(target, clock.monotonic())
            raise
        self._record(report, connection)
        return connection

    async def is_reached_by_others(self, target: TargetIncarnation) -> bool:
        """Return whether another gateway connects to a target that refuses this one."""
        view = self._context.board.at_address(target.address)
        if self.link_identity is None or view is None or view.report.life != target.life:
            return False
        try:
            connection = await self._open_tunnel(view.report, ConnectionObserver())
        except ConnectFailed:
            return False
        connection.close()
        return True

    def _record(self, report, connection):
        """Record over which path a connection was opened."""
        target, now = report.identity, clock.monotonic()
        if not connection.via:
            if self.paths.on_direct(target):
                decision("path-restored", target=target)
                self._on_path_restored(target)
            return
        metrics.tunnels_total.inc({"pool": report.pool})
        if self.paths.on_tunnel(target, connection.via, now):
            decision("path-broken", target=target, via=connection.via)
            self._on_path_broken(target)

    def _on_path_broken(self, target):
        """Stop to avoid a target that others reach, and close connections that may hang."""
        board = self._context.board
        view = board.view(target)
        if view is not None:
            view.on_other_path()
            view.connections.close_idle(lambda connection: not connection.via)
        since = self.paths.broken_since()
        if len(since) < _BROKEN_PATHS_OF_PARTITION:
            return
        first = min(since)
        for other in board.views():
            other.connections.close_idle(
                lambda connection: not connection.via and connection.idle_since < first
            )

    def _on_path_restored(self, target):
        view = self._context.board.view(target)
        if view is not None:
            view.connections.close_idle(lambda connection: bool(connection.via))

    async def _open_tunnel(self, report, observer) -> TargetConnection:
        """Return a connection through another gateway; raise ConnectFailed if there is none."""
        rows = self._tunnel_gateways(report.data_centre)
        now = clock.monotonic()
        chosen = self.paths.choose_gateways(report.identity, rows, report.data_centre, now)
        if not chosen:
            raise ConnectFailed(f"No other gateway is known to reach {report.address}.")

        def opener(row) -> Opener:
            return lambda: self._open_through(row, report, observer)

        return await first_open([opener(row) for row in chosen], _GATEWAY_HEAD_START_SECONDS)

    def _tunnel_gateways(self, data_centre) -> list[GatewayRow]:
        """Return the gateways that may tunnel to targets in a data centre."""
        context = self._context
        allowed = {context.data_centre, data_centre} - context.board.evacuated
        return [
            row
            for row in context.directory()
            if row.identity != context.identity
            and row.state == "serving"
            and row.data_centre in allowed
        ]

    async def _open_through(self, row, report, observer) -> TargetConnection:
        request = TunnelRequest(target=report.identity, address=report.address, framed=True)
        try:
            connection = await open_tunnel(
                row, request, self.link_identity, observer, _TUNNEL_TIMEOUT_SECONDS
            )
        except RpcError as error:
            target = report.identity if isinstance(error, RpcRefused) else ""
            self.paths.on_gateway_failure(row.identity, target, clock.monotonic())
            is_refused = isinstance(error, RpcRefused) and error.code == TARGET_REFUSED
            raise ConnectFailed(
                f"{report.address} by tunnel: {error}", refused=is_refused
            ) from error
        self._context.places.on_response(row.data_centre)
        return connection
