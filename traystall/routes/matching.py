"""Lookup of the route, customer and pool of a request."""

from traystall.routes.models import KeyedCustomer, Pool, Route, RoutingTable


class RouteIndex:
    """Indexes of one routing table for lookups by host and path, name, and key."""

    def __init__(self, table: RoutingTable):
        self.table = table
        self.pools: dict[str, Pool] = {pool.name: pool for pool in table.pools}
        self._by_name = {route.name: route for route in table.routes}
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._routes_by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._customers_by_key: dict[str, KeyedCustomer] = {}
        for customer in table.customers or ():
            for key in customer.keys:
                self._customers_by_key[key] = customer

    @property
    def number(self) -> int:
        """Return the number of the revision, 0 before the first one."""
        return self.table.number

    @property
    def requires_key(self) -> bool:
        """Return whether requests on routes that are not public need a customer's key."""
        return self.table.customers is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None.

        `path` has no query. Prefixes begin and end with a slash.
        """
        routes = self._routes_by_host.get(_without_port(host).lower())
        if not routes:
            return None
        end = len(path)
        while True:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            found = routes.get(path[: slash + 1])
            if found is not None:
                return found
            end = slash

    def route_named(self, name: str) -> Route | None:
        """Return the route with this name, or None."""
        return self._by_name.get(name)

    def customer(self, key: str) -> KeyedCustomer | None:
        """Return the customer to which `key` belongs, or None."""
        return self._customers_by_key.get(key)


def allowed_data_centres(route: Route, customer: KeyedCustomer | None) -> tuple[str, ...] | None:
    """Return the data centres in which a request may run; an empty tuple stands for all.

    If both the route and the customer name data centres, a request is limited to those that they
    have in common. None means that there are none, so the request may not run anywhere.
    """
    customer_data_centres = customer.data_centres if customer is not None else ()
    if not customer_data_centres or not route.data_centres:
        return customer_data_centres or route.data_centres
    return tuple(name for name in route.data_centres if name in customer_data_centres) or None


def choose_pool(route: Route, random) -> str:
    """Return a pool for one request, chosen at random by the route's weights."""
    if len(route.splits) == 1:
        return route.splits[0].pool
    weights = [split.weight for split in route.splits]
    return random.choices(route.splits, weights)[0].pool


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
