"""The declared entities of one revision, as tables with indexes."""

from collections import defaultdict

from traystall.core.serialization import unpack
from traystall.tables.entities import (
    ENTITY_TYPES,
    Customer,
    DataCentre,
    Model,
    OrderPolicy,
    Pipeline,
    Target,
)


class ConfigurationTables:
    """Typed rows by kind and name; each row is decoded on first use and cached."""

    def __init__(self, number: int = 0, encoded: dict[str, bytes] | None = None):
        self.number = number
        self._encoded = encoded if encoded is not None else {}
        self._rows: dict[str, object] = {}
        self._pools: dict[str, list[Target]] | None = None

    def customer(self, name: str) -> Customer | None:
        """Return the customer called `name`, or None."""
        return self._row("customer", name)

    def pipeline(self, name: str) -> Pipeline | None:
        """Return the pipeline called `name`, or None."""
        return self._row("pipeline", name)

    def target(self, name: str) -> Target | None:
        """Return the target called `name`, or None."""
        return self._row("target", name)

    def order_policy(self) -> OrderPolicy:
        """Return the declared order policy, or the default one."""
        return self._row("order_policy", "orders") or OrderPolicy()

    def targets(self) -> list[Target]:
        """Return every target, in the order of their names."""
        return self._all("target")

    def models(self) -> list[Model]:
        """Return every model, in the order of their names."""
        return self._all("model")

    def pipelines(self) -> list[Pipeline]:
        """Return every pipeline, in the order of their names."""
        return self._all("pipeline")

    def data_centres(self) -> list[DataCentre]:
        """Return every data centre, in the order of their names."""
        return self._all("data_centre")

    def pool(self, name: str) -> list[Target]:
        """Return the targets of a pool, in the order of their names."""
        if self._pools is None:
            self._pools = self._index_pools()
        return self._pools.get(name, [])

    def updated(self, number: int, encoded: dict[str, bytes], changed) -> "ConfigurationTables":
        """Return the tables of a newer revision, with the decoded rows that are unchanged."""
        tables = ConfigurationTables(number, encoded)
        changed = set(changed)
        tables._rows = {key: row for key, row in self._rows.items() if key not in changed}
        return tables

    def _row(self, kind, name):
        key = f"{kind}/{name}"
        row = self._rows.get(key)
        if row is None and key in self._encoded:
            row = self._rows[key] = unpack(self._encoded[key], ENTITY_TYPES[kind])
        return row

    def _all(self, kind):
        prefix = kind + "/"
        keys = sorted(key for key in self._encoded if key.startswith(prefix))
        return [self._row(kind, key[len(prefix) :]) for key in keys]

    def _index_pools(self):
        pools = defaultdict(list)
        for target in self.targets():
            pools[target.pool].append(target)
        return dict(pools)
