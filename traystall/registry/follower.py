"""Watch the registries of all control daemons and merge what they tell.

A target reports to any control daemon it reaches. Watching every one of them
means that what one of them acknowledges is known here one link later, without
waiting for the daemons to agree; a daemon that is lost or cut off takes nothing
away, because the merge never steps back.
"""

import asyncio
import logging
from collections.abc import Callable

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.quarantine.cache import SuspectCache
from traystall.registry.records import to_report
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import RegistryReply, RegistryRequest

_WATCH_TIMEOUT = 2.0
_RETRY_SECONDS = 0.25
_REVIEW_SECONDS = 0.5

logger = logging.getLogger(__name__)


class RegistryFollower:
    """Keep one watch open to each known control daemon.

    `addresses` returns whom to watch now; `merge(report, seen_at)` and
    `saw(identity, seen_at)` take in what is told; `on_members(members)` gets the
    control daemons that a registry knows of. `number` returns the revision held
    here, `on_number(number, address)` gets a higher one and who has it;
    `evacuation_version` returns the version of the evacuations held here,
    `on_evacuated(told)` gets what each registry tells of them. `suspects` takes in what they tell
    of requests under which targets ended; without it they are not asked.
    """

    def __init__(self, links: LinkPool, sender: str, addresses: Callable[[], list[str]]):
        self.merge: Callable = lambda report, seen_at: None
        self.record_seen: Callable = lambda identity, seen_at: None
        self.on_members: Callable = lambda members: None
        self.number: Callable[[], int] = lambda: 0
        self.on_newer_revision: Callable = lambda number, address: None
        self.evacuation_version: Callable[[], int] = lambda: 0
        self.on_evacuation_update: Callable = lambda told: None
        self.suspects: SuspectCache | None = None
        self.heard_at: dict[str, float] = {}
        # Whether each registry, when it last answered, told of suspects.
        self._tells_suspects: dict[str, bool] = {}
        self._told_numbers: dict[str, int] = {}
        self._links = links
        self._sender = sender
        self._addresses = addresses
        self._watches: dict[str, asyncio.Task] = {}

    async def follow_forever(self) -> None:
        """Open a watch to each control daemon that becomes known, end those no longer named."""
        try:
            while True:
                self._review()
                await asyncio.sleep(_REVIEW_SECONDS)
        finally:
            for task in self._watches.values():
                task.cancel()

    def last_reply_at(self) -> float:
        """Return when any registry last answered, in monotonic seconds."""
        return max(self.heard_at.values(), default=float("-inf"))

    @property
    def newest_revision(self) -> int:
        """Return the highest revision that a registry told of when it last answered."""
        return max(self._told_numbers.values(), default=0)

    @property
    def all_support_suspects(self) -> bool:
        """Return whether every registry that is heard knows of suspects."""
        return all(self._tells_suspects.values())

    def _review(self):
        wanted = set(self._addresses())
        for address in [known for known, task in self._watches.items() if task.done()]:
            # Not opened again, what that daemon's targets say would be missing here for good.
            error = self._watches.pop(address).exception()
            logger.error("registry watch failed", extra={"peer": address}, exc_info=error)
        for address in wanted - self._watches.keys():
            self._watches[address] = asyncio.create_task(self._watch_forever(address))
        for address in self._watches.keys() - wanted:
            self._watches.pop(address).cancel()
            self._told_numbers.pop(address, None)
            self._tells_suspects.pop(address, None)

    async def _watch_forever(self, address):
        request = RegistryRequest(sender=self._sender, epoch="", version=0)
        told = 0
        ages_at = None
        while True:
            request.ages_told = None if ages_at is None else clock.monotonic() - ages_at
            # A revision that was told is told again when the watch ends, not at once: while one
            # was on its way, each registry's list of ages came ten times a second.
            request.number = max(self.number(), told)
            request.evacuation_version = self.evacuation_version()
            if self.suspects is not None:
                request.suspects_version = self.suspects.version
            try:
                reply = await self._links.link(address).call(request, _WATCH_TIMEOUT)
            except RpcError as error:
                logger.debug("registry not heard", extra={"peer": address, "why": str(error)})
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self.heard_at[address] = clock.monotonic()
            self._tells_suspects[address] = reply.suspects is not None
            self._take(reply)
            if reply.ages is not None:
                ages_at = self.heard_at[address]
            told = reply.number or 0
            self._told_numbers[address] = told
            if told > self.number():
                self.on_newer_revision(told, address)
            request.epoch = reply.epoch
            request.version = reply.version

    def _take(self, reply: RegistryReply):
        now = clock.monotonic()
        for record in reply.targets or ():
            try:
                report = to_report(record)
            except ValueError as error:
                # A state that this release doesn't know, of one target.
                extra = {"target": record.identity, "why": str(error)}
                logger.warning("target not understood", extra=extra)
                continue
            self.merge(report, now - (record.age or 0.0))
        for identity, age in (reply.ages or {}).items():
            self.record_seen(identity, now - age)
        self.on_members(reply.members or [])
        self.on_evacuation_update(reply.evacuated)
        if self.suspects is not None:
            self.suspects.take(reply.suspects)
