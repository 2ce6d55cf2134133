"""Orders to evacuate and restore: idempotent, in log order, whole after snapshots."""

from hypothesis import given
from hypothesis import strategies as st

from traystall.control.state import StateMachine, StateSnapshot
from traystall.core.serialization import pack
from traystall.evacuations.cache import EvacuationCache, to_wire
from traystall.evacuations.models import EvacuatedDataCentres, OrderEvacuation
from traystall.evacuations.state import Evacuations
from traystall.rpc.gen.wire.ttypes import Evacuated

ORDERS = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30)


def order(place, evacuated, operator="ana", time=5.0):
    return OrderEvacuation(place, evacuated, operator, time)


@given(ORDERS)
def test_last_order_of_each_place_holds(orders):
    state = Evacuations()
    wanted = set()
    for place, evacuated in orders:
        (wanted.add if evacuated else wanted.discard)(place)
        before = state.places
        result = state.order(order(place, evacuated))
        assert result.places.data_centres == wanted
        assert result.changed == (before.data_centres != wanted)
        assert result.places.version == before.version + result.changed


@given(ORDERS, st.integers(1, 4))
def test_resent_orders_change_nothing(orders, copies):
    once, often = Evacuations(), Evacuations()
    for place, evacuated in orders:
        once.order(order(place, evacuated))
        for _ in range(copies):
            often.order(order(place, evacuated, operator="bao", time=9.0))
    assert once.places == often.places


@given(ORDERS, ORDERS)
def test_replica_that_took_a_snapshot_goes_on_like_the_others(earlier, later):
    one, other = StateMachine(), StateMachine()
    for place, evacuated in earlier:
        one.apply(pack(order(place, evacuated)))
    other.restore(one.snapshot())
    assert other.evacuations.listed() == one.evacuations.listed()
    for place, evacuated in later:
        results = {m.apply(pack(order(place, evacuated))).places for m in (one, other)}
        assert len(results) == 1


def test_version_survives_a_snapshot_when_nothing_is_evacuated():
    state = Evacuations()
    state.order(order("a", True))
    state.order(order("a", False))
    again = Evacuations()
    again.restore(state.snapshot())
    assert again.places == EvacuatedDataCentres(2, frozenset())


def test_snapshot_of_an_earlier_release_evacuates_nothing():
    machine = StateMachine()
    earlier = StateSnapshot(machine.catalog.snapshot(), machine.ledger.snapshot())
    machine.apply(pack(order("a", True)))
    machine.restore(pack(earlier))
    assert machine.evacuations.places == EvacuatedDataCentres()


@given(st.lists(st.tuples(st.integers(0, 9), st.sets(st.sampled_from("abc"))), max_size=20))
def test_gateway_never_steps_back(told):
    held = EvacuationCache()
    seen = []
    held.on_change.append(lambda before, after: seen.append((before.version, after.version)))
    for version, places in told:
        held.take(Evacuated(version=version, data_centres=sorted(places)))
    assert held.version == max((version for version, _ in told), default=0)
    assert all(after > before for before, after in seen)


def test_peer_that_tells_nothing_changes_nothing():
    held = EvacuationCache()
    held.take(to_wire(EvacuatedDataCentres(3, frozenset("a"))))
    assert not held.take(None)
    assert not held.take(Evacuated())
    assert held.places == EvacuatedDataCentres(3, frozenset("a"))
