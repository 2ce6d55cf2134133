"""Follow the configuration: watch a control daemon, take deltas, never step back."""

import asyncio
import logging
from collections.abc import Callable

from traystall.catalog.deltas import EMPTY_DIGEST, Delta, apply_delta, entities_digest
from traystall.catalog.transfers import full_copy
from traystall.core import clock, metrics
from traystall.core.exceptions import DeltaMismatch, RpcError
from traystall.core.logs import decision
from traystall.evacuations.cache import EvacuationCache, to_wire
from traystall.gateway.directory import FollowedDirectory
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

_WATCH_TIMEOUT = 1.6
_FIRST_TIMEOUT = 1.5
_RETRY_SECONDS = 0.2
# A gateway that has forgotten its base asks so often, in seconds: as often as a quiet watch ends.
_NO_BASE_SECONDS = 1.0
# Changes up to this size come with the reply, in bytes; larger ones are fetched in chunks.
# Alone on 5 Mbit/s it takes 26 ms, so that even all control daemons at once stay in time.
_INLINE_BYTES = 16 * 1024

logger = logging.getLogger(__name__)


class HeldRevision:
    """Hold the revision in force here; `take` moves it forward only."""

    def __init__(self):
        self.entities: dict[str, bytes] = {}
        self.digest = EMPTY_DIGEST
        self.tables = ConfigurationTables()

    @property
    def number(self) -> int:
        """Return the number of the revision in force."""
        return self.tables.number

    def take(self, reply: WatchReply) -> bool:
        """Take in a reply; return whether the revision moved. Raise DeltaMismatch if unusable."""
        if (reply.number or 0) <= self.number or self.is_crossed(reply):
            return False
        delta = self._delta_of(reply)
        entities = apply_delta(self.entities, self.digest, delta)
        self.tables = self.tables.updated(reply.number, entities, delta.changed)
        self.entities = entities
        self.digest = delta.result
        return True

    def is_crossed(self, reply):
        """Return whether a delta was made for what was held before another reply was taken.

        Several control daemons are asked at once. What is held stays good, and the next watch
        gets what is missing. To forget it would ask for a full copy: after a restart of the
        control daemons 87 gateways did so seven times each, which filled links of 5 Mbit/s for a
        second and cut their batchers off.
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
    """Keep a HeldRevision, the evacuations and the gateway directory up to date.

    Routes, evacuations and suspects come in one reply, so a gateway that starts never has
    routes without knowing which data centres are evacuated, and which requests it must not send.
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
        self._directory = FollowedDirectory()
        # Who answered first at the start: watched first, because it is surely there.
        self._answered = ""
        self._fetcher = CopyFetcher(links, describe)
        self._copies = CopySource(lambda base: full_copy(self.held.entities, self.held.digest))

    @property
    def directory(self) -> list[GatewayRow]:
        """Return the gateways as they were last told of."""
        return self._directory.rows

    @property
    def newest_revision(self) -> int:
        """Return the number of the revision that is held or being fetched."""
        return max(self.held.number, self._fetcher.number)

    async def take_highest(self) -> None:
        """Take the highest revision among all that can be reached; done once at the start.

        A control daemon that follows a working leader is at most a heartbeat behind: once one
        has answered nobody else is waited for, least of all those that are lost.
        """
        sources = [*self._controls, *self._neighbours]
        asked = [asyncio.create_task(self._ask_for_revision(address)) for address in sources]
        usable = []
        try:
            for answered in asyncio.as_completed(asked):
                address, reply = await answered
                if reply is not None and reply.number:
                    usable.append((address, reply))
                    if reply.fresh:
                        self._answered = address
                        break
        finally:
            for task in asked:
                task.cancel()
        for address, reply in sorted(usable, key=lambda pair: pair[1].number, reverse=True):
            if await self._take_from(address, reply):
                return

    async def follow_forever(self) -> None:
        """Watch the first fresh control daemon, the nearest first; fall back in turn."""
        position = 0
        while True:
            address = self._answered or self._controls[position % len(self._controls)]
            self._answered = ""
            before = self.held.number
            reply = await self._ask(address, _WATCH_TIMEOUT)
            if reply is not None:
                await self._take_from(address, reply)
            if reply is None or not reply.fresh or self._is_stuck(before, reply):
                position += 1
                self._directory.turn()
                await asyncio.sleep(_RETRY_SECONDS)
            elif self._lacks_base(reply):
                await asyncio.sleep(_NO_BASE_SECONDS)

    async def take_from(self, address: str) -> None:
        """Take the revision of one control daemon that is known to have a newer one."""
        _, reply = await self._ask_for_revision(address)
        if reply is not None:
            await self._take_from(address, reply)

    def answer_watch(self, request: WatchRequest) -> WatchReply:
        """Return this gateway's revision to a neighbour that starts."""
        reply = WatchReply(
            # Forgotten entities are no revision that another gateway could take.
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
        """Return a chunk of this gateway's revision to a neighbour that starts."""
        return self._copies.chunk(request)

    def _is_stuck(self, before, reply):
        """Return whether a reply told of a newer revision and nothing newer is held since."""
        return self.held.number == before and (reply.number or 0) > before

    def _lacks_base(self, reply):
        """Return whether the revision held is in force, but its entities were forgotten.

        Only a higher one brings them back; a watch is answered at once until then.
        """
        return reply.number == self.held.number and self.held.digest != reply.digest

    async def _ask_for_revision(self, address):
        """Ask for the revision alone; return the address with the reply.

        Only who is watched sends the directory: one of 195 gateways is 25 KB from each daemon.
        """
        reply = await self._ask(address, _FIRST_TIMEOUT, with_directory=False)
        if reply is not None:
            # A daemon that can't be asked without sends it; its versions are not those followed.
            reply.directory = None
        return address, reply

    async def _ask(self, address, timeout, with_directory=True):
        request = WatchRequest(
            gateway=self._describe(),
            digest=self.held.digest,
            inline_bytes=_INLINE_BYTES,
            suspects_version=self.suspects.version,
        )
        self._directory.describe_base(request, with_directory)
        try:
            return await self._links.link(address).call(request, timeout)
        except RpcError as error:
            logger.info("watch failed", extra={"peer": address, "why": str(error)})
            return None

    async def _take_from(self, address, reply) -> bool:
        """Take in a reply, and fetch what it only offers; return whether the revision moved."""
        if reply.offer is None:
            return self._take(reply)
        self._take_beside(reply)
        if reply.number <= self.held.number or self.held.is_crossed(reply):
            return False
        copy = await self._fetcher.fetch(address, reply)
        if copy is None:
            return False
        fill_reply(reply, copy)
        return self._take_revision(reply)

    def _take(self, reply) -> bool:
        self._take_beside(reply)
        if (reply.number or 0) < self._fetcher.number:
            # A daemon that lags behind: to move the base would void what is being fetched.
            return False
        return self._take_revision(reply)

    def _take_beside(self, reply):
        """Take in what a reply tells besides the revision."""
        directory_moved = self._directory.take(reply, clock.monotonic())
        self.suspects.take(reply.suspects)
        if self.evacuations.take(reply.evacuated) or directory_moved:
            self._notify()

    def _take_revision(self, reply) -> bool:
        try:
            moved = self.held.take(reply)
        except DeltaMismatch as error:
            # Forget the base: the next watch then gets a full copy.
            logger.warning("delta refused", extra={"why": str(error)})
            self.held.digest = EMPTY_DIGEST
            self.held.entities = {}
            return False
        if moved:
            metrics.configuration_number.set({}, self.held.number)
            decision("configuration", number=self.held.number, full=bool(reply.full))
            self._notify()
        return moved

    def _notify(self):
        for callback in self.on_change:
            callback()
