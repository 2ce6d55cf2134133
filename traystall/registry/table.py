"""The table of registered targets, merged from reports of several sources.

The merge is commutative and idempotent. If a target restarts under its name, the incarnation with
the latest start wins over all earlier ones. The state of one incarnation only moves from ready
through draining to gone, so a late report never revives it. All other fields come from the report
with the highest sequence number.
"""

import msgspec

from traystall.departures.models import Departure
from traystall.registry.models import (
    STATE_RANK,
    RegisteredState,
    RegisteredTarget,
    TargetReport,
)

# How long targets that are gone are kept, so that a late report of one is recognized.
GONE_RETENTION_SECONDS = 600.0
# Smallest extension of a target's cold phase that is sent to subscribers.
_COLD_EXTENSION_SECONDS = 0.5
# A target without a report for this time is removed from the table.
SILENT_RETENTION_SECONDS = 120.0


class Registry:
    """Targets by identity; `version` grows with every change that subscribers have to receive."""

    def __init__(self):
        self.version = 1
        self._rows: dict[str, RegisteredTarget] = {}

    def get(self, identity: str) -> RegisteredTarget | None:
        """Return the row of a target's latest incarnation, or None."""
        return self._rows.get(identity)

    def rows(self) -> list[RegisteredTarget]:
        """Return all rows, including those of targets that are gone."""
        return list(self._rows.values())

    def merge(self, report: TargetReport, seen_at: float) -> bool:
        """Merge a report; return whether subscribers have to receive the change."""
        row = self._rows.get(report.identity)
        if row is not None and _is_earlier(report, row.report):
            return False
        if row is None or _is_earlier(row.report, report):
            row = RegisteredTarget(report, seen_at, cold_until=seen_at + report.warming)
            self._rows[report.identity] = row
            self._record_change(report.identity)
            return True
        row.seen_at = max(row.seen_at, seen_at)
        merged = _merge_reports(row.report, report)
        changed = _published_fields(merged) != _published_fields(row.report)
        if report.sequence > row.report.sequence:
            cold_until = seen_at + report.warming
            changed |= report.warming > 0 and cold_until - row.cold_until > _COLD_EXTENSION_SECONDS
            row.cold_until = cold_until
        row.report = merged
        if changed:
            self._record_change(report.identity)
        return changed

    def leave(self, identity: str, seen_at: float) -> bool:
        """Record that a target has announced its end; return whether that changed its row."""
        row = self._rows.get(identity)
        if row is None:
            gone = TargetReport(identity, "", "", state=RegisteredState.GONE)
            return self.merge(gone, seen_at)
        gone = msgspec.structs.replace(row.report, state=RegisteredState.GONE)
        return self.merge(gone, seen_at)

    def depart(self, departure: Departure, now: float) -> bool:
        """Merge a kept departure; return whether subscribers have to receive the change."""
        row = self._rows.get(departure.identity)
        state = RegisteredState.GONE if departure.gone else RegisteredState.DRAINING
        report = TargetReport(departure.identity, "", "", state=state, started=departure.started)
        return self.merge(report, now if row is None else row.seen_at)

    def record_seen(self, identity: str, seen_at: float) -> None:
        """Record that another source received a report of a target at `seen_at`."""
        row = self._rows.get(identity)
        if row is not None:
            row.seen_at = max(row.seen_at, seen_at)

    def since(self, version: int) -> list[RegisteredTarget]:
        """Return the rows that changed after `version`, in the order of their changes."""
        rows = [row for row in self._rows.values() if row.changed > version]
        return sorted(rows, key=lambda row: row.changed)

    def remove_expired(self, now: float) -> None:
        """Remove the rows of targets that have been gone or silent for too long."""
        for identity, row in list(self._rows.items()):
            gone = row.report.state is RegisteredState.GONE
            limit = GONE_RETENTION_SECONDS if gone else SILENT_RETENTION_SECONDS
            if now - row.seen_at > limit:
                del self._rows[identity]

    def _record_change(self, identity):
        self.version += 1
        self._rows[identity].changed = self.version


def _is_earlier(one: TargetReport, other: TargetReport) -> bool:
    """Return whether `one` is of an earlier incarnation; an unknown start counts as the same."""
    return 0 < one.started < other.started


def _merge_reports(held: TargetReport, new: TargetReport) -> TargetReport:
    newer = new if new.sequence >= held.sequence and new.pool else held
    state = max(held.state, new.state, key=lambda state: STATE_RANK[state])
    return msgspec.structs.replace(
        newer,
        state=state,
        # All reports of an incarnation have one version, but some writers leave it out.
        version=newer.version or held.version or new.version,
        started=max(held.started, new.started),
    )


def _published_fields(report):
    return (
        report.state,
        report.address,
        report.pool,
        report.data_centre,
        report.slots,
        report.version,
        report.started,
    )
