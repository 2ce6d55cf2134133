"""Join what several sources say of a target's presence, most cautiously.

Any source that says a target is leaving is believed at once and for that
incarnation for good; a list that lags can't undo it. Only a new incarnation
brings the target back.
"""

import msgspec

from traystall.tables.availability import Availability
from traystall.tables.targets import Breaker, TargetRow, TargetState


class PresenceReport(msgspec.Struct, frozen=True):
    """Say what one source knows: `incarnation` may be empty if the source does not know it."""

    target: str
    leaving: bool
    incarnation: str = ""
    # A target's own word counts for its incarnation; a list's word may be old.
    first_hand: bool = False


def on_report(row: TargetRow, report: PresenceReport) -> bool:
    """Take in a report; return whether the row changed."""
    if report.leaving:
        return _on_leaving(row, report)
    return _on_live(row, report)


def _on_leaving(row, report):
    old_news = (
        not report.first_hand
        and report.incarnation
        and row.incarnation
        and report.incarnation != row.incarnation
    )
    if old_news or row.state is TargetState.LEAVING:
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
        # A list that lags may still name an incarnation from before the leaving one.
        return False
    row.incarnation = report.incarnation
    if known or row.state is TargetState.LEAVING:
        row.state = TargetState.LIVE
        row.breaker = Breaker()
        row.availability = Availability()
        row.service_ratio = 1.0
    return True
