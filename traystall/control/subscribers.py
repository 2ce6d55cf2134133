"""Subscribed gateways: answer their watches, record their state, share the gateway directory.

A watch is a long poll for updates of the configuration, evacuations, suspects and directory.
"""

import asyncio
import contextlib
import logging

from traystall.catalog.transfers import RevisionCopy, delta_copy, full_copy
from traystall.control.directory import DirectoryUpdates
from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcRefused
from traystall.evacuations.cache import to_wire
from traystall.quarantine.wire import to_wire as to_suspects
from traystall.rpc.client import LinkPool
from traystall.rpc.copies import CopySource
from traystall.rpc.gen.wire.ttypes import (
    DigestReply,
    DigestRequest,
    GatewayRecord,
    TransferReply,
    TransferRequest,
    WatchReply,
    WatchRequest,
)
from traystall.rpc.records import to_record, to_row
from traystall.tables.gateways import GatewayRow, GatewayTable

# How long a watch without updates is held open.
WATCH_HOLD_SECONDS = 1.0
# State in the watch of an operator's client that reads the configuration; it isn't listed.
OPERATOR_STATE = "operator"
_SHARE_INTERVAL_SECONDS = 1.0
_SHARE_TIMEOUT_SECONDS = 1.0

logger = logging.getLogger(__name__)


class Subscribers:
    """Answer watches and maintain the directory of gateways."""

    def __init__(self, node: Node, links: LinkPool, address: str):
        self.table = GatewayTable()
        self._node = node
        self._links = links
        self._address = address
        self._directory = DirectoryUpdates(self.table)
        # The first is set by every update, the second by all but directory changes.
        self._anything_changed = asyncio.Event()
        self._state_changed = asyncio.Event()
        self._copies = CopySource(self._copy_from)
        node.on_applied.append(self._wake)

    async def watch(self, request: WatchRequest) -> WatchReply:
        """Return the updates for a gateway; wait up to the hold time if there are none."""
        _require_gateway(request)
        if request.gateway.state != OPERATOR_STATE:
            self._record_gateway(request.gateway, direct=True)
        now = clock.monotonic()
        deadline, batch_end = now + WATCH_HOLD_SECONDS, self._directory.batch_end(request, now)
        while now < deadline and not self._has_updates(request):
            if now < batch_end:
                await self._wait(self._state_changed, batch_end - now)
            elif self._directory.has_changes(request):
                break
            else:
                await self._wait(self._anything_changed, deadline - now)
            now = clock.monotonic()
        return self._reply(request)

    async def transfer(self, request: TransferRequest) -> TransferReply:
        """Return a chunk of a configuration that a watch reply offered."""
        _require_gateway(request)
        self._record_gateway(request.gateway, direct=True)
        return self._copies.chunk(request)

    def merge_peer_gateways(self, request: DigestRequest) -> DigestReply:
        """Add the gateways that another control daemon serves to the directory."""
        for record in request.gateways or ():
            self._record_gateway(record, direct=False)
        return DigestReply(gateways=[])

    def records(self) -> list[GatewayRecord]:
        """Return the live gateways as wire records."""
        now = clock.monotonic()
        return [to_record(row, now) for row in self.table.live(now)]

    def rows(self) -> list[GatewayRow]:
        """Return the live gateways."""
        return self.table.live(clock.monotonic())

    def is_live(self, identity: str) -> bool:
        """Return whether any control daemon has heard from a gateway within the timeout."""
        return self.table.is_live(identity, clock.monotonic())

    async def share_directory_forever(self) -> None:
        """Send the gateways that this daemon serves to the other control daemons."""
        while True:
            await asyncio.sleep(_SHARE_INTERVAL_SECONDS)
            now = clock.monotonic()
            direct = [to_record(row, now) for row in self.table.live(now) if row.direct]
            request = DigestRequest(sender=self._node.replica.identity, gateways=direct)
            peers = [m.address for m in self._node.replica.members if m.address != self._address]
            await asyncio.gather(*(self._share(address, request) for address in peers))

    async def _share(self, address, request):
        try:
            await self._links.link(address).call(request, _SHARE_TIMEOUT_SECONDS)
        except RpcError as error:
            logger.debug("directory not shared", extra={"peer": address, "why": str(error)})

    def _has_updates(self, request):
        catalog = self._node.state.catalog
        if (request.gateway.evacuation_version or 0) < self._node.state.evacuations.places.version:
            return True
        wants_suspects = request.suspects_version is not None
        if wants_suspects and request.suspects_version < self._node.state.suspects.version:
            return True
        if request.gateway.number == catalog.number:
            return request.digest != catalog.digest
        return request.gateway.number < catalog.number

    def _reply(self, request):
        catalog = self._node.state.catalog
        reply = WatchReply(
            number=catalog.number,
            digest=catalog.digest,
            full=False,
            base=request.digest,
            puts={},
            deletes=[],
            fresh=self._node.is_fresh(),
            evacuated=to_wire(self._node.state.evacuations.places),
        )
        if request.suspects_version is not None:
            reply.suspects = to_suspects(self._node.state.suspects, request.suspects_version)
        self._directory.add_directory(reply, request, clock.monotonic())
        if request.gateway.number <= catalog.number:
            self._copies.fill(reply, request)
        return reply

    def _copy_from(self, base) -> RevisionCopy:
        catalog = self._node.state.catalog
        delta = catalog.delta_since(base)
        if delta is None:
            return full_copy(catalog.entities, catalog.digest)
        return delta_copy(delta)

    async def _wait(self, event, seconds):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await event.wait()

    def _wake(self):
        """Wake all waiting watches; later ones wait on new events."""
        urgent, self._state_changed = self._state_changed, asyncio.Event()
        urgent.set()
        self._wake_batched()

    def _wake_batched(self):
        """Wake the watches that directory changes alone may answer by now."""
        changed, self._anything_changed = self._anything_changed, asyncio.Event()
        changed.set()

    def _record_gateway(self, record, direct):
        now = clock.monotonic()
        version = self.table.version
        # An age below 0 would list the gateway forever: later reports would appear to be older.
        age = max(0.0, record.age or 0.0)
        self.table.put(to_row(record, now - age, direct))
        if self.table.version != version:
            self._wake_batched()


def _require_gateway(request):
    if request.gateway is None:
        raise RpcRefused("bad-request", "A watcher must say which gateway it is.")
