"""Validation of a whole routing table; each problem names the field and a remedy."""

from collections import Counter

from traystall.conf.checks import Problem
from traystall.routes.models import Route, RoutingTable


def check_table(table: RoutingTable) -> list[Problem]:
    """Return the problems that make a routing table unusable."""
    pools = {pool.name for pool in table.pools}
    problems = []
    for route in table.routes:
        problems += _check_route(route, pools)
    problems += _check_prefixes(table)
    problems += _check_customer_keys(table)
    return problems


def _check_route(route: Route, pools: set[str]) -> list[Problem]:
    where = f"routes[{route.name}]"
    problems = []
    used_pools = [split.pool for split in route.splits] + [stage.pool for stage in route.stages]
    problems += [
        Problem("routes.E001", f"{where} names the unknown pool '{pool}'.", "Declare the pool.")
        for pool in used_pools
        if pool not in pools
    ]
    if sum(split.weight for split in route.splits) <= 0:
        problems.append(
            Problem("routes.E002", f"{where}: the weights add up to 0.", "Raise one of them.")
        )
    if any(split.weight < 0 for split in route.splits):
        problems.append(Problem("routes.E003", f"{where}: a weight is below 0.", "Raise it."))
    if route.timeout <= 0:
        problems.append(Problem("routes.E004", f"{where}: the time-out is 0.", "Raise it."))
    for index, stage in enumerate(route.stages):
        if any(not 0 <= earlier < index for earlier in stage.after):
            problems.append(
                Problem(
                    "routes.E005",
                    f"{where}.stages[{index}] needs a stage that does not come before it.",
                    "Name earlier stages only.",
                )
            )
    return problems


def _check_prefixes(table: RoutingTable) -> list[Problem]:
    places = Counter((route.host, route.path_prefix) for route in table.routes)
    return [
        Problem(
            "routes.E006",
            f"Several routes share host '{host}' and path prefix '{prefix}'.",
            "Give each its own.",
        )
        for (host, prefix), count in places.items()
        if count > 1
    ]


def _check_customer_keys(table: RoutingTable) -> list[Problem]:
    """Return a problem for each key of two customers, without showing the key."""
    holders: dict[str, str] = {}
    problems = []
    for customer in table.customers or ():
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                problems.append(
                    Problem(
                        "routes.E007",
                        f"Customers '{holder}' and '{customer.name}' share a key.",
                        "Give each its own.",
                    )
                )
    return problems
