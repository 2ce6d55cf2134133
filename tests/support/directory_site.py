"""Gateways that watch one control daemon, to measure the cost of the gateway directory.

The gateways are the product's own followers and the daemon is the product's own `Subscribers`.
Every message between them is encoded and decoded, but no socket is used, so that only the cost of
the directory varies.
"""

import asyncio
import contextlib
import time
from types import SimpleNamespace

from traystall.catalog.deltas import EMPTY_DIGEST, Delta
from traystall.control.subscribers import Subscribers
from traystall.core import clock
from traystall.core.exceptions import RpcTimeout
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.gateway.configuration import ConfigurationFollower
from traystall.quarantine.state import SuspectTable
from traystall.rpc.gen.wire.ttypes import GatewayRecord, WatchReply, WatchRequest
from traystall.rpc.messages import decode, encode

CONTROL = "control-1:7000"
_DATA_CENTRES = 11


class Catalog:
    """Hold a configuration of which only the number matters; each of its deltas is empty."""

    def __init__(self):
        self.number = 0
        self.digest = EMPTY_DIGEST
        self.entities: dict[str, bytes] = {}

    def delta_since(self, digest: bytes) -> Delta:
        """Return an empty delta."""
        return Delta(digest, self.digest, {}, [])


class ControlNode:
    """Replace the node of a control daemon: a state without a group, notified on demand."""

    def __init__(self):
        self.state = SimpleNamespace(
            catalog=Catalog(),
            evacuations=SimpleNamespace(places=EvacuatedDataCentres()),
            suspects=SuspectTable(),
        )
        self.replica = SimpleNamespace(identity="control-1", members=[])
        self.on_applied = []

    def is_fresh(self) -> bool:
        """Return that this daemon follows a working leader."""
        return True

    def applied(self) -> None:
        """Notify all listeners that the state has changed."""
        for callback in self.on_applied:
            callback()


class SiteGateway:
    """Run the follower of one gateway; `restart` starts a new incarnation of the same instance."""

    def __init__(self, site: "Site", number: int):
        self.instance = f"gateway-{number:03}"
        self.state = "serving"
        self.directory_bytes = 0
        self.reply_bytes = 0
        self.update_count = 0
        self._site = site
        self._number = number
        self._incarnation = 0
        self._task: asyncio.Task | None = None
        self.start()

    @property
    def identity(self) -> str:
        """Return the identity of the current incarnation."""
        return f"{self.instance}/{self._incarnation:020x}"

    def start(self) -> None:
        """Start a new incarnation."""
        self._incarnation += 1
        self.state = "serving"
        self._started_at = clock.monotonic()
        self.follower = ConfigurationFollower(_Links(self), [CONTROL], [], self._describe)
        self._task = asyncio.create_task(self.follower.follow_forever())

    async def stop(self) -> None:
        """Stop the current incarnation at once."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def raise_failure(self) -> None:
        """Raise the error that ended the current incarnation, if any."""
        if self._task.done() and not self._task.cancelled():
            self._task.result()

    async def restart(self, drain_seconds: float) -> None:
        """Drain, stop, and start again."""
        self.state = "draining"
        await asyncio.sleep(drain_seconds)
        await self.stop()
        self.start()

    async def call(self, request: WatchRequest, timeout: float) -> WatchReply:
        """Send a watch to the control daemon as over a link; count the reply in bytes."""
        try:
            async with asyncio.timeout(timeout):
                reply = await self._site.subscribers.watch(decode(WatchRequest, encode(request)))
        except TimeoutError as error:
            # A link raises this error too; any other error would end the follower.
            raise RpcTimeout(f"No reply within {timeout:.2f} s.") from error
        began = time.perf_counter()
        body = encode(reply)
        self._site.control_seconds += time.perf_counter() - began
        self.reply_bytes += len(body)
        self.directory_bytes += len(body) - len(encode(_without_directory(reply)))
        self.update_count += reply.directory is not None or reply.directory_base is not None
        return decode(WatchReply, body)

    def _describe(self):
        return GatewayRecord(
            identity=self.identity,
            instance=self.instance,
            data_centre=f"queretaro-{self._number % _DATA_CENTRES}",
            address=f"10.20.{self._number}.1:8080",
            rpc_address=f"10.20.{self._number}.1:7100",
            number=0,
            state=self.state,
            age=0.0,
            leaving=[],
            uptime=clock.monotonic() - self._started_at,
            evacuation_version=0,
        )


class Site:
    """Run `count` gateways; `control_seconds` is spent on building and encoding replies."""

    def __init__(self, count: int):
        self.node = ControlNode()
        self.subscribers = Subscribers(self.node, None, CONTROL)
        self.control_seconds = 0.0
        self._time_replies()
        self.gateways = [SiteGateway(self, number) for number in range(count)]

    async def settle(self, seconds: float) -> None:
        """Wait until every gateway lists all; raise TimeoutError if that takes longer.

        Raise the error of a gateway that has ended at once, since waiting would not help.
        """
        wanted = {gateway.identity for gateway in self.gateways}
        async with asyncio.timeout(seconds):
            while any(listed(gateway) != wanted for gateway in self.gateways):
                for gateway in self.gateways:
                    gateway.raise_failure()
                await asyncio.sleep(0.05)

    async def restart_in_turn(self, count: int, every: float, drain_seconds: float) -> None:
        """Restart the first `count` gateways, one every `every` seconds; return when all run."""
        async with asyncio.TaskGroup() as group:
            for gateway in self.gateways[:count]:
                group.create_task(gateway.restart(drain_seconds))
                await asyncio.sleep(every)

    async def stop(self) -> None:
        """Stop every gateway."""
        for gateway in self.gateways:
            await gateway.stop()

    def _time_replies(self):
        build_reply = self.subscribers._reply

        def timed(request):
            began = time.perf_counter()
            reply = build_reply(request)
            self.control_seconds += time.perf_counter() - began
            return reply

        self.subscribers._reply = timed


def listed(gateway: SiteGateway) -> set[str]:
    """Return the identities in a gateway's directory."""
    return {row.identity for row in gateway.follower.directory}


class _Links:
    """Connect every address to the only control daemon."""

    def __init__(self, gateway):
        self._gateway = gateway

    def link(self, address):
        return self._gateway


def _without_directory(reply):
    return WatchReply(
        number=reply.number,
        digest=reply.digest,
        full=reply.full,
        base=reply.base,
        puts=reply.puts,
        deletes=reply.deletes,
        fresh=reply.fresh,
        evacuated=reply.evacuated,
    )
