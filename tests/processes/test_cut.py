"""A data centre is partitioned silently: connections get no reset and no error."""

import pytest

from tests.support.cluster import Cluster, wait_until
from tests.support.relay import CuttingRelay

CONTROLS = ["control-1", "control-2", "control-3"]
GATEWAYS = ["gateway-1", "gateway-2", "gateway-3"]


@pytest.fixture
def relay():
    made = CuttingRelay()
    yield made
    made.close()


@pytest.fixture
def cluster(relay):
    with Cluster("nomina", relay=relay) as running:
        yield running


def others(name, names):
    return [other for other in names if other != name]


def gateway_numbers(cluster):
    status = cluster.status()
    return {g["instance"]: g["number"] for g in status["gateways"]} if status else {}


def change(documents):
    documents["customers"][0]["limits"] = {"rate": 500}


@pytest.mark.parametrize("gateways_too", [False, True], ids=["controls", "data-centre"])
def test_cut_leader_is_replaced_and_never_steps_back(cluster, relay, gateways_too):
    """The other data centres elect a leader and accept changes and stamps; then the cut heals."""
    position = cluster.leader()[0]
    name = CONTROLS[position]
    cut_from = others(name, CONTROLS)
    if gateways_too:
        # The gateway of this data centre reaches only the local control daemon.
        cut_from += others(GATEWAYS[position], GATEWAYS)
        for control in others(name, CONTROLS):
            relay.cut(GATEWAYS[position], [control])
    else:
        cut_from += GATEWAYS
    relay.cut(name, [*cut_from, "operator"])
    wait_until(lambda: cluster.leader() not in (None, [position]), "a leader among the others")
    code, _, error = cluster.cli("apply", cluster.write_bundle(2, change), "--nowait")
    assert code == 0, error
    reachable = others(GATEWAYS[position], GATEWAYS) if gateways_too else GATEWAYS
    wait_until(
        lambda: all(gateway_numbers(cluster).get(g) == 2 for g in reachable), "2 in force in reach"
    )
    outside = GATEWAYS.index(reachable[0])
    status, _, _ = cluster.ask("stamp-receipt", "maquiladora-bajio", None, outside, "key")
    assert status == 200
    if gateways_too:
        # The isolated gateway serves requests that need no majority and refuses the others
        # without running them.
        assert cluster.ask("payroll-question", "hoteles-centro", gateway=position)[0] == 200
        runs = len(cluster.runs("avisos-sat"))
        status, _, problem = cluster.ask(
            "stamp-receipt", "maquiladora-bajio", None, position, "other"
        )
        assert (status, problem["code"]) == (503, "ledger-unavailable")
        assert len(cluster.runs("avisos-sat")) == runs
    relay.heal()
    wait_until(
        lambda: all(gateway_numbers(cluster).get(g) == 2 for g in GATEWAYS), "2 in force everywhere"
    )
    status, _, answer = cluster.ask("stamp-receipt", "maquiladora-bajio", None, position, "key")
    assert (status, answer["replayed"]) == (200, True)
    assert [run["key"] for run in cluster.runs("avisos-sat")].count("key") == 1
