"""Follow the configuration: watch a control daemon and apply deltas, only ever forward."""

import asyncio
import logging
from collections.abc import Callable

from traystall.catalog.deltas import EMPTY_DIGEST, Delta, apply_delta, entities_digest
from traystall.catalog.transfers import full_copy
from traystall.core import clock, metrics
from traystall.core.exceptions import DeltaMismatch, RpcError
from traystall.core.logs import decision
from traystall.evacuations.cache import EvacuationCache, to_wire
from traystall.gateway.directory import DirectoryCache
from traystall.gateway.transfer import CopyFetcher
from traystall.quarantine.cache import SuspectCache
from traystall.rpc.client import LinkPool
from traystall.rpc.copies import CopySource, fill_reply
from traystall.rpc.gen.wire.ttypes import (
    GatewayRecord,
    TransferReply,
    TransferRequest,
    WatchReply,
    WatchRequest,
)
from traystall.tables.configuration import ConfigurationTables
from traystall.tables.gateways import GatewayRow

_WATCH_TIMEOUT_SECONDS = 1.6
_FIRST_TIMEOUT_SECONDS = 1.5
_RETRY_SECONDS = 0.2
# Poll interval of a gateway that has dropped its base: as often as an idle watch returns.
_LOST_BASE_RETRY_SECONDS = 1.0
# Changes up to this size are part of the reply; larger ones are fetched in chunks. On an idle link
# of 5 Mbit/s this takes 26 ms, so that even replies of all control daemons at once arrive in time.
_INLINE_BYTES = 16 * 1024

logger = logging.getLogger(__name__)


class HeldRevision:
    """The revision in force here; `take` never replaces it with an older one."""

    def __init__(self):
        self.entities: dict[str, bytes] = {}
        self.digest = EMPTY_DIGEST
        self.tables = ConfigurationTables()

    @property
    def number(self) -> int:
        """Return the number of the revision in force."""
        return self.tables.number

    def take(self, reply: WatchReply) -> bool:
        """Apply a reply; return whether the revision changed. Raise DeltaMismatch if unusable."""
        if (reply.number or 0) <= self.number or self.is_outdated(reply):
            return False
        delta = self._delta_of(reply)
        entities = apply_delta(self.entities, self.digest, delta)
        self.tables = self.tables.updated(reply.number, entities, delta.changed)
        self.entities = entities
        self.digest = delta.result
        return True

    def is_outdated(self, reply):
        """Return whether a delta is based on a revision that another reply has replaced since.

        This happens because several control daemons are asked at once. The revision stays valid,
        and the next watch returns what is missing. Dropping it instead would request a full copy:
        after a restart of the control daemons, 87 gateways did so seven times each, which filled
        links of 5 Mbit/s for a second and cut off their batchers.
        """
        return not reply.full and (reply.base or b"") != self.digest

    def _delta_of(self, reply):
        if not reply.full:
            return Delta(reply.base, reply.digest, reply.puts or {}, list(reply.deletes or ()))
        if entities_digest(reply.puts or {}) != reply.digest:
            raise DeltaMismatch("A full copy does not have the digest it came with.")
        deletes = [key for key in self.entities if key not in reply.puts]
        return Delta(self.digest, reply.digest, reply.puts, deletes)


