"""Which connections are closed when there are too many: those that have rested longest."""

import msgspec

from traystall.http.crowding import choose_resting
from traystall.http.limits import Stage
from traystall.http.resources import ClientResources, process_resources


class _Connection(msgspec.Struct, frozen=True):
    stage: Stage
    moved_at: float


def test_longest_resting_is_closed():
    connections = [_Connection(Stage.REQUEST, float(n)) for n in (3, 1, 2)]
    assert choose_resting(connections, 3) == [connections[1]]


def test_requests_that_are_handled_stay():
    busy = [_Connection(Stage.HANDLER, 0.0) for _ in range(10)]
    body = _Connection(Stage.BODY, 5.0)
    assert choose_resting([*busy, body], 11) == [body]
    assert choose_resting(busy, 10) == []


def test_several_are_closed_at_once_when_there_are_many():
    connections = [_Connection(Stage.REQUEST, float(n)) for n in range(640)]
    assert [row.moved_at for row in choose_resting(connections, 640)] == list(range(10))


def test_small_machine_gets_fewer_connections_than_its_descriptors_allow():
    """The kernel may keep a receive buffer for each."""
    small = ClientResources(160e6, 3900)
    large = ClientResources(3000e6, 3900)
    assert small.max_client_connections < large.max_client_connections <= 3900 / 2
    assert small.memory.capacity_bytes < 160e6 / 4


def test_resources_without_settings_are_those_of_the_system():
    found = process_resources(0, 0)
    assert 8 <= found.max_client_connections < float("inf")
    assert 0 < found.memory.capacity_bytes < float("inf")
