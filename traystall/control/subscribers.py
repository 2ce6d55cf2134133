"""Gateways that watch: hand them deltas, note what they have in force, share the directory."""

import asyncio
import contextlib
import logging

from traystall.catalog.transfers import RevisionCopy, delta_copy, full_copy
from traystall.control.directory import DirectoryNews
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

# How long a watch is held open when nothing is new, in seconds.
WATCH_HOLD = 1.0
# An operator's client that reads the configuration calls itself this; it is not listed.
OPERATOR_STATE = "operator"
_SHARE_SECONDS = 1.0
_SHARE_TIMEOUT = 1.0

logger = logging.getLogger(__name__)


class Subscribers:
    """Answer watches and keep the directory of gateways."""

    def __init__(self, node: Node, links: LinkPool, address: str):
        self.table = GatewayTable()
        self._node = node
        self._links = links
        self._address = address
        self._directory = DirectoryNews(self.table)
        # Set by whatever is new, and by what isn't gathered: all but the directory.
        self._changed = asyncio.Event()
        self._urgent = asyncio.Event()
        self._copies = CopySource(self._copy_from)
        node.on_applied.append(self._wake)

    async def watch(self, request: WatchRequest) -> WatchReply:
        """Return what is new to a gateway, waiting a while if nothing is."""
        _require_gateway(request)
        if request.gateway.state != OPERATOR_STATE:
            self._note(request.gateway, direct=True)
        now = clock.monotonic()
        deadline, gathered_at = now + WATCH_HOLD, self._directory.gathered_at(request, now)
        while now < deadline and not self._has_news(request):
            if now < gathered_at:
                await self._wait(self._urgent, gathered_at - now)
            elif self._directory.is_news(request):
                break
            else:
                await self._wait(self._changed, deadline - now)
            now = clock.monotonic()
        return self._reply(request)

    async def transfer(self, request: TransferRequest) -> TransferReply:
        """Return a chunk of a configuration that was offered to a watcher."""
        _require_gateway(request)
        self._note(request.gateway, direct=True)
        return self._copies.chunk(request)

    def exchange(self, request: DigestRequest) -> DigestReply:
        """Take in the gateways that another control daemon serves."""
        for record in request.gateways or ():
            self._note(record, direct=False)
        return DigestReply(gateways=[])

    def records(self) -> list[GatewayRecord]:
        """Return the live gateways as wire records."""
        now = clock.monotonic()
        return [to_record(row, now) for row in self.table.live(now)]

    def rows(self) -> list[GatewayRow]:
        """Return the live gateways."""
        return self.table.live(clock.monotonic())

    def is_live(self, identity: str) -> bool:
        """Return whether a gateway was seen lately by any control daemon."""
        return self.table.is_live(identity, clock.monotonic())

    async def share_forever(self) -> None:
        """Tell the other control daemons which gateways this one serves."""
        while True:
            await asyncio.sleep(_SHARE_SECONDS)
            now = clock.monotonic()
            direct = [to_record(row, now) for row in self.table.live(now) if row.direct]
            request = DigestRequest(sender=self._node.replica.identity, gateways=direct)
            peers = [m.address for m in self._node.replica.members if m.address != self._address]
            await asyncio.gather(*(self._share(address, request) for address in peers))

    async def _share(self, address, request):
        try:
            await self._links.link(address).call(request, _SHARE_TIMEOUT)
        except RpcError as error:
            logger.debug("directory not shared", extra={"peer": address, "why": str(error)})

    def _has_news(self, request):
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
        self._directory.tell(reply, request, clock.monotonic())
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
        """Wake every watch that waits; later ones wait on a new event."""
        urgent, self._urgent = self._urgent, asyncio.Event()
        urgent.set()
        self._wake_gathered()

    def _wake_gathered(self):
        """Wake the watches that news of the directory alone may answer by now."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _note(self, record, direct):
        now = clock.monotonic()
        version = self.table.version
        # An age below 0 would list it for ever: later signs of it would be older.
        age = max(0.0, record.age or 0.0)
        self.table.put(to_row(record, now - age, direct))
        if self.table.version != version:
            self._wake_gathered()


def _require_gateway(request):
    if request.gateway is None:
        raise RpcRefused("bad-request", "A watcher must say which gateway it is.")
