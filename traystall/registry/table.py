"""Merge reports of targets from several sources into one table.

The merge is the same in any order and any number of times: of a target that
starts again under its name the life with the latest start holds, whatever was
said of earlier ones. For one life the state only moves from ready over draining
to gone, so a late report never brings it back, and the highest sequence tells
the rest.
"""

import msgspec

from traystall.registry.models import (
    STATE_RANK,
    RegisteredState,
    RegisteredTarget,
    TargetReport,
)

# Targets that are gone are remembered this long, in seconds, so that a late report is known.
GONE_SECONDS = 600.0
# A target that stays cold for so much longer than was known, in seconds, is news to all.
_COLD_NEWS_SECONDS = 0.5
# A target that has been silent this long is taken off the list of what can be asked.
SILENT_SECONDS = 120.0


class Registry:
    """Hold targets by identity; `version` grows with every change that others must learn."""

    def __init__(self):
        self.version = 1
        self._rows: dict[str, RegisteredTarget] = {}

    def get(self, identity: str) -> RegisteredTarget | None:
        """Return the row of one life of a target, or None."""
        return self._rows.get(identity)

    def rows(self) -> list[RegisteredTarget]:
        """Return every row, gone ones included."""
        return list(self._rows.values())

    def merge(self, report: TargetReport, seen_at: float) -> bool:
        """Take in a report; return whether it changed what others must learn."""
        row = self._rows.get(report.identity)
        if row is not None and _is_earlier(report, row.report):
            return False
        if row is None or _is_earlier(row.report, report):
            row = RegisteredTarget(report, seen_at, cold_until=seen_at + report.warming)
            self._rows[report.identity] = row
            self._mark(report.identity)
            return True
        row.seen_at = max(row.seen_at, seen_at)
        merged = _merge_reports(row.report, report)
        changed = _public(merged) != _public(row.report)
        if report.sequence > row.report.sequence:
            cold_until = seen_at + report.warming
            changed |= report.warming > 0 and cold_until - row.cold_until > _COLD_NEWS_SECONDS
            row.cold_until = cold_until
        row.report = merged
        if changed:
            self._mark(report.identity)
        return changed

    def leave(self, identity: str, seen_at: float) -> bool:
        """Record that a target has said that it is gone; return whether that is news."""
        row = self._rows.get(identity)
        if row is None:
            gone = TargetReport(identity, "", "", state=RegisteredState.GONE)
            return self.merge(gone, seen_at)
        gone = msgspec.structs.replace(row.report, state=RegisteredState.GONE)
        return self.merge(gone, seen_at)

    def record_seen(self, identity: str, seen_at: float) -> None:
        """Record that another source has heard from a target."""
        row = self._rows.get(identity)
        if row is not None:
            row.seen_at = max(row.seen_at, seen_at)

    def since(self, version: int) -> list[RegisteredTarget]:
        """Return the rows that changed after `version`, those that changed first before others."""
        rows = [row for row in self._rows.values() if row.changed > version]
        return sorted(rows, key=lambda row: row.changed)

    def forget_old(self, now: float) -> None:
        """Drop rows that nobody can ask about any more."""
        for identity, row in list(self._rows.items()):
            gone = row.report.state is RegisteredState.GONE
            limit = GONE_SECONDS if gone else SILENT_SECONDS
            if now - row.seen_at > limit:
                del self._rows[identity]

    def _mark(self, identity):
        self.version += 1
        self._rows[identity].changed = self.version


def _is_earlier(one: TargetReport, other: TargetReport) -> bool:
    """Return whether a report is of an earlier life than another; an unknown start is no other."""
    return 0 < one.started < other.started


def _merge_reports(held: TargetReport, new: TargetReport) -> TargetReport:
    newer = new if new.sequence >= held.sequence and new.pool else held
    state = max(held.state, new.state, key=lambda state: STATE_RANK[state])
    return msgspec.structs.replace(newer, state=state, started=max(held.started, new.started))


def _public(report):
    return (
        report.state,
        report.address,
        report.pool,
        report.data_centre,
        report.slots,
        report.started,
    )
