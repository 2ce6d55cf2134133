"""The replicated departures of targets: which ones are kept, merged and dropped."""

import itertools

from traystall.control.state import StateMachine, StateSnapshot
from traystall.core.serialization import pack, unpack
from traystall.departures.models import Departure
from traystall.departures.table import (
    DEPARTURE_RETENTION_SECONDS,
    MAX_DEPARTURES,
    DepartureTable,
)
from traystall.quarantine.models import ReportRuns


def table_of(*departures, time=1.0):
    table = DepartureTable()
    table.record(departures, time)
    return table


def test_result_does_not_depend_on_the_order():
    """Two daemons may commit what they learnt of one target in any order."""
    steps = [
        Departure("t", False, 5),
        Departure("t", True, 5),
        Departure("t", False, 0),
        Departure("t", False, 3),
    ]
    for order in itertools.permutations(steps):
        assert table_of(*order).since(0) == [Departure("t", True, 5)]


def test_later_life_of_an_identity_begins_anew():
    table = table_of(Departure("t", True, 5))
    assert not table.holds(Departure("t", False, 6))
    table.record([Departure("t", False, 6)], 2.0)
    assert table.since(0) == [Departure("t", False, 6)]
    assert table.holds(Departure("t", True, 5)), "a late end of the earlier life changes nothing"


def test_end_holds_the_notice_of_the_same_life():
    assert table_of(Departure("t", True, 5)).holds(Departure("t", False, 5))
    assert not table_of(Departure("t", False, 5)).holds(Departure("t", True, 5))


def test_repeated_departure_is_no_change():
    """A leaving target reports every second; only changes of state may take room and updates."""
    table = table_of(Departure("t", False, 5))
    version = table.version
    table.record([Departure("t", False, 5)], 3.0)
    assert table.version == version
    assert table.since(version) == []


def test_departure_is_dropped_after_its_retention_in_log_time():
    table = table_of(Departure("old", True))
    table.record([Departure("new", True)], 1.0 + DEPARTURE_RETENTION_SECONDS)
    assert len(table) == 2
    table.record([], 1.5 + DEPARTURE_RETENTION_SECONDS)
    assert [row.identity for row in table.since(0)] == ["new"]


def test_clock_of_a_new_leader_that_is_behind_drops_nothing():
    table = table_of(Departure("t", True), time=5000.0)
    table.record([Departure("u", True)], 1.0)
    table.record([], 5000.0)
    assert len(table) == 2


def test_oldest_departures_give_way_beyond_the_limit():
    table = DepartureTable()
    for number in range(MAX_DEPARTURES + 3):
        table.record([Departure(f"t-{number}", True)], 1.0)
    assert len(table) == MAX_DEPARTURES
    assert not table.holds(Departure("t-2", True))
    assert table.holds(Departure("t-3", True))


def test_snapshot_restores_the_departures():
    machine = StateMachine()
    command = ReportRuns((), (), (), 7.0, departures=(Departure("t", True, 5),))
    machine.apply(pack(command))
    other = StateMachine()
    other.restore(machine.snapshot())
    assert other.departures.since(0) == [Departure("t", True, 5)]
    assert other.departures.version == machine.departures.version
    assert other.departures.time == 7.0


def test_snapshot_of_an_earlier_release_has_no_departures():
    machine = StateMachine()
    parts = unpack(machine.snapshot(), StateSnapshot)
    earlier = {
        name: getattr(parts, name) for name in ("catalog", "ledger", "evacuations", "suspects")
    }
    machine.apply(pack(ReportRuns((), (), (), 7.0, departures=(Departure("t", True),))))
    machine.restore(pack(earlier))
    assert len(machine.departures) == 0
