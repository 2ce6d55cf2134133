"""Serves the registry to its subscribers: gateways and the other control daemons.

A subscriber keeps one watch open. A watch is a long poll, which is answered as soon as the
subscriber lacks an update.
"""

import asyncio
import contextlib
from collections.abc import Iterable

from traystall.core import clock
from traystall.core.ids import new_id
from traystall.departures.models import Departure
from traystall.evacuations.cache import to_wire
from traystall.evacuations.models import EvacuatedDataCentres
from traystall.quarantine.state import SuspectTable
from traystall.quarantine.wire import to_wire as to_suspects
from traystall.registry.models import TargetReport
from traystall.registry.records import to_record
from traystall.registry.table import Registry
from traystall.rpc.gen.wire.ttypes import Member, RegistryReply, RegistryRequest

# How long a watch is held open without an update.
WATCH_HOLD_SECONDS = 1.0
# Interval in which a subscriber receives the ages of all targets, the same as without updates. Ages
# only show which targets are silent, with a resolution of seconds. When every reply had them, the
# restart of one of 160 targets cost each gateway three times 7 KB from each control daemon.
AGES_INTERVAL_SECONDS = WATCH_HOLD_SECONDS
_EXPIRY_INTERVAL_SECONDS = 30.0
# This number of targets takes 32 KB, 0.05 s at 5 Mbit/s; the subscriber requests the others at
# once. When one reply held all targets and a link was too slow for it, the subscriber timed out
# each time and never received any target.
MAX_TARGETS_PER_REPLY = 200


class RegistryService:
    """Accepts reports of targets and answers watches.

    `members` returns the control daemons as RPC records, so that a subscriber can watch all of
    them. `number` returns the newest revision of the configuration, so that a subscriber learns of
    a new one from any daemon that has it. `evacuated` returns the evacuated data centres, which
    each reply contains in full. `suspects` is the table of requests under which targets ended;
    replies contain its changes.
    """

    def __init__(self, members, number=lambda: 0, evacuated=EvacuatedDataCentres, suspects=None):
        self.registry = Registry()
        self.epoch = new_id()
        self._members = members
        self._number = number
        self._evacuated = evacuated
        self._suspects = SuspectTable() if suspects is None else suspects
        self._published_versions = self._current_versions()
        self._changed = asyncio.Event()
        self._next_expiry_at = clock.monotonic() + _EXPIRY_INTERVAL_SECONDS

    def report(self, report: TargetReport, age: float = 0.0) -> None:
        """Merge a report that is `age` seconds old, and notify subscribers of a change."""
        if self.registry.merge(report, clock.monotonic() - age):
            self.wake()

    def leave(self, identity: str) -> None:
        """Record that a target is gone, and notify subscribers of the change."""
        if self.registry.leave(identity, clock.monotonic()):
            self.wake()

    def merge_departures(self, departures: Iterable[Departure]) -> None:
        """Merge kept departures, and notify subscribers of changes."""
        now = clock.monotonic()
        changes = [self.registry.depart(departure, now) for departure in departures]
        if any(changes):
            self.wake()

    async def watch(self, request: RegistryRequest) -> RegistryReply:
        """Return the updates since the subscriber's version; wait for some if there are none."""
        known = request.version if request.epoch == self.epoch else 0
        began = clock.monotonic()
        ages_due = self._ages_due(request, began)
        # Without the time of the last ages, each reply has them and the hold time is not shortened.
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
        """Notify subscribers if there is a new revision, evacuation or suspect."""
        versions = self._current_versions()
        if versions != self._published_versions:
            self._published_versions = versions
            self.wake()

    def wake(self) -> None:
        """Wake all waiting watches; later ones wait on a new event."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _current_versions(self) -> tuple[int, int, int]:
        return self._number(), self._evacuated().version, self._suspects.version

    def _is_up_to_date(self, request):
        if (request.number or 0) < self._number():
            return False
        supports_suspects = request.suspects_version is not None
        if supports_suspects and request.suspects_version < self._suspects.version:
            return False
        return (request.evacuation_version or 0) >= self._evacuated().version

    def _reply(self, known):
        now = clock.monotonic()
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + _EXPIRY_INTERVAL_SECONDS
            self.registry.remove_expired(now)
        members: list[Member] = self._members()
        rows = self.registry.since(known)
        page = rows[:MAX_TARGETS_PER_REPLY]
        return RegistryReply(
            epoch=self.epoch,
            version=page[-1].changed if len(page) < len(rows) else self.registry.version,
            targets=[to_record(row, now) for row in page],
            members=members,
            number=self._number(),
            evacuated=to_wire(self._evacuated()),
        )

    def _ages_due(self, request, began):
        """Return when a watch that began at `began` has to return ages, `began` if they are due."""
        if request.ages_told is None or request.epoch != self.epoch:
            return began
        return (
            began + AGES_INTERVAL_SECONDS - min(max(request.ages_told, 0.0), AGES_INTERVAL_SECONDS)
        )

    def _ages(self):
        now = clock.monotonic()
        return {row.identity: now - row.seen_at for row in self.registry.rows() if row.is_ready}

    async def _wait(self, seconds):
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await changed.wait()
