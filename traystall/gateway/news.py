"""Take in news of a target's presence, and log what it changes."""

from traystall.core.logs import decision
from traystall.systems import membership
from traystall.tables.targets import TargetRow


def note_presence(target: TargetRow, report: membership.PresenceReport) -> None:
    """Take in a report of a target's presence and log it if it changed anything."""
    if membership.on_report(target, report):
        decision(
            "presence",
            target=report.target,
            leaving=report.leaving,
            incarnation=report.incarnation,
            first_hand=report.first_hand,
        )
