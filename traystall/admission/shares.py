"""Divide the capacity of congested pools between routes, and a route's share between customers.

The module does no I/O. Example: several routes use pools whose rates are below the total demand.
A route whose requests may wait long fills the queue, and a route whose requests may not is refused
behind it; a customer with many requests finds room more often than a customer with one. The shares
are max-min fair. All routes at the pool that limits them get the same ratio of their demand, and
within a route each customer gets its demand up to one level that is the same for all. So no
customer is starved, no route is served a smaller share than another one at its own bottleneck, and
no capacity is left unused.
"""

from collections.abc import Mapping

import msgspec

# Shares above this ratio count as the whole demand, since they differ from it by rounding only.
_WHOLE_RATIO = 1.0 - 1e-9


class RouteShare(msgspec.Struct, frozen=True):
    """Hold the served share of a route's demand, and the pool that limits it, if any."""

    part: float = 1.0
    pool: str = ""


def route_shares(
    requested: Mapping[str, Mapping[str, float]], rates: Mapping[str, float]
) -> dict[str, RouteShare]:
    """Return the share of each route's demand that the pools can serve.

    `asked` is the demand of each route at each pool, `rates` the capacity of each pool, both in
    pieces per second; a pool without a rate is unlimited. A request uses all of its pools or none.
    The demand that a route loses at one pool is therefore missing at its other pools, which serve
    more of the other routes.
    """
    found: dict[str, RouteShare] = {}
    left = dict(rates)
    undecided = {kind for kind in requested if any(requested[kind].values())}
    while undecided:
        ratio, pool = _bottleneck(requested, left, undecided)
        if ratio >= _WHOLE_RATIO:
            break
        for kind in [kind for kind in undecided if requested[kind].get(pool, 0.0) > 0.0]:
            found[kind] = RouteShare(ratio, pool)
            undecided.discard(kind)
            for name, rate in requested[kind].items():
                if name in left:
                    left[name] = max(0.0, left[name] - ratio * rate)
    return {kind: found.get(kind, RouteShare()) for kind in requested}


def customer_shares(requested: Mapping[str, float], rate: float) -> dict[str, float]:
    """Return the served share of each customer's demand; `rate` is their total capacity.

    A customer with little demand gets all of it, and the others divide the rest equally.
    """
    left, count = max(0.0, rate), len(requested)
    shares: dict[str, float] = {}
    for customer, wanted in sorted(requested.items(), key=lambda item: (item[1], item[0])):
        granted = min(wanted, left / count)
        shares[customer] = granted / wanted if wanted > 0.0 else 1.0
        left -= granted
        count -= 1
    return shares


def _bottleneck(requested, left, undecided) -> tuple[float, str]:
    """Return the smallest ratio of the demand that any pool can serve, and the pool's name."""
    lowest, found = 1.0, ""
    for pool in sorted(left):
        wanted = sum(requested[kind].get(pool, 0.0) for kind in undecided)
        if wanted > 0.0 and left[pool] / wanted < lowest:
            lowest, found = left[pool] / wanted, pool
    return lowest, found
