"""Which work the gateway lets finish after the caller has got a response."""

import pytest

from tests.support.gateway_bench import service_stage
from traystall.gateway.front import Frontend
from traystall.tables.entities import Pipeline
from traystall.tables.requests import RequestRow, StageRecord


def make_row(repeatable, sent, not_run):
    row = RequestRow("r", "c", Pipeline("p", (service_stage(repeatable),)), "quick", 0.0, 1.0)
    row.stages.append(StageRecord("work"))
    row.attempts_sent, row.attempts_not_run = sent, not_run
    return row


@pytest.mark.parametrize("sent,not_run", [(0, 0), (1, 1), (3, 3)])
def test_work_that_was_not_run_is_cancelled(sent, not_run):
    front = Frontend.__new__(Frontend)
    assert not front._must_finish(make_row(False, sent, not_run))


def test_work_that_may_have_run_finishes_only_if_not_repeatable():
    front = Frontend.__new__(Frontend)
    assert front._must_finish(make_row(False, 2, 1))
    assert not front._must_finish(make_row(True, 2, 1))
