"""A rolling version update on real processes keeps its fencing order when the leader is killed."""

from tests.support.cluster import Cluster, wait_until


def new_version(documents):
    documents["models"][0] |= {"version": "2", "replicas": 2}
    documents["order_policies"] = [{"name": "orders", "loads_per_minute": 6000, "order_timeout": 1}]
    documents["targets"][0]["fencing"] = False


def loaded_versions(cluster):
    """Return the model loaded_versions of each engine according to its last order."""
    held = []
    for name in cluster.pool("asistente-nomina"):
        orders = cluster.records(name)["orders"]
        held.append({m["version"] for m in orders[-1]["models"]} if orders else {"1"})
    return held


def test_version_update_continues_after_the_leader_is_killed():
    with Cluster("nomina") as cluster:
        assert cluster.cli("apply", cluster.write_bundle(2, new_version))[0] == 0
        pool = cluster.pool("asistente-nomina")
        wait_until(lambda: any(cluster.records(n)["orders"] for n in pool), "a first order")
        leader = cluster.leader()[0]
        cluster.controls[leader].kill()
        done = [{"2"}] * len(pool)
        wait_until(lambda: loaded_versions(cluster) == done, "the new version alone everywhere")
        for name in pool:
            tokens = [(o["term"], o["sequence"]) for o in cluster.records(name)["orders"]]
            assert tokens == sorted(set(tokens))
        assert cluster.ask("payroll-question", "hoteles-centro")[0] == 200
