"""Reports of targets, in any order and any number of times, lead to one state."""

import itertools

import pytest

from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.table import GONE_SECONDS, SILENT_SECONDS, Registry


def report(state="ready", sequence=1, identity="t-1", address="10.0.0.1:80"):
    return TargetReport(identity, "p", address, state=RegisteredState(state), sequence=sequence)


REPORTS = [
    report("ready", 1),
    report("ready", 2, address="10.0.0.1:81"),
    report("draining", 3),
    None,  # It says that it is gone.
    report("ready", 4),  # A late one: a target that left doesn't come back.
]


@pytest.mark.parametrize("order", list(itertools.permutations(range(5))))
def test_gone_targets_never_come_back(order):
    registry = Registry()
    left = False
    for position in order:
        if REPORTS[position] is None:
            registry.leave("t-1", 1.0)
            left = True
        else:
            registry.merge(REPORTS[position], 1.0)
        if left:
            assert registry.get("t-1").report.state is RegisteredState.GONE
    assert registry.get("t-1").report.sequence == 4


@pytest.mark.parametrize("sequence", [1, 2, 3, 99])
def test_draining_target_stays_draining(sequence):
    registry = Registry()
    registry.merge(report("draining", 2), 1.0)
    registry.merge(report("ready", sequence), 2.0)
    assert not registry.get("t-1").is_ready


def test_only_news_raises_the_version():
    registry = Registry()
    assert registry.merge(report("ready", 1), 1.0)
    version = registry.version
    assert not registry.merge(report("ready", 2), 2.0)
    assert registry.version == version
    assert registry.get("t-1").seen_at == 2.0
    assert registry.merge(report("draining", 3), 3.0)
    assert [row.identity for row in registry.since(version)] == ["t-1"]


def test_rows_are_forgotten_in_the_end():
    registry = Registry()
    registry.merge(report(), 0.0)
    registry.merge(report("ready", 1, "t-2"), 0.0)
    registry.leave("t-2", 0.0)
    registry.forget_old(SILENT_SECONDS + 1)
    assert [row.identity for row in registry.rows()] == ["t-2"]
    registry.forget_old(GONE_SECONDS + 1)
    assert registry.rows() == []
