"""Plan the orders to engines from the declared models and the observed state.

An order contains the complete desired state of one engine, so that repeating it
is harmless, and a fencing token (term, sequence) that only grows.
"""

from collections import defaultdict
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from traystall.tables.entities import Kind, Model, Target


class LoadedModel(msgspec.Struct, frozen=True, order=True):
    """Name and version of one loaded model."""

    name: str
    version: str


class EngineState(msgspec.Struct, frozen=True):
    """Models that an engine has reported; `ready` are those that it can serve now."""

    target: str
    ready: frozenset[LoadedModel] = frozenset()
    loading: frozenset[LoadedModel] = frozenset()


class Order(msgspec.Struct, frozen=True):
    """Instruct one engine to hold exactly `models`."""

    target: str
    models: tuple[LoadedModel, ...]
    why: str


class LoadBudget(msgspec.Struct):
    """Rate limit of loads from the weight store: a token bucket filled at `rate` a second."""

    rate: float
    tokens: float = 1.0
    filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take the token of one load; return False if none is available."""
        self.tokens = min(1.0, self.tokens + self.rate * (now - self.filled_at))
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def plan(
    models: list[Model],
    targets: list[Target],
    states: dict[str, EngineState],
    budget: LoadBudget,
    now: float,
    silent: Mapping[str, EngineState] = MappingProxyType({}),
) -> list[Order]:
    """Return the next orders: load missing models, then unload undeclared versions.

    `states` are observed now, `silent` are the last states of engines that were silent just now.
    These most likely hold their models still, but get no orders.

    A version is unloaded in a data centre only after the declared version has
    its replicas ready there. In each pool and data centre at most one engine
    loads a model at a time.
    """
    orders = []
    groups = _by_pool_and_data_centre(targets)
    for model in models:
        for (pool, _), members in sorted(groups.items()):
            if pool == model.pool:
                order = _next_order(model, members, states, silent, budget, now)
                if order is not None:
                    orders.append(order)
    return _one_per_target(orders)


def _next_order(model, members, states, silent, budget, now):
    wanted = LoadedModel(model.name, model.version)
    known = [states[t.name] for t in members if t.name in states]
    unheard = [silent[t.name] for t in members if t.name in silent and t.name not in states]
    if any(state.loading for state in known + unheard):
        return None
    ready = [state for state in known if wanted in state.ready]
    replicas = min(model.replicas, len(members))
    if len(ready) < replicas:
        if len(ready) + sum(wanted in state.ready for state in unheard) >= replicas:
            return None
        return _load_order(model, wanted, known, budget, now)
    return _unload_order(model, wanted, known)


def _load_order(model, wanted, known, budget, now):
    missing = [state for state in known if wanted not in state.ready]
    if not missing or not budget.take(now):
        return None
    # The engine with the fewest models, then the first by name, so that replicas spread.
    engine = min(missing, key=lambda state: (len(state.ready), state.target))
    models = tuple(sorted({*engine.ready, wanted}))
    return Order(engine.target, models, f"load {model.name} {model.version}")


def _unload_order(model, wanted, known):
    for engine in sorted(known, key=lambda state: state.target):
        old = {held for held in engine.ready if held.name == model.name and held != wanted}
        if old:
            models = tuple(sorted(engine.ready - old))
            return Order(engine.target, models, f"drop old versions of {model.name}")
    return None


def _by_pool_and_data_centre(targets):
    groups = defaultdict(list)
    for target in targets:
        if target.kind is Kind.ENGINE:
            groups[target.pool, target.data_centre].append(target)
    return groups


def _one_per_target(orders):
    chosen = {}
    for order in orders:
        chosen.setdefault(order.target, order)
    return list(chosen.values())


def earliest_order_time(elected_at: float, lease: float, order_timeout: float) -> float:
    """Return when a new leader may send orders to targets that don't check fencing tokens."""
    return elected_at + lease + order_timeout
