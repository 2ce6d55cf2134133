"""The routes of one revision, made from its entities.

Entities are opaque to the catalog; a translator makes a routing table of them,
so that another platform's documents travel as they are.
"""

from collections.abc import Callable

from traystall.routes.matching import RouteIndex
from traystall.routes.models import RoutingTable

Translator = Callable[[int, dict[str, bytes]], RoutingTable]


class RoutingTables:
    """Hold the routes in force; `updated` gives those of a newer revision."""

    def __init__(self, translate: Translator, number: int = 0, table: RoutingTable | None = None):
        self.number = number
        self.index = RouteIndex(table or RoutingTable())
        self._translate = translate

    def updated(self, number: int, encoded: dict[str, bytes], changed) -> "RoutingTables":
        """Return the tables of a newer revision."""
        return RoutingTables(self._translate, number, self._translate(number, encoded))
