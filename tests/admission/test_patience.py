"""Which pools are shared by parts follows from aims and profiles in the configuration."""

from traystall.admission.pool_sharing import shared_pools, slack, tight_pools, uneven_pools
from traystall.routes.models import BatchProfile, Pool, Route, Split, StagePlan

# Calls of 0.4 s when they are full.
POOLS = {name: Pool(name, batches=BatchProfile(1, 2, 20, 0.2, 0.01)) for name in "pqr"}


def route(name, aim, *pools):
    stages = tuple(StagePlan(pool, (i - 1,) if i else ()) for i, pool in enumerate(pools))
    return Route(name, "h", f"/{name}/", (Split("engine"),), aim=aim, stages=stages)


def test_slack_is_what_the_longest_chain_leaves():
    assert slack(route("a", 1.5, "p", "q"), POOLS) == 0.7
    assert slack(route("b", 0.1, "p"), POOLS) > 0.0


def test_pools_of_kinds_with_very_different_patience():
    patient, quick = route("a", 2.0, "p", "q"), route("b", 0.7, "p")
    assert uneven_pools([patient, quick], POOLS) == {"p"}
    assert uneven_pools([patient, route("b", 0.9, "p")], POOLS) == frozenset()


def test_pools_of_chains_that_may_wait_little():
    assert tight_pools([route("a", 1.2, "p", "q")], POOLS) == {"p", "q"}
    assert tight_pools([route("a", 1.5, "p", "q")], POOLS) == frozenset()
    assert tight_pools([route("a", 0.5, "p")], POOLS) == frozenset(), "a single stage is no chain"


def test_routes_without_stages_or_aim_and_unknown_pools_share_nothing():
    routes = [route("a", 0.0, "p", "q"), route("b", 0.2), route("c", 1.0, "none", "none")]
    assert shared_pools(routes, POOLS) == frozenset()
