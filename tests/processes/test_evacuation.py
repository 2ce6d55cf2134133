"""An evacuated data centre gets no new work until it is restored, also after a leader change."""

import json

from tests.support.cluster import Cluster, wait_until

PLACE = "queretaro-a"
POOLS = ("nomina-encoders", "nomina-retrievers", "nomina-rerankers", "asistente-nomina")


def count_runs_in(cluster, data_centre):
    """Return how many runs the targets of a data centre have recorded."""
    rows = cluster.documents["targets"]
    names = [r["name"] for r in rows if r["data_centre"] == data_centre and r["pool"] in POOLS]
    return sum(len(cluster.records(name)["runs"]) for name in names)


def ask_all_gateways(cluster, times):
    for turn in range(times):
        status, _, problem = cluster.ask("payroll-question", "hoteles-centro", gateway=turn % 3)
        assert status == 200, problem


def test_evacuated_data_centre_gets_no_new_work_until_it_is_restored():
    with Cluster("nomina") as cluster:
        code, _, error = cluster.cli("evacuate", "nowhere")
        assert code == 5 and "unknown-data-centre" in error
        assert cluster.status()["evacuated"] == []

        code, output, error = cluster.cli("evacuate", PLACE, "--output", "json")
        assert code == 0, error
        document = json.loads(output)
        assert document["evacuated"] == [PLACE] and len(document["in_force"]) == 3
        code, output, _ = cluster.cli("evacuate", PLACE, "--output", "json")
        assert (code, json.loads(output)["changed"]) == (0, False)

        before = count_runs_in(cluster, PLACE)
        ask_all_gateways(cluster, 12)
        leader = cluster.leader()[0]
        cluster.controls[leader].kill()
        wait_until(lambda: cluster.leader() not in (None, [leader]), "another leader")
        [listed] = cluster.status()["evacuated"]
        assert listed["data_centre"] == PLACE
        ask_all_gateways(cluster, 12)
        assert count_runs_in(cluster, PLACE) == before

        code, _, error = cluster.cli("restore", PLACE)
        assert code == 0, error
        assert cluster.status()["evacuated"] == []
        ask_all_gateways(cluster, 24)
        assert count_runs_in(cluster, PLACE) > before
