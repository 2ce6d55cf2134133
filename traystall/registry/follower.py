"""Watches the registries of all control daemons and merges their updates.

A target reports to any control daemon that it reaches. With a watch to each daemon, a report
arrives here directly after the daemon that acknowledged it, without waiting for the daemons to
replicate it. A daemon that is lost or partitioned removes nothing, since the merge never goes back
to an earlier state.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.quarantine.cache import SuspectCache
from traystall.registry.records import to_report
from traystall.registry.service import AGES_INTERVAL_SECONDS
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import RegistryReply, RegistryRequest

_WATCH_TIMEOUT_SECONDS = 2.0
_RETRY_SECONDS = 0.25
_UPDATE_INTERVAL_SECONDS = 0.5
# A control daemon outside the group that has replied in this time may still have subscribers.
_RECENT_SECONDS = 30.0

logger = logging.getLogger(__name__)


class _Position(msgspec.Struct, frozen=True):
    """The epoch and version up to which a registry's updates are known here.

    `restarted_at` is when this epoch was first known in place of an earlier one.
    """

    epoch: str = ""
    version: int = 0
    restarted_at: float = float("-inf")


class RegistryFollower:
    """Keeps one watch open to each known control daemon.

    `addresses` returns the addresses to watch. Updates go to these callbacks and objects:

    - `merge(report, seen_at)` receives reports of targets.
    - `record_seen(identity, seen_at)` receives the times at which targets last reported.
    - `on_members(members)` receives the control daemons that a registry knows of.
    - `number` returns the configuration revision in force here.
      `on_newer_revision(number, address)` receives a higher one and the address of its daemon.
    - `evacuation_version` returns the version of the evacuations in force here.
      `on_evacuation_update(evacuated)` receives the evacuations of each registry.
    - `suspects` receives the requests under which targets ended. Without it they are not requested.
    """

    def __init__(self, links: LinkPool, sender: str, addresses: Callable[[], list[str]]):
        self.merge: Callable = lambda report, seen_at: None
        self.record_seen: Callable = lambda identity, seen_at: None
        self.on_members: Callable = lambda members: None
        self.number: Callable[[], int] = lambda: 0
        self.on_newer_revision: Callable = lambda number, address: None
        self.evacuation_version: Callable[[], int] = lambda: 0
        self.on_evacuation_update: Callable = lambda evacuated: None
        self.suspects: SuspectCache | None = None
        self._last_replies: dict[str, float] = {}
        self._positions: dict[str, _Position] = {}
        # Whether the last reply of each registry contained suspects.
        self._supports_suspects: dict[str, bool] = {}
        self._supports_parts: dict[str, bool] = {}
        self._revisions: dict[str, int] = {}
        self._links = links
        self._sender = sender
        self._addresses = addresses
        self._watches: dict[str, asyncio.Task] = {}

    async def follow_forever(self) -> None:
        """Watch each control daemon as it becomes known, and stop the watches of removed ones."""
        try:
            while True:
                self._update_watches()
                await asyncio.sleep(_UPDATE_INTERVAL_SECONDS)
        finally:
            for task in self._watches.values():
                task.cancel()

    def last_reply_at(self) -> float:
        """Return the time of the last reply from any registry, in monotonic seconds."""
        return max(self._last_replies.values(), default=float("-inf"))

    def all_restarted_since(self, moment: float) -> bool:
        """Return whether every registry has restarted since `moment`, in monotonic seconds.

        A registry that has restarted knows only the targets that have reported since.
        """
        return all(position.restarted_at > moment for position in self._positions.values())

    async def confirm(self, seconds: float) -> bool:
        """Fetch what the registries know now; return whether no target can be missing here.

        That is so if each control daemon of the group replies within `seconds`, and each other one
        that has replied lately. Watches can't show this: a reply may be older than what another
        gateway has done since.
        """
        began = clock.monotonic()
        addresses = list(self._addresses())
        required = {a for a in addresses if began - self._last_replied_at(a) < _RECENT_SECONDS}
        calls = {a: asyncio.create_task(self._fetch_current(a, seconds)) for a in addresses}
        if not calls:
            return False
        _, pending = await asyncio.wait(calls.values(), timeout=seconds)
        for call in pending:
            call.cancel()
        replied = {a: call.result() for a, call in calls.items() if call not in pending}
        replied = {a: members for a, members in replied.items() if members is not None}
        required = required.union(*replied.values())
        missing = sorted(required - replied.keys())
        logger.debug("registries confirmed", extra={"missing": missing})
        # A daemon that is being let in again may know no members.
        return all(replied.values()) and bool(replied) and not missing

    @property
    def newest_revision(self) -> int:
        """Return the highest revision in the last replies of all registries."""
        return max(self._revisions.values(), default=0)

    @property
    def all_support_suspects(self) -> bool:
        """Return whether all registries that have replied support suspects."""
        return all(self._supports_suspects.values())

    @property
    def all_support_parts(self) -> bool:
        """Return whether all registries that have replied count prompt parts."""
        return all(self._supports_parts.values())

    def _update_watches(self):
        wanted = set(self._addresses())
        for address in [known for known, task in self._watches.items() if task.done()]:
            # Removed here and started again below; without it, all reports of targets to that
            # daemon would be missing here permanently.
            error = self._watches.pop(address).exception()
            logger.error("registry watch failed", extra={"peer": address}, exc_info=error)
        for address in wanted - self._watches.keys():
            self._watches[address] = asyncio.create_task(self._watch_forever(address))
        for address in self._watches.keys() - wanted:
            self._watches.pop(address).cancel()
            self._revisions.pop(address, None)
            self._supports_suspects.pop(address, None)
            self._supports_parts.pop(address, None)

    async def _watch_forever(self, address):
        request = RegistryRequest(sender=self._sender, epoch="", version=0)
        known_revision = 0
        last_ages_at = None
        while True:
            request.ages_told = None if last_ages_at is None else clock.monotonic() - last_ages_at
            # A known revision that is not in force yet must not end the next watch at once. When it
            # did, each registry sent its list of ages ten times a second during a transfer.
            request.number = max(self.number(), known_revision)
            request.evacuation_version = self.evacuation_version()
            if self.suspects is not None:
                request.suspects_version = self.suspects.version
            try:
                reply = await self._links.link(address).call(request, _WATCH_TIMEOUT_SECONDS)
            except RpcError as error:
                logger.debug(
                    "registry not reachable; retrying", extra={"peer": address, "why": str(error)}
                )
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self._last_replies[address] = clock.monotonic()
            self._supports_suspects[address] = reply.suspects is not None
            self._supports_parts[address] = bool(reply.suspects) and (
                reply.suspects.parts is not None
            )
            self._apply(reply)
            self._record_position(address, reply)
            if reply.ages is not None:
                last_ages_at = self._last_replies[address]
            known_revision = reply.number or 0
            self._revisions[address] = known_revision
            if known_revision > self.number():
                self.on_newer_revision(known_revision, address)
            request.epoch = reply.epoch
            request.version = reply.version

    def _last_replied_at(self, address):
        return self._last_replies.get(address, float("-inf"))

    def _record_position(self, address, reply):
        known = self._positions.get(address, _Position())
        is_restart = known.epoch not in ("", reply.epoch)
        restarted_at = clock.monotonic() if is_restart else known.restarted_at
        self._positions[address] = _Position(reply.epoch, reply.version, restarted_at)

    async def _fetch_current(self, address, seconds) -> set[str] | None:
        """Merge all current targets of one registry; return its members, or None without a reply.

        The registry replies at once if the ages that it sent last are old enough.
        """
        position = self._positions.get(address, _Position())
        request = RegistryRequest(
            sender=self._sender,
            epoch=position.epoch,
            version=position.version,
            number=self.number(),
            evacuation_version=self.evacuation_version(),
            ages_told=AGES_INTERVAL_SECONDS,
        )
        while True:
            try:
                reply = await self._links.link(address).call(request, seconds)
            except RpcError as error:
                extra = {"peer": address, "why": str(error)}
                logger.info("registry did not confirm its targets", extra=extra)
                return None
            self._merge_targets(reply)
            if not reply.targets:
                return {member.address for member in reply.members or []}
            request.epoch, request.version = reply.epoch, reply.version

    def _apply(self, reply: RegistryReply):
        self._merge_targets(reply)
        self.on_members(reply.members or [])
        self.on_evacuation_update(reply.evacuated)
        if self.suspects is not None:
            self.suspects.take(reply.suspects)

    def _merge_targets(self, reply):
        now = clock.monotonic()
        for record in reply.targets or ():
            try:
                report = to_report(record)
            except ValueError as error:
                # The target has a state that this release doesn't know.
                extra = {"target": record.identity, "why": str(error)}
                logger.warning("target not understood", extra=extra)
                continue
            self.merge(report, now - (record.age or 0.0))
        for identity, age in (reply.ages or {}).items():
            self.record_seen(identity, now - age)
