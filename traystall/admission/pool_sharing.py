"""Which pools the kinds of requests that meet there share by parts. Pure; seconds.

Loads: a kind with a long aim fills a pool's queue as far as its own aim allows, and a kind with a
short aim, which could still be served before it, is refused behind it. A kind whose aim its own
stages nearly fill is let in by a forecast that is some tenths of a second too short, and nearly all
of a rush is late.
"""

from collections.abc import Iterable, Mapping

from traystall.routes.models import Pool, Route

# Kinds of which one may wait so many times as long as another are told apart in queues and
# forecasts: below that what one of them fills of a queue still leaves the other a third of its own.
UNEVEN_RATIO = 3.0
# A kind may be called tight that may wait less than this part of what its stages take: what is
# not foreseen of their calls, about a fifth of each, is then a third of all that it may wait.
TIGHT_PART = 0.6
# Slacks below this, in seconds, are those of kinds that can't wait at all; a call takes longer.
_LEAST_SLACK = 0.1


def shared_pools(routes: Iterable[Route], pools: Mapping[str, Pool]) -> frozenset[str]:
    """Return the pools at which kinds of very different patience meet, or that tight ones ask."""
    routes = list(routes)
    return uneven_pools(routes, pools) | tight_pools(routes, pools)


def stages_seconds(route: Route, pools: Mapping[str, Pool]) -> float:
    """Return how long the stages of a route take with full calls and no waiting, in seconds."""
    ends: list[float] = []
    for stage in route.stages:
        begins = max((ends[earlier] for earlier in stage.after), default=0.0)
        pool = pools.get(stage.pool)
        profile = pool.batches if pool else None
        ends.append(begins + (profile.seconds(profile.batch) if profile else 0.0))
    return max(ends, default=0.0)


def slack(route: Route, pools: Mapping[str, Pool]) -> float:
    """Return how long a request of a route may wait in all and still be in time, in seconds."""
    return max(_LEAST_SLACK, route.aim - stages_seconds(route, pools))


def uneven_pools(routes: Iterable[Route], pools: Mapping[str, Pool]) -> frozenset[str]:
    """Return the pools at which kinds of very different patience meet."""
    slacks: dict[str, list[float]] = {}
    for route in routes:
        if route.aim:
            for pool in {stage.pool for stage in route.stages}:
                slacks.setdefault(pool, []).append(slack(route, pools))
    return frozenset(
        pool for pool, found in slacks.items() if max(found) >= UNEVEN_RATIO * min(found)
    )


def tight_pools(routes: Iterable[Route], pools: Mapping[str, Pool]) -> frozenset[str]:
    """Return the pools of the chains that may wait little beside what their stages take.

    A single stage is no chain: its own queue is all that has to be foreseen.
    """
    return frozenset(
        stage.pool
        for route in routes
        if route.aim and any(stage.after for stage in route.stages)
        if slack(route, pools) < TIGHT_PART * stages_seconds(route, pools)
        for stage in route.stages
    )
