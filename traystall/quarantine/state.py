"""The table of suspects: a pure state machine that applies commands of the replicated log.

A request that crashes every target that runs it never receives a complete response; the requests
that ran beside it do. A complete response therefore clears a request. After three target ends
without one, a request may run only as a trial, one trial at a time in each pool. If the trial ends
its target too, the request is refused. The ends that a refused request explains are removed from
all other suspects.
"""

from collections import Counter, OrderedDict

import msgspec

from traystall.core.serialization import pack, unpack
from traystall.quarantine.models import (
    MAX_TRIALS,
    TRIAL_MIN_ENDS,
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
from traystall.quarantine.parts import PartTable, RefusedParts, SuspectPart

# How long a request is refused. One trial afterwards shows whether the targets have been fixed.
REFUSAL_SECONDS = 3600.0
# A suspect that is not refused is dropped this long after its last end.
SUSPECT_RETENTION_SECONDS = 3600.0
# A suspect that was refused is dropped this long after its last end.
REFUSED_RETENTION_SECONDS = 24 * 3600.0
# The limit per customer keeps one customer from evicting the suspects of others. At 0.65 KB each,
# all suspects take 1.3 MB in memory and in snapshots. If all were published, a starting gateway
# would load 130 KB from each control daemon.
MAX_SUSPECTS = 2048
MAX_SUSPECTS_PER_CUSTOMER = 128
# Target incarnations kept for one suspect.
_MAX_LIVES_PER_SUSPECT = 16
# Removals kept, so that a subscriber can be sent the changes instead of the full list.
_MAX_REMOVALS_KEPT = 1024
# Shortest time between two searches for expired suspects, in seconds of log time.
_EXPIRY_INTERVAL_SECONDS = 30.0


class QuarantineSnapshot(msgspec.Struct, frozen=True):
    """The encoded form of a SuspectTable in a snapshot."""

    time: float
    version: int
    suspects: list[Suspect]
    # Snapshots of earlier releases lack it.
    parts: list[SuspectPart] = []
    refused_parts: list[RefusedParts] = []


class SuspectChanges(msgspec.Struct, frozen=True):
    """The suspects and parts changed and removed since a version, or all of them if `full`."""

    version: int
    full: bool
    suspects: list[Suspect]
    removed: list[bytes]
    parts: list[SuspectPart]


class SuspectTable:
    """Count target ends and decide on trials in log order.

    Decisions depend only on the commands and their order, so all replicas reach the same ones.
    """

    def __init__(self):
        self.time = 0.0
        self.version = 0
        self.parts = PartTable()
        self._suspects: dict[bytes, Suspect] = {}
        self._removed: OrderedDict[bytes, int] = OrderedDict()
        # Removals up to this version have been discarded.
        self._discarded_removals_version = 0
        self._next_expiry_at = 0.0

    def get(self, digest: bytes) -> Suspect | None:
        """Return the suspect of a request digest, or None."""
        return self._suspects.get(digest)

    def listed(self) -> list[Suspect]:
        """Return the suspects that are published to gateways, refused ones first."""
        published = [row for row in self._suspects.values() if row.is_published]
        return sorted(published, key=lambda row: (row.refused_at is None, -row.ends, row.last))

    def listed_parts(self) -> list[SuspectPart]:
        """Return the prompt parts that are published to gateways, refused ones first."""
        published = [row for row in self.parts.rows.values() if row.published]
        return sorted(published, key=lambda row: (not row.is_restricted, -row.ends, row.last))

    def __len__(self):
        return len(self._suspects)

    def refused_seconds(self, row: Suspect) -> float:
        """Return the seconds for which a suspect stays refused, 0 if it is not refused."""
        if row.refused_at is None:
            return 0.0
        return max(0.0, row.refused_at + REFUSAL_SECONDS - self.time)

    def since(self, version: int) -> SuspectChanges:
        """Return the changes for a subscriber that holds `version`."""
        if version < self._discarded_removals_version or version <= 0:
            return SuspectChanges(self.version, True, self.listed(), [], self.listed_parts())
        changed = [
            row for row in self._suspects.values() if row.is_published and row.version > version
        ]
        removed = [digest for digest, at in self._removed.items() if at > version]
        parts = [row for row in self.listed_parts() if row.version > version]
        return SuspectChanges(self.version, False, changed, removed, parts)

    # ---- commands ----

    def report(self, command: ReportRuns) -> list[SuspectUpdate]:
        """Apply the outcomes of runs; return the resulting changes of suspects."""
        self._advance(command.time)
        updates: list[SuspectUpdate] = []
        for ended in command.ended:
            self._count_end(ended, updates)
        for digest in command.served:
            row = self._suspects.get(digest)
            if row is not None:
                self._clear(row, "it received a complete response", updates)
        for row in self._suspects.values() if command.released else ():
            if row.trial in command.released:
                _end_trial(row)
        for digest in command.served_parts:
            part = self.parts.rows.get(digest)
            if self.parts.clear(digest) and part.published:
                updates.append(self._part_update(SuspectEvent.CLEARED, part, "it got an event"))
        if command.released:
            self.parts.release(command.released)
        self._publish_parts(updates)
        return updates

    def begin_trial(self, command: BeginTrial) -> TrialResult:
        """Decide whether a request may be sent now; a pool has at most one trial at a time."""
        self._advance(command.time)
        if command.parts:
            result = self.parts.begin_trial(
                command.parts, command.customer, command.trial, self.time
            )
            updates = []
            self._publish_parts(updates)
            return msgspec.structs.replace(result, updates=tuple(updates))
        row = self._suspects.get(command.digest)
        if row is None or (row.ends < TRIAL_MIN_ENDS and row.refused_at is None):
            return TrialResult(Verdict.FREE)
        if self.refused_seconds(row):
            return TrialResult(Verdict.REFUSED, self.refused_seconds(row))
        if row.refused_at is not None:
            # The refusal has expired: one trial shows whether the request still ends targets.
            row.refused_at, row.trials = None, MAX_TRIALS - 1
            self._record_change(row)
        if self._has_running_trial(row.pool):
            return TrialResult(Verdict.WAIT)
        if row.trials >= MAX_TRIALS:
            updates: list[SuspectUpdate] = []
            self._refuse(row, "its trials ended without a complete response", updates)
            return TrialResult(Verdict.REFUSED, REFUSAL_SECONDS, tuple(updates))
        row.trials += 1
        row.trial, row.trial_until = command.trial, self.time + TRIAL_SECONDS
        return TrialResult(Verdict.TRIAL)

    def lift(self, command: LiftSuspect) -> list[SuspectUpdate]:
        """Remove the suspect of a request; return the change, or none if it was no suspect."""
        self._advance(command.time)
        updates: list[SuspectUpdate] = []
        row = self._suspects.get(command.digest)
        part = self.parts.rows.get(command.digest)
        why = f"lifted by {command.operator}"
        if row is not None:
            self._clear(row, why, updates)
        elif part is not None and self.parts.clear(command.digest):
            updates.append(self._part_update(SuspectEvent.CLEARED, part, why))
            self._publish_parts(updates)
        return updates

    # ---- snapshots ----

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        suspects, parts = list(self._suspects.values()), list(self.parts.rows.values())
        refused = list(self.parts.refused)
        return pack(QuarantineSnapshot(self.time, self.version, suspects, parts, refused))

    def restore(self, data: bytes) -> None:
        """Replace the state with an encoded one; it is empty in snapshots of earlier releases."""
        held = unpack(data, QuarantineSnapshot) if data else QuarantineSnapshot(0.0, 0, [])
        self.time, self.version = held.time, held.version
        self._suspects = {row.digest: row for row in held.suspects}
        self.parts = PartTable()
        self.parts.rows = {row.digest: row for row in held.parts}
        self.parts.refused = list(held.refused_parts)
        self._removed.clear()
        self._discarded_removals_version = held.version
        self._next_expiry_at = 0.0

    # ---- steps ----

    def _count_end(self, ended: EndedRun, updates):
        row = self._suspects.get(ended.digest) or self._add(ended)
        if ended.life not in row.lives:
            row.lives = [*row.lives, ended.life][-_MAX_LIVES_PER_SUSPECT:]
            row.last, row.pool, row.evidence = self.time, ended.pool, ended.evidence
            if row.is_published:
                self._record_change(row)
                updates.append(self._make_update(SuspectEvent.SUSPECTED, row, ended.evidence))
        if ended.trial and ended.trial == row.trial and row.refused_at is None:
            self._refuse(row, f"its trial ended {ended.life}", updates)
        if row.refused_at is None and ended.parts:
            self.parts.count_end(ended, self.time)

    def _refuse(self, row, why, updates):
        row.refused_at = self.time
        _end_trial(row)
        self._record_change(row)
        updates.append(self._make_update(SuspectEvent.REFUSED, row, why))
        explained = set(row.lives)
        self.parts.remove_explained(explained)
        for other in list(self._suspects.values()):
            if other.refused_at is None and not explained.isdisjoint(other.lives):
                self._remove_explained_ends(other, explained, updates)

    def _remove_explained_ends(self, row, explained, updates):
        """Remove the ends that a refused request explains from another suspect."""
        was_published = row.is_published
        row.lives = [life for life in row.lives if life not in explained]
        if was_published and not row.is_published:
            self._record_removal(row.digest)
            updates.append(
                self._make_update(
                    SuspectEvent.CLEARED, row, "its ends are explained by another request"
                )
            )
        elif was_published:
            self._record_change(row)
        if not row.lives:
            del self._suspects[row.digest]

    def _publish_parts(self, updates):
        """Give the parts that changed a new version, and record those that were removed."""
        for digest in sorted(self.parts.removed):
            self._record_removal(digest)
        for digest in sorted(self.parts.changed):
            row = self.parts.rows[digest]
            self._record_change(row)
            is_refused = self.parts.refused_seconds(row, self.time) > 0
            event = SuspectEvent.REFUSED if is_refused else SuspectEvent.SUSPECTED
            updates.append(self._part_update(event, row, row.evidence))
        if self.parts.is_refusal_changed:
            self.version += 1
        self.parts.is_refusal_changed = False
        self.parts.removed.clear()
        self.parts.changed.clear()

    def _part_update(self, event, row, why) -> SuspectUpdate:
        age = self.time - row.since
        return SuspectUpdate(
            event, row.digest, row.customer, row.route, row.ends, f"part: {why}", age
        )

    def _clear(self, row, why, updates):
        if row.is_published:
            updates.append(self._make_update(SuspectEvent.CLEARED, row, why))
        self._remove(row)

    def _add(self, ended) -> Suspect:
        self._evict_if_full(ended.customer)
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

    def _evict_if_full(self, customer):
        """Evict a suspect of `customer` at its limit, or of the largest customer at the total."""
        counts = Counter(row.customer for row in self._suspects.values())
        if counts[customer] >= MAX_SUSPECTS_PER_CUSTOMER:
            self._evict_from_customer(customer)
        elif len(self._suspects) >= MAX_SUSPECTS:
            self._evict_from_customer(max(sorted(counts), key=counts.__getitem__))

    def _evict_from_customer(self, customer):
        own = [row for row in self._suspects.values() if row.customer == customer]
        least = min(own, key=lambda row: (row.refused_at or 0.0, row.ends, row.last, row.digest))
        self._remove(least)

    def _remove(self, row):
        del self._suspects[row.digest]
        if row.is_published:
            self._record_removal(row.digest)

    def _record_removal(self, digest):
        self.version += 1
        self._removed[digest] = self.version
        self._removed.move_to_end(digest)
        while len(self._removed) > _MAX_REMOVALS_KEPT:
            _, self._discarded_removals_version = self._removed.popitem(last=False)

    def _record_change(self, row):
        self.version += 1
        row.version = self.version
        self._removed.pop(row.digest, None)

    def _has_running_trial(self, pool) -> bool:
        """Return whether a pool has a running trial, to which the next end is attributed."""
        return any(
            row.trial and row.pool == pool and row.trial_until > self.time
            for row in self._suspects.values()
        )

    def _advance(self, time):
        """Advance the log time and remove expired suspects."""
        self.time = max(self.time, time)
        if self.time < self._next_expiry_at:
            return
        self._next_expiry_at = self.time + _EXPIRY_INTERVAL_SECONDS
        for row in list(self._suspects.values()):
            limit = (
                SUSPECT_RETENTION_SECONDS if row.refused_at is None else REFUSED_RETENTION_SECONDS
            )
            if self.time - row.last > limit:
                self._remove(row)
        self.parts.expire(self.time)

    def _make_update(self, event, row, why) -> SuspectUpdate:
        age = self.time - row.since
        return SuspectUpdate(event, row.digest, row.customer, row.route, row.ends, why, age)


def _end_trial(row):
    row.trial, row.trial_until = "", 0.0
