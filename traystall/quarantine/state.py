"""The suspects: a pure state machine behind the replicated log.

A request that ends each target that runs it is told from those that ran beside it by this: it
never gets a whole answer. Any whole answer clears a request; one that has ended three targets
without is tried alone, and refused if that ends a target too. Ends that a refused request explains
are taken off the others.
"""

from collections import Counter, OrderedDict

import msgspec

from traystall.core.serialization import pack, unpack
from traystall.quarantine.models import (
    MAX_TRIALS,
    TRIAL_ENDS,
    TRIAL_SECONDS,
    BeginTrial,
    EndedRun,
    LiftSuspect,
    ReportRuns,
    Suspect,
    SuspectEvent,
    SuspectUpdate,
    TrialResult,
    Verdict,
)

# A request is refused for so long, in seconds; then one trial tells whether targets were mended.
REFUSED_SECONDS = 3600.0
# What is held against a request that is not refused is forgotten so long after its last end.
SUSPECT_SECONDS = 3600.0
# The same for one that was refused.
FORGET_SECONDS = 24 * 3600.0
# Suspects in all, and of one customer, so that none can push others' out: at 0.65 KB each 1.3 MB in
# memory and snapshots. If all were told, a gateway that starts would take 130 KB from each daemon.
MOST_SUSPECTS = 2048
MOST_OF_CUSTOMER = 128
# Lives that are remembered of one suspect.
_MOST_LIVES = 16
# Removals that are remembered, so that a watcher needs no full list.
_MOST_REMOVED = 1024
# At the least between two searches for what can be forgotten, in seconds of log time.
_FORGET_EVERY = 30.0


class QuarantineSnapshot(msgspec.Struct, frozen=True):
    """Hold all suspects for a snapshot."""

    time: float
    version: int
    suspects: list[Suspect]


class SuspectChanges(msgspec.Struct, frozen=True):
    """Hold what changed since a version, or everything if `full`."""

    version: int
    full: bool
    suspects: list[Suspect]
    removed: list[bytes]


