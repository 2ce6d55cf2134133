"""Find the route, the customer and the pool of a request."""

from traystall.routes.models import KeyedCustomer, Pool, Route, RoutingTable


class RouteIndex:
    """Answer questions about one routing table without walking through it."""

    def __init__(self, table: RoutingTable):
        self.table = table
        self.pools: dict[str, Pool] = {pool.name: pool for pool in table.pools}
        self._by_name = {route.name: route for route in table.routes}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._holders: dict[str, KeyedCustomer] = {}
        for customer in table.customers or ():
            for key in customer.keys:
                self._holders[key] = customer

    @property
    def number(self) -> int:
        """Return the number of the revision; 0 before the first one."""
        return self.table.number

    @property
    def requires_key(self) -> bool:
        """Return whether requests on routes that are not public must show a key."""
        return self.table.customers is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins `path` at `host`, or None.

        `path` comes without its query; prefixes begin and end with a slash.
        """
        routes = self._routes.get(_without_port(host).lower())
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
        """Return the route called `name`, or None."""
        return self._by_name.get(name)

    def customer(self, key: str) -> KeyedCustomer | None:
        """Return the customer that holds `key`, or None."""
        return self._holders.get(key)


def allowed_data_centres(route: Route, customer: KeyedCustomer | None) -> tuple[str, ...] | None:
    """Return the data centres in which a request may run; none means anywhere.

    Where both the route and the customer name some, both bind; None says that they have none
    in common, so that the request may run nowhere.
    """
    own = customer.data_centres if customer is not None else ()
    if not own or not route.data_centres:
        return own or route.data_centres
    return tuple(name for name in route.data_centres if name in own) or None


def choose_pool(route: Route, random) -> str:
    """Return the pool of one request, by the route's weights."""
    if len(route.splits) == 1:
        return route.splits[0].pool
    weights = [split.weight for split in route.splits]
    return random.choices(route.splits, weights)[0].pool


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
