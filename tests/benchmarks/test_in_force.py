"""Recorded days give the time until revisions are in force."""

import pytest

from benchmarks.in_force import Event, seconds_to_force


def event(at, instance, message, **fields):
    return Event(at, instance, message, fields)


def accepted(at, number):
    return event(at, "c", "apply", outcome="accepted", number=number)


def taken(at, number, instance="g"):
    return event(at, instance, "configuration", number=number)


def test_each_gateway_and_revision_counts_once():
    events = [
        accepted(1.0, 5),
        taken(1.2, 5),
        taken(1.5, 5, "h"),
        accepted(2.0, 6),
        accepted(2.1, 7),
        taken(2.5, 7),
    ]
    assert seconds_to_force(events) == pytest.approx([0.2, 0.5, 0.5, 0.4])


@pytest.mark.parametrize("started_first", [True, False])
def test_gateway_that_was_down_counts_from_its_start(started_first):
    start, first = event(9.0, "g", "started"), taken(9.1, 5)
    if not started_first:
        start, first = event(9.2, "g", "started"), taken(9.1, 5)
    events = [accepted(1.0, 5), *sorted([start, first], key=lambda e: e.at)]
    events += [accepted(20.0, 6), taken(20.3, 6)]
    found = seconds_to_force(events)
    assert found[-1] == pytest.approx(0.3)
    assert len(found) == 2, "a revision held before the start is not counted again"