class SuspectTable:
    """Count ends and decide in log order; every replica decides alike."""

    def __init__(self):
        self.time = 0.0
        self.version = 0
        self._suspects: dict[bytes, Suspect] = {}
        self._removed: OrderedDict[bytes, int] = OrderedDict()
        # Removals up to this version are not remembered.
        self._removed_floor = 0
        self._forget_due = 0.0

    def get(self, digest: bytes) -> Suspect | None:
        """Return what is held against a request, or None."""
        return self._suspects.get(digest)

    def listed(self) -> list[Suspect]:
        """Return the suspects that gateways are told of, the refused ones first."""
        told = [row for row in self._suspects.values() if row.is_told]
        return sorted(told, key=lambda row: (row.refused_at is None, -row.ends, row.last))

    def __len__(self):
        return len(self._suspects)

    def refused_seconds(self, row: Suspect) -> float:
        """Return how long a suspect stays refused, 0 if it is not."""
        if row.refused_at is None:
            return 0.0
        return max(0.0, row.refused_at + REFUSED_SECONDS - self.time)

    def since(self, version: int) -> SuspectChanges:
        """Return what a watcher lacks that knows a version."""
        if version < self._removed_floor or version <= 0:
            return SuspectChanges(self.version, True, self.listed(), [])
        changed = [row for row in self._suspects.values() if row.is_told and row.version > version]
        removed = [digest for digest, at in self._removed.items() if at > version]
        return SuspectChanges(self.version, False, changed, removed)

    # ---- commands ----

    def report(self, command: ReportRuns) -> list[SuspectUpdate]:
        """Take in what became of runs; return what that made of suspects."""
        self._advance(command.time)
        updates: list[SuspectUpdate] = []
        for ended in command.ended:
            self._count(ended, updates)
        for digest in command.served:
            row = self._suspects.get(digest)
            if row is not None:
                self._clear(row, "it got a whole answer", updates)
        for row in self._suspects.values() if command.released else ():
            if row.trial in command.released:
                _end_trial(row)
        return updates

    def begin_trial(self, command: BeginTrial) -> TrialResult:
        """Answer whether a request may be sent now: at most one trial of a pool at a time."""
        self._advance(command.time)
        row = self._suspects.get(command.digest)
        if row is None or (row.ends < TRIAL_ENDS and row.refused_at is None):
            return TrialResult(Verdict.FREE)
        if self.refused_seconds(row):
            return TrialResult(Verdict.REFUSED, self.refused_seconds(row))
        if row.refused_at is not None:
            # It was refused long enough: one trial tells whether that still holds.
            row.refused_at, row.trials = None, MAX_TRIALS - 1
            self._mark(row)
        if self._is_pool_tried(row.pool):
            return TrialResult(Verdict.WAIT)
        if row.trials >= MAX_TRIALS:
            updates: list[SuspectUpdate] = []
            self._refuse(row, "its trials ended without an answer", updates)
            return TrialResult(Verdict.REFUSED, REFUSED_SECONDS, tuple(updates))
        row.trials += 1
        row.trial, row.trial_until = command.trial, self.time + TRIAL_SECONDS
        return TrialResult(Verdict.TRIAL)

    def lift(self, command: LiftSuspect) -> list[SuspectUpdate]:
        """Forget what is held against a request; return the news, none if nothing was."""
        self._advance(command.time)
        updates: list[SuspectUpdate] = []
        row = self._suspects.get(command.digest)
        if row is not None:
            self._clear(row, f"lifted by {command.operator}", updates)
        return updates

    # ---- snapshots ----

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(QuarantineSnapshot(self.time, self.version, list(self._suspects.values())))

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one; empty data is of a time before any suspect."""
        held = unpack(data, QuarantineSnapshot) if data else QuarantineSnapshot(0.0, 0, [])
        self.time, self.version = held.time, held.version
        self._suspects = {row.digest: row for row in held.suspects}
        self._removed.clear()
        self._removed_floor = held.version
        self._forget_due = 0.0

    # ---- steps ----

    def _count(self, ended: EndedRun, updates):
        row = self._suspects.get(ended.digest) or self._add(ended)
        if ended.life not in row.lives:
            row.lives = [*row.lives, ended.life][-_MOST_LIVES:]
            row.last, row.pool, row.evidence = self.time, ended.pool, ended.evidence
            if row.is_told:
                self._mark(row)
                updates.append(self._news(SuspectEvent.SUSPECTED, row, ended.evidence))
        if ended.trial and ended.trial == row.trial and row.refused_at is None:
            self._refuse(row, f"its trial ended {ended.life}", updates)

    def _refuse(self, row, why, updates):
        row.refused_at = self.time
        _end_trial(row)
        self._mark(row)
        updates.append(self._news(SuspectEvent.REFUSED, row, why))
        explained = set(row.lives)
        for other in list(self._suspects.values()):
            if other.refused_at is None and not explained.isdisjoint(other.lives):
                self._take_off(other, explained, updates)

    def _take_off(self, row, explained, updates):
        """Take ends off a suspect that another one explains."""
        was_told = row.is_told
        row.lives = [life for life in row.lives if life not in explained]
        if was_told and not row.is_told:
            self._tell_removed(row.digest)
            updates.append(
                self._news(SuspectEvent.CLEARED, row, "another request explains its ends")
            )
        elif was_told:
            self._mark(row)
        if not row.lives:
            del self._suspects[row.digest]

    def _clear(self, row, why, updates):
        if row.is_told:
            updates.append(self._news(SuspectEvent.CLEARED, row, why))
        self._remove(row)

    def _add(self, ended) -> Suspect:
        self._make_room(ended.customer)
        row = Suspect(
            digest=ended.digest,
            customer=ended.customer,
            route=ended.route,
            pool=ended.pool,
            since=self.time,
            last=self.time,
        )
        self._suspects[ended.digest] = row
        return row

    def _make_room(self, customer):
        """Forget the least of the customer's own suspects, or of the one with the most."""
        counts = Counter(row.customer for row in self._suspects.values())
        if counts[customer] >= MOST_OF_CUSTOMER:
            self._forget_least(customer)
        elif len(self._suspects) >= MOST_SUSPECTS:
            self._forget_least(max(sorted(counts), key=counts.__getitem__))

    def _forget_least(self, customer):
        own = [row for row in self._suspects.values() if row.customer == customer]
        least = min(own, key=lambda row: (row.refused_at or 0.0, row.ends, row.last, row.digest))
        self._remove(least)

    def _remove(self, row):
        del self._suspects[row.digest]
        if row.is_told:
            self._tell_removed(row.digest)

    def _tell_removed(self, digest):
        self.version += 1
        self._removed[digest] = self.version
        self._removed.move_to_end(digest)
        while len(self._removed) > _MOST_REMOVED:
            _, self._removed_floor = self._removed.popitem(last=False)

    def _mark(self, row):
        self.version += 1
        row.version = self.version
        self._removed.pop(row.digest, None)

    def _is_pool_tried(self, pool) -> bool:
        """Return whether a trial is under way that an end of a target of a pool would blame."""
        return any(
            row.trial and row.pool == pool and row.trial_until > self.time
            for row in self._suspects.values()
        )

    def _advance(self, time):
        """Move log time forward and forget what is old."""
        self.time = max(self.time, time)
        if self.time < self._forget_due:
            return
        self._forget_due = self.time + _FORGET_EVERY
        for row in list(self._suspects.values()):
            limit = SUSPECT_SECONDS if row.refused_at is None else FORGET_SECONDS
            if self.time - row.last > limit:
                self._remove(row)

    def _news(self, event, row, why) -> SuspectUpdate:
        age = self.time - row.since
        return SuspectUpdate(event, row.digest, row.customer, row.route, row.ends, why, age)


def _end_trial(row):
    row.trial, row.trial_until = "", 0.0
