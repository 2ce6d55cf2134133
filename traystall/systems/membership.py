"""Merge reports from several sources about a target's presence, conservatively.

A report from any source that a target is leaving takes effect at once and is
final for that incarnation; a list that lags behind can't revert it. Only a new
incarnation makes the target live again.
"""

import msgspec

from traystall.tables.availability import Availability
from traystall.tables.targets import Breaker, TargetRow, TargetState


class PresenceReport(msgspec.Struct, frozen=True):
    """One source's report; `incarnation` is empty if the source doesn't know it."""

    target: str
    leaving: bool
    incarnation: str = ""
    # Whether the target reported this itself; a list may be out of date.
    first_hand: bool = False


def on_report(row: TargetRow, report: PresenceReport) -> bool:
    """Apply a report; return whether the row changed."""
    if report.leaving:
        return _on_leaving(row, report)
    return _on_live(row, report)


def _on_leaving(row, report):
    is_outdated = (
        not report.first_hand
        and report.incarnation
        and row.incarnation
        and report.incarnation != row.incarnation
    )
    if is_outdated or row.state is TargetState.LEAVING:
        return False
    row.state = TargetState.LEAVING
    if report.incarnation:
        row.incarnation = report.incarnation
    return True


def _on_live(row, report):
    if not report.incarnation or report.incarnation == row.incarnation:
        return False
    known = bool(row.incarnation)
    if row.state is TargetState.LEAVING and not report.first_hand:
        # A list that lags behind may still contain an incarnation before the leaving one.
        return False
    row.incarnation = report.incarnation
    if known or row.state is TargetState.LEAVING:
        row.state = TargetState.LIVE
        row.breaker = Breaker()
        row.availability = Availability()
        row.service_ratio = 1.0
    return True
