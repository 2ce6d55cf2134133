"""Shared pools follow from the latency goals and batch profiles of the configuration."""

from traystall.admission.pool_sharing import shared_pools, slack, tight_pools, uneven_pools
from traystall.routes.models import BatchProfile, Pool, Route, Split, StagePlan

# A full call takes 0.4 s.
POOLS = {name: Pool(name, batches=BatchProfile(1, 2, 20, 0.2, 0.01)) for name in "pqr"}


def route(name, aim, *pools):
    stages = tuple(StagePlan(pool, (i - 1,) if i else ()) for i, pool in enumerate(pools))
    return Route(name, "h", f"/{name}/", (Split("engine"),), aim=aim, stages=stages)


def test_slack_is_the_goal_less_the_longest_path_of_stages():
    assert slack(route("a", 1.5, "p", "q"), POOLS) == 0.7
    assert slack(route("b", 0.1, "p"), POOLS) > 0.0


def test_pools_of_routes_with_very_different_slack():
    patient, quick = route("a", 2.0, "p", "q"), route("b", 0.7, "p")
    assert uneven_pools([patient, quick], POOLS) == {"p"}
    assert uneven_pools([patient, route("b", 0.9, "p")], POOLS) == frozenset()


def test_pools_of_staged_routes_with_little_slack():
    assert tight_pools([route("a", 1.2, "p", "q")], POOLS) == {"p", "q"}
    assert tight_pools([route("a", 1.5, "p", "q")], POOLS) == frozenset()
    assert tight_pools([route("a", 0.5, "p")], POOLS) == frozenset(), (
        "a single stage makes no route tight"
    )


def test_routes_without_stages_or_goal_and_unknown_pools_share_no_pool():
    routes = [route("a", 0.0, "p", "q"), route("b", 0.2), route("c", 1.0, "none", "none")]
    assert shared_pools(routes, POOLS) == frozenset()
