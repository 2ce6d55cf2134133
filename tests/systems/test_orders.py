"""Placement: what is missing is loaded, one engine of a place at a time, old versions go last."""

import pytest

from traystall.systems.orders import EngineState, LoadBudget, LoadedModel, plan
from traystall.tables.entities import Kind, Model, Target

OLD, NEW = LoadedModel("m", "1"), LoadedModel("m", "2")
PLACES = ("north", "south")


def engines():
    """Return three engines in each of two places."""
    return [
        Target(f"{place}-{n}", "pool", Kind.ENGINE, place, f"127.0.0.1:{n}")
        for place in PLACES
        for n in range(3)
    ]


class World:
    """Let engines obey their orders and remember what they held."""

    def __init__(self, held):
        self.states = {t.name: EngineState(t.name, frozenset(held)) for t in engines()}

    def round(self, models, budget, now):
        """Carry out one round of orders and return them."""
        orders = plan(models, engines(), self.states, budget, now)
        for order in orders:
            self.states[order.target] = EngineState(order.target, frozenset(order.models))
        return orders

    def ready(self, place, model):
        return sum(model in s.ready for n, s in self.states.items() if n.startswith(place))


def test_rolling_version_keeps_replicas_and_ends_with_the_new_only():
    world, budget = World([OLD]), LoadBudget(rate=1000.0)
    models = [Model("m", "2", "pool", replicas=2)]
    for now in range(1, 40):
        orders = world.round(models, budget, float(now))
        for place in PLACES:
            assert sum(o.target.startswith(place) for o in orders) <= 1
            # At no time does a place have fewer ready replicas than are declared.
            assert world.ready(place, OLD) >= 2 or world.ready(place, NEW) >= 2
    for place in PLACES:
        assert (world.ready(place, NEW), world.ready(place, OLD)) == (2, 0)
    assert world.round(models, budget, 50.0) == []


def test_loads_are_paced():
    world, budget = World([]), LoadBudget(rate=0.5)
    given = [
        len(world.round([Model("m", "2", "pool", replicas=3)], budget, float(now)))
        for now in range(1, 21)
    ]
    assert sum(given) == 6
    assert max(given) == 1


@pytest.mark.parametrize("silent", [0, 1, 2])
def test_silent_engines_are_neither_ordered_nor_counted(silent):
    world, budget = World([NEW]), LoadBudget(rate=1000.0)
    names = sorted(world.states)[:silent]
    for name in names:
        del world.states[name]
    orders = plan([Model("m", "2", "pool", replicas=3)], engines(), world.states, budget, 1.0)
    assert not {o.target for o in orders} & set(names)
    assert orders == []


def test_one_engine_loads_at_a_time_in_a_place():
    states = {t.name: EngineState(t.name) for t in engines()}
    states["north-0"] = EngineState("north-0", loading=frozenset([NEW]))
    budget = LoadBudget(rate=1000.0)
    orders = plan([Model("m", "2", "pool", replicas=3)], engines(), states, budget, 1.0)
    assert [o.target for o in orders] == ["south-0"]
