"""Determine the pools that routes share by capacity shares; the module does no I/O.

Two faults make such shares necessary. A route with a long latency goal (`aim`) fills the queue of a
pool as far as its own goal allows, and a route with a short goal is refused behind that queue,
although its requests could be served first. A route whose stages take nearly all of its goal is
admitted by a forecast that is some tenths of a second too short, and nearly all requests of a load
peak finish late.
"""

from collections.abc import Iterable, Mapping

from traystall.routes.models import Pool, Route

# Queues and forecasts distinguish routes from this ratio of their slacks on. Below it, the
# queue that one of them fills still leaves the other one a third of its own slack.
UNEVEN_RATIO = 3.0
# A route is tight if its slack is below this ratio of the duration of its stages. The unforeseen
# part of the calls, about a fifth of each, is then a third of the slack.
TIGHT_RATIO = 0.6
# Smaller slacks belong to routes whose requests cannot wait at all, since a call takes longer.
_MIN_SLACK_SECONDS = 0.1


def shared_pools(routes: Iterable[Route], pools: Mapping[str, Pool]) -> frozenset[str]:
    """Return the pools used by routes of very different slack, or by tight routes."""
    routes = list(routes)
    return uneven_pools(routes, pools) | tight_pools(routes, pools)


def stages_seconds(route: Route, pools: Mapping[str, Pool]) -> float:
    """Return the duration of a route's stages with full calls and no waiting, in seconds."""
    ends: list[float] = []
    for stage in route.stages:
        begins = max((ends[earlier] for earlier in stage.after), default=0.0)
        pool = pools.get(stage.pool)
        profile = pool.batches if pool else None
        ends.append(begins + (profile.seconds(profile.batch) if profile else 0.0))
    return max(ends, default=0.0)


def slack(route: Route, pools: Mapping[str, Pool]) -> float:
    """Return how long a request may wait in total and still finish in time, in seconds."""
    return max(_MIN_SLACK_SECONDS, route.aim - stages_seconds(route, pools))


def uneven_pools(routes: Iterable[Route], pools: Mapping[str, Pool]) -> frozenset[str]:
    """Return the pools used by routes of very different slack."""
    slacks: dict[str, list[float]] = {}
    for route in routes:
        if route.aim:
            for pool in {stage.pool for stage in route.stages}:
                slacks.setdefault(pool, []).append(slack(route, pools))
    return frozenset(
        pool for pool, found in slacks.items() if max(found) >= UNEVEN_RATIO * min(found)
    )


def tight_pools(routes: Iterable[Route], pools: Mapping[str, Pool]) -> frozenset[str]:
    """Return the pools of routes that have several stages and little slack.

    A route without a stage that depends on another is not included: only its own queue has to be
    forecast.
    """
    return frozenset(
        stage.pool
        for route in routes
        if route.aim and any(stage.after for stage in route.stages)
        if slack(route, pools) < TIGHT_RATIO * stages_seconds(route, pools)
        for stage in route.stages
    )
