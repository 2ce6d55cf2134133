"""Decide which orders to give to engines, from declared models and observed state.

An order carries the absolute wanted state of one engine, so that repeating it
is harmless, and a fencing token (term, sequence) that only grows.
"""

from collections import defaultdict

import msgspec

from traystall.tables.entities import Kind, Model, Target


class LoadedModel(msgspec.Struct, frozen=True, order=True):
    """Name one loaded model with its version."""

    name: str
    version: str


class EngineState(msgspec.Struct, frozen=True):
    """Hold what an engine said it holds; `ready` are the models it can serve now."""

    target: str
    ready: frozenset[LoadedModel] = frozenset()
    loading: frozenset[LoadedModel] = frozenset()


class Order(msgspec.Struct, frozen=True):
    """Ask one engine to hold exactly `models`."""

    target: str
    models: tuple[LoadedModel, ...]
    why: str


class LoadBudget(msgspec.Struct):
    """Pace loads from the weight store: a token bucket filled at `rate` a second."""

    rate: float
    tokens: float = 1.0
    filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one load's token; return whether there was one."""
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
) -> list[Order]:
    """Return the next orders: load what is missing, then drop versions no longer declared.

    A version is dropped in a data centre only once the declared one has its
    replicas ready there, and at most one engine of a place changes at a time.
    """
    orders = []
    groups = _by_pool_and_place(targets)
    for model in models:
        for (pool, _), members in sorted(groups.items()):
            if pool == model.pool:
                order = _next_order(model, members, states, budget, now)
                if order is not None:
                    orders.append(order)
    return _one_per_target(orders)


def _next_order(model, members, states, budget, now):
    wanted = LoadedModel(model.name, model.version)
    known = [states[t.name] for t in members if t.name in states]
    if any(state.loading for state in known):
        return None
    ready = [state for state in known if wanted in state.ready]
    replicas = min(model.replicas, len(members))
    if len(ready) < replicas:
        return _load_order(model, wanted, known, budget, now)
    return _drop_order(model, wanted, known)


def _load_order(model, wanted, known, budget, now):
    lacking = [state for state in known if wanted not in state.ready]
    if not lacking or not budget.take(now):
        return None
    # Prefer the engine with least loaded, then by name, so that replicas spread.
    engine = min(lacking, key=lambda state: (len(state.ready), state.target))
    models = tuple(sorted({*engine.ready, wanted}))
    return Order(engine.target, models, f"load {model.name} {model.version}")


def _drop_order(model, wanted, known):
    for engine in sorted(known, key=lambda state: state.target):
        old = {held for held in engine.ready if held.name == model.name and held != wanted}
        if old:
            models = tuple(sorted(engine.ready - old))
            return Order(engine.target, models, f"drop old versions of {model.name}")
    return None


def _by_pool_and_place(targets):
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
    """Return when a new leader may order targets that don't check fencing tokens."""
    return elected_at + lease + order_timeout
