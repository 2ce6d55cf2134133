"""Presence of targets: any source can report a target as leaving; a stale list can't revert it."""

import itertools

import pytest

from traystall.systems.membership import PresenceReport, on_report
from traystall.tables.entities import Target
from traystall.tables.targets import Breaker, TargetRow, TargetState

LIST_SAYS_LIVE = PresenceReport("t", False, "1")
LIST_SAYS_LEAVING = PresenceReport("t", True, "1")
SELF_SAYS_LIVE = PresenceReport("t", False, "1", first_hand=True)
SELF_SAYS_LEAVING = PresenceReport("t", True, "1", first_hand=True)
SELF_WITHOUT_INCARNATION = PresenceReport("t", True, "", first_hand=True)
NEXT_LIST_LIVE = PresenceReport("t", False, "2")
NEXT_SELF_LIVE = PresenceReport("t", False, "2", first_hand=True)
ALL_REPORTS = (
    LIST_SAYS_LIVE,
    LIST_SAYS_LEAVING,
    SELF_SAYS_LIVE,
    SELF_SAYS_LEAVING,
    SELF_WITHOUT_INCARNATION,
    NEXT_LIST_LIVE,
    NEXT_SELF_LIVE,
)


def make_row():
    return TargetRow(Target("t", "pool", "service", "place", "127.0.0.1:1"))


def expected_state(reports):
    """Reference model: a leaving target stays so until it reports a new incarnation itself."""
    state, incarnation = TargetState.LIVE, ""
    for report in reports:
        if report.leaving:
            known = incarnation and report.incarnation
            if known and report.incarnation != incarnation and not report.first_hand:
                continue
            if state is TargetState.LIVE:
                state = TargetState.LEAVING
                incarnation = report.incarnation or incarnation
        elif report.incarnation and report.incarnation != incarnation:
            if state is TargetState.LEAVING and not report.first_hand:
                continue
            incarnation, state = report.incarnation, TargetState.LIVE
    return state


@pytest.mark.parametrize("length", [1, 2, 3, 4])
def test_every_sequence_matches_the_reference_model(length):
    for reports in itertools.product(ALL_REPORTS, repeat=length):
        row = make_row()
        for report in reports:
            on_report(row, report)
        assert row.state is expected_state(reports), reports


def test_stale_list_does_not_revert_a_leaving_target():
    row = make_row()
    on_report(row, SELF_SAYS_LIVE)
    on_report(row, SELF_SAYS_LEAVING)
    for report in (LIST_SAYS_LIVE, SELF_SAYS_LIVE, NEXT_LIST_LIVE):
        assert not on_report(row, report)
    assert row.state is TargetState.LEAVING


def test_new_incarnation_resets_the_state():
    row = make_row()
    on_report(row, SELF_SAYS_LEAVING)
    row.breaker = Breaker(failures=9)
    row.service_ratio = 7.0
    assert on_report(row, NEXT_SELF_LIVE)
    assert (row.state, row.breaker.failures, row.service_ratio) == (TargetState.LIVE, 0, 1.0)
    assert not on_report(row, LIST_SAYS_LEAVING)
    assert row.state is TargetState.LIVE
