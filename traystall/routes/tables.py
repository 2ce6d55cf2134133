"""The routing tables of one revision, built from its entities.

Entities are opaque to the catalog. A translator builds the routing table from them, so documents of
another platform are replicated unchanged.
"""

from collections.abc import Callable

from traystall.core.serialization import unpack
from traystall.routes.matching import RouteIndex
from traystall.routes.models import KeyedCustomer, Pool, Route, RoutingTable

Translator = Callable[[int, dict[str, bytes]], RoutingTable]


def translate_entities(number: int, encoded: dict[str, bytes]) -> RoutingTable:
    """Return the routing table of a bundle in Traystall's own format."""
    keyed = tuple(_unpack_all("keyed_customer", KeyedCustomer, encoded))
    return RoutingTable(
        number=number,
        routes=tuple(_unpack_all("route", Route, encoded)),
        pools=tuple(_unpack_all("pool", Pool, encoded)),
        customers=keyed or None,
    )


def _unpack_all(kind, row_type, encoded):
    keys = sorted(key for key in encoded if key.startswith(f"{kind}/"))
    return [unpack(encoded[key], row_type) for key in keys]


class RoutingTables:
    """The routing table in force; `updated` returns that of a newer revision."""

    def __init__(self, translate: Translator, number: int = 0, table: RoutingTable | None = None):
        self.number = number
        self.index = RouteIndex(table or RoutingTable())
        self._translate = translate

    def updated(self, number: int, encoded: dict[str, bytes], changed) -> "RoutingTables":
        """Return the tables of a newer revision with all its encoded entities."""
        return RoutingTables(self._translate, number, self._translate(number, encoded))