class ConfigurationFollower:
    """Keep the configuration, evacuations, suspects and the gateway directory up to date.

    Routes, evacuations and suspects arrive in one reply. A starting gateway therefore never has
    routes without knowing which data centres are evacuated and which requests are quarantined.
    """

    def __init__(
        self,
        links: LinkPool,
        controls: list[str],
        neighbours: list[str],
        describe: Callable[[], GatewayRecord],
    ):
        self.held = HeldRevision()
        self.evacuations = EvacuationCache()
        self.suspects = SuspectCache()
        self.on_change: list[Callable[[], None]] = []
        self._links = links
        self._controls = controls
        self._neighbours = neighbours
        self._describe = describe
        self._directory = DirectoryCache()
        # The control daemon that replied first at the start; watched first, as it is reachable.
        self._first_responder = ""
        self._fetcher = CopyFetcher(links, describe)
        self._copies = CopySource(lambda base: full_copy(self.held.entities, self.held.digest))

    @property
    def directory(self) -> list[GatewayRow]:
        """Return the last known gateways."""
        return self._directory.rows

    @property
    def newest_revision(self) -> int:
        """Return the number of the newest revision that is in force or being fetched."""
        return max(self.held.number, self._fetcher.number)

    async def fetch_newest(self) -> None:
        """Fetch the newest revision among all reachable sources; called once at the start.

        A control daemon that follows a working leader is at most one heartbeat behind. Once one
        has replied, the other sources are not awaited, since some may be unreachable.
        """
        sources = [*self._controls, *self._neighbours]
        tasks = [asyncio.create_task(self._request_revision(address)) for address in sources]
        usable = []
        try:
            for completed in asyncio.as_completed(tasks):
                address, reply = await completed
                if reply is not None and reply.number:
                    usable.append((address, reply))
                    if reply.fresh:
                        self._first_responder = address
                        break
        finally:
            for task in tasks:
                task.cancel()
        for address, reply in sorted(usable, key=lambda pair: pair[1].number, reverse=True):
            if await self._apply_or_fetch(address, reply):
                return

    async def follow_forever(self) -> None:
        """Watch the nearest up-to-date control daemon; try the others in order if it fails."""
        position = 0
        while True:
            address = self._first_responder or self._controls[position % len(self._controls)]
            self._first_responder = ""
            before = self.held.number
            reply = await self._watch(address, _WATCH_TIMEOUT_SECONDS)
            if reply is not None:
                await self._apply_or_fetch(address, reply)
            if reply is None or not reply.fresh or self._made_no_progress(before, reply):
                position += 1
                self._directory.switch_source()
                await asyncio.sleep(_RETRY_SECONDS)
            elif self._lost_base(reply):
                await asyncio.sleep(_LOST_BASE_RETRY_SECONDS)

    async def fetch_from(self, address: str) -> None:
        """Fetch the revision of a control daemon that has announced a newer one."""
        _, reply = await self._request_revision(address)
        if reply is not None:
            await self._apply_or_fetch(address, reply)

    def answer_watch(self, request: WatchRequest) -> WatchReply:
        """Return this gateway's revision to another gateway that starts."""
        reply = WatchReply(
            # Without its entities a revision can't be served to another gateway.
            number=self.held.number if self.held.entities else 0,
            digest=self.held.digest,
            full=True,
            base=b"",
            puts={},
            deletes=[],
            directory_version=0,
            directory=[],
            fresh=False,
            evacuated=to_wire(self.evacuations.places),
            suspects=self.suspects.to_wire(),
        )
        self._copies.fill(reply, request)
        return reply

    def answer_transfer(self, request: TransferRequest) -> TransferReply:
        """Return a chunk of this gateway's revision to another gateway that starts."""
        return self._copies.chunk(request)

    def _made_no_progress(self, before, reply):
        """Return whether a reply announced a newer revision, but none has come into force."""
        return self.held.number == before and (reply.number or 0) > before

    def _lost_base(self, reply):
        """Return whether the newest revision is in force, but its entities were dropped.

        Only a newer revision restores them. Until then a watch returns immediately.
        """
        return reply.number == self.held.number and self.held.digest != reply.digest

    async def _request_revision(self, address):
        """Request the revision without the directory; return the address with the reply.

        Only the watched control daemon sends the directory: for 195 gateways it has 25 KB, which
        every daemon would send.
        """
        reply = await self._watch(address, _FIRST_TIMEOUT_SECONDS, with_directory=False)
        if reply is not None:
            # Old daemons always send the directory; its versions differ from the watched daemon's.
            reply.directory = None
        return address, reply

    async def _watch(self, address, timeout, with_directory=True):
        request = WatchRequest(
            gateway=self._describe(),
            digest=self.held.digest,
            inline_bytes=_INLINE_BYTES,
            suspects_version=self.suspects.version,
        )
        self._directory.add_known_version(request, with_directory)
        try:
            return await self._links.link(address).call(request, timeout)
        except RpcError as error:
            logger.info("watch failed", extra={"peer": address, "why": str(error)})
            return None

    async def _apply_or_fetch(self, address, reply) -> bool:
        """Apply a reply, and fetch a revision that it offers; return whether it changed here."""
        if reply.offer is None:
            return self._apply_reply(reply)
        self._apply_metadata(reply)
        if reply.number <= self.held.number or self.held.is_outdated(reply):
            return False
        copy = await self._fetcher.fetch(address, reply)
        if copy is None:
            return False
        fill_reply(reply, copy)
        return self._apply_revision(reply)

    def _apply_reply(self, reply) -> bool:
        self._apply_metadata(reply)
        if (reply.number or 0) < self._fetcher.number:
            # A lagging daemon. Applying its delta would change the base of the running transfer.
            return False
        return self._apply_revision(reply)

    def _apply_metadata(self, reply):
        """Apply the directory, suspects and evacuations of a reply."""
        has_directory_changed = self._directory.take(reply, clock.monotonic())
        self.suspects.take(reply.suspects)
        if self.evacuations.take(reply.evacuated) or has_directory_changed:
            self._notify()

    def _apply_revision(self, reply) -> bool:
        try:
            has_changed = self.held.take(reply)
        except DeltaMismatch as error:
            # Drop the base, so that the next watch returns a full copy.
            logger.warning("delta refused", extra={"why": str(error)})
            self.held.digest = EMPTY_DIGEST
            self.held.entities = {}
            return False
        if has_changed:
            metrics.configuration_number.set({}, self.held.number)
            decision("configuration", number=self.held.number, full=bool(reply.full))
            self._notify()
        return has_changed

    def _notify(self):
        for callback in self.on_change:
            callback()
