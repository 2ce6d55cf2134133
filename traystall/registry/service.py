"""Serve a registry to whoever watches it: gateways and the other control daemons."""

import asyncio
import contextlib

from traystall.core import clock
from traystall.core.ids import new_id
from traystall.evacuations.cache import to_wire
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.quarantine.state import SuspectTable
from traystall.quarantine.wire import to_wire as to_suspects
from traystall.registry.models import TargetReport
from traystall.registry.records import to_record
from traystall.registry.table import Registry
from traystall.rpc.gen.wire.ttypes import Member, RegistryReply, RegistryRequest

# How long a watch is held open when nothing is new, in seconds.
WATCH_HOLD_SECONDS = 1.0
# Ages are told to a watcher once in so many seconds, as often as when nothing is new. They say only
# who is silent, which is judged by seconds; told with each reply, a restart of one of 160 targets
# cost every gateway three times 7 KB from each control daemon.
AGES_SECONDS = WATCH_HOLD_SECONDS
_FORGET_EVERY = 30.0
# Told in one reply, so many targets take 32 KB: 0.05 s at 5 Mbit/s. A watcher asks for the rest at
# once. Told all in one, more than fit through its link in time were never known to it.
MOST_TARGETS = 200


class RegistryService:
    """Take reports of targets and answer watches of them.

    `members` returns the control daemons as wire records, so that a watcher
    learns whom it can ask besides; `number` returns the newest revision of the
    configuration, so that it learns of a new one from whichever daemon has it;
    `evacuated` returns the evacuated data centres, which each reply tells whole;
    `suspects` is the table of requests under which targets ended, of which changes are told.
    """

    def __init__(self, members, number=lambda: 0, evacuated=EvacuatedDataCentres, suspects=None):
        self.registry = Registry()
        self.epoch = new_id()
        self._members = members
        self._number = number
        self._evacuated = evacuated
        self._suspects = SuspectTable() if suspects is None else suspects
        self._told = self._news()
        self._changed = asyncio.Event()
        self._forget_due = clock.monotonic() + _FORGET_EVERY

    def report(self, report: TargetReport, age: float = 0.0) -> None:
        """Take in one report and wake the watchers if it is news."""
        if self.registry.merge(report, clock.monotonic() - age):
            self.wake()

    def leave(self, identity: str) -> None:
        """Take in that a target is gone."""
        if self.registry.leave(identity, clock.monotonic()):
            self.wake()

    async def watch(self, request: RegistryRequest) -> RegistryReply:
        """Return what is new since the watcher's version, waiting a while if nothing is."""
        known = request.version if request.epoch == self.epoch else 0
        began = clock.monotonic()
        ages_due = self._ages_due(request, began)
        # Who doesn't say when it was told gets ages with each reply, and is held in full.
        deadline = began + WATCH_HOLD_SECONDS if request.ages_told is None else ages_due
        while known >= self.registry.version and self._is_up_to_date(request):
            left = deadline - clock.monotonic()
            if left <= 0:
                break
            await self._wait(left)
        reply = self._reply(known)
        if request.suspects_version is not None:
            reply.suspects = to_suspects(self._suspects, request.suspects_version)
        if clock.monotonic() >= ages_due:
            reply.ages = self._ages()
        return reply

    def on_applied(self) -> None:
        """Wake the watchers if there is a new revision, evacuation or suspect."""
        held = self._news()
        if held != self._told:
            self._told = held
            self.wake()

    def wake(self) -> None:
        """Wake every watch that waits; later ones wait on a new event."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _news(self) -> tuple[int, int, int]:
        return self._number(), self._evacuated().version, self._suspects.version

    def _is_up_to_date(self, request):
        if (request.number or 0) < self._number():
            return False
        wants_suspects = request.suspects_version is not None
        if wants_suspects and request.suspects_version < self._suspects.version:
            return False
        return (request.evacuation_version or 0) >= self._evacuated().version

    def _reply(self, known):
        now = clock.monotonic()
        if now >= self._forget_due:
            self._forget_due = now + _FORGET_EVERY
            self.registry.forget_old(now)
        members: list[Member] = self._members()
        rows = self.registry.since(known)
        told = rows[:MOST_TARGETS]
        return RegistryReply(
            epoch=self.epoch,
            version=told[-1].changed if len(told) < len(rows) else self.registry.version,
            targets=[to_record(row, now) for row in told],
            members=members,
            number=self._number(),
            evacuated=to_wire(self._evacuated()),
        )

    def _ages_due(self, request, began):
        """Return when a watch that began at `began` should bring ages; at once if not known."""
        if request.ages_told is None or request.epoch != self.epoch:
            return began
        return began + AGES_SECONDS - min(max(request.ages_told, 0.0), AGES_SECONDS)

    def _ages(self):
        now = clock.monotonic()
        return {row.identity: now - row.seen_at for row in self.registry.rows() if row.is_ready}

    async def _wait(self, seconds):
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await changed.wait()
