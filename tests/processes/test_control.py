"""Promises 3, 4 and 7 on real processes: kills, freezes, lost disks, concurrent operators."""

import asyncio
import concurrent.futures
import json
import shutil
import signal

import pytest

from tests.support.cluster import CLUSTER, Cluster, get, wait_until
from traystall.catalog.bundle import load_bundle
from traystall.cli.client import ControlClient, InDoubt, Unreachable
from traystall.rpc.gen.wire import ttypes


@pytest.fixture
def cluster():
    with Cluster("nomina", control_flags=["--snapshot-every=64"]) as running:
        yield running


def change_rate(rate):
    """Return a bundle edit that sets the rate limit of the second customer."""

    def change(documents):
        documents["customers"][1]["limits"] = {"rate": rate}

    return change


async def apply_many(cluster, numbers, operator, answers):
    """Apply a bundle with distinct content for each number; retry if the outcome is unknown."""
    base = load_bundle(cluster.bundle)
    client = ControlClient(cluster.control_addresses, CLUSTER, "", 20.0)
    try:
        for number in numbers:
            content = add_marked_customer(base, f"{operator}{number}")
            request = ttypes.ApplyRequest(
                number=number, digest=content[1], entities=content[0], operator=operator
            )
            reply = await send_until_answered(client, request)
            answers.append((number, operator, reply.outcome, reply.winner))
    finally:
        await client.close()


async def send_until_answered(client, request):
    """Send a change until a reply arrives; return the reply."""
    while True:
        try:
            return await client.call_leader(request)
        except (InDoubt, Unreachable):
            continue


def add_marked_customer(base, mark):
    """Return entities and digest of the bundle with one added customer."""
    from traystall.catalog.deltas import entities_digest
    from traystall.core.serialization import pack
    from traystall.tables.entities import Customer

    entities = dict(base.encoded)
    entities["customer/marked"] = pack(Customer(mark, ("queretaro-a",)))
    return entities, entities_digest(entities)


def is_in_force_everywhere(cluster, number):
    status = cluster.status()
    if status is None or status["number"] < number:
        return None
    numbers = [gateway["number"] for gateway in status["gateways"]]
    return len(numbers) == len(cluster.gateways) and min(numbers) >= number


def test_racing_operators_while_the_leader_dies(cluster):
    """Two operators race for 50 numbers while the leader is killed; each number has one winner."""
    answers = []
    numbers = range(2, 52)

    async def race():
        await asyncio.gather(
            apply_many(cluster, numbers, "ana", answers),
            apply_many(cluster, numbers, "bao", answers),
            kill_leader_midway(),
        )

    async def kill_leader_midway():
        while len(answers) < 30:
            await asyncio.sleep(0.01)
        leader = (await asyncio.to_thread(cluster.leader))[0]
        cluster.controls[leader].kill()
        cluster.controls[leader].start()

    asyncio.run(race())
    winners = {}
    for number, operator, outcome, winner in answers:
        if outcome == "accepted":
            assert winners.setdefault(number, operator) == operator
        else:
            assert winner != operator or outcome == "stale"
    for number, operator, outcome, _ in answers:
        assert outcome == "accepted" or winners.get(number) != operator
    newest = max(winners)
    wait_until(lambda: is_in_force_everywhere(cluster, newest), "the newest number in force")
    assert len(answers) == 100


def test_hundreds_of_changes_while_a_daemon_is_down(cluster):
    """300 changes are applied while a control daemon and a gateway are down; both catch up."""
    leader = cluster.leader()[0]
    follower = (leader + 1) % 3
    cluster.controls[follower].kill()
    cluster.gateways[follower].kill()
    answers = []
    asyncio.run(apply_many(cluster, range(2, 302), "ana", answers))
    assert all(outcome == "accepted" for _, _, outcome, _ in answers)
    cluster.controls[follower].start()
    cluster.gateways[follower].start()
    wait_until(lambda: is_in_force_everywhere(cluster, 301), "301 in force everywhere")
    wait_until(lambda: get(cluster.control_http[follower], "/readyz")[0] == 200, "the follower")
    # The restarted daemon must be able to lead with all changes applied.
    cluster.controls[leader].kill()
    wait_until(lambda: cluster.leader() not in (None, [leader]), "another leader")
    assert cluster.status()["number"] == 301


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "frozen"])
@pytest.mark.parametrize("victim", ["leader", "follower"])
def test_stampings_while_a_control_daemon_fails(cluster, victim, number):
    """Keyed stamp requests are retried until answered while a daemon is killed or frozen."""
    leader = cluster.leader()[0]
    position = leader if victim == "leader" else (leader + 1) % 3
    keys = [f"receipt-{n}" for n in range(30)]

    def stamp(key):
        """Retry one stamp request over the gateways in turn until it succeeds."""
        for attempt in range(40):
            gateway = (int(key[8:]) + attempt) % len(cluster.gateways)
            status, _, answer = cluster.ask(
                "stamp-receipt", "maquiladora-bajio", {"input": key}, gateway, key
            )
            if status == 200:
                return key, answer["result"]["echo"]
        return key, None

    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futures = [pool.submit(stamp, key) for key in keys]
        concurrent.futures.wait(futures[:6])
        cluster.controls[position].send(number)
        answers = dict(future.result() for future in futures)
    assert answers == {key: key for key in keys}
    runs = [run["key"] for run in cluster.runs("avisos-sat")]
    assert sorted(runs) == sorted(keys)
    if number == signal.SIGSTOP:
        cluster.controls[position].send(signal.SIGCONT)
        wait_until(cluster.leader, "a leader after the thaw")
        assert cluster.status()["number"] == 1


def test_gateway_killed_while_it_stamps(cluster):
    """A dead gateway's claim never runs again, and the status lists it as doubtful."""
    for name in cluster.pool("avisos-sat"):
        cluster.set_mode(name, factor=1000.0)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pool.submit(cluster.ask, "stamp-receipt", "maquiladora-bajio", None, 0, "key")
        wait_until(lambda: cluster.runs("avisos-sat"), "the stamping to run")
        cluster.gateways[0].kill()
    wait_until(lambda: cluster.status()["doubtful"], "the doubtful claim in the status")
    for gateway in (1, 2):
        status, headers, problem = cluster.ask(
            "stamp-receipt", "maquiladora-bajio", None, gateway, "key"
        )
        assert (status, problem["run"]) == (409, "may-have-run")
        assert headers["Retry-After"]
    assert len(cluster.runs("avisos-sat")) == 1


def test_answer_survives_the_gateway_that_gave_it(cluster):
    status, _, first = cluster.ask("stamp-receipt", "maquiladora-bajio", None, 0, "key")
    assert status == 200
    cluster.gateways[0].kill()
    status, _, again = cluster.ask("stamp-receipt", "maquiladora-bajio", None, 1, "key")
    assert status == 200
    assert (again["result"], again["replayed"]) == (first["result"], True)
    assert len(cluster.runs("avisos-sat")) == 1


def test_lost_disk_is_replaced_and_a_second_loss_survived(cluster):
    """A wiped voter rejoins as a new member; another voter is lost right after the repair."""
    cluster.ask("stamp-receipt", "maquiladora-bajio", None, 0, "key")
    leader = cluster.leader()[0]
    lost = (leader + 1) % 3
    members = {m["address"]: m["identity"] for m in cluster.status()["members"]}
    address = cluster.control_addresses[lost]
    cluster.controls[lost].kill()
    shutil.rmtree(cluster.folder / f"data-control-{lost + 1}")
    cluster.controls[lost].start()
    wait_until(lambda: get(cluster.control_http[lost], "/livez")[0] == 200, "the wiped daemon")
    code, output, error = cluster.cli(
        "members", "replace", members[address], address, "--output", "json"
    )
    assert code == 0, error
    after = {m["address"]: m for m in json.loads(output)["members"]}
    assert after[address]["voter"]
    assert after[address]["identity"] != members[address]
    assert len(after) == 3
    cluster.controls[leader].kill()
    wait_until(lambda: cluster.leader() not in (None, [leader]), "another leader")
    assert cluster.status()["number"] == 1
    assert cluster.cli("apply", cluster.write_bundle(2, change_rate(5)))[0] == 0
    gateway = next(n for n in range(3))
    status, _, answer = cluster.ask("stamp-receipt", "maquiladora-bajio", None, gateway, "key")
    assert (status, answer["replayed"]) == (200, True)


def test_serving_goes_on_without_any_control_daemon(cluster):
    for control in cluster.controls:
        control.kill()
    assert cluster.ask("payroll-question", "hoteles-centro")[0] == 200
    status, _, problem = cluster.ask("stamp-receipt", "hoteles-centro", None, 0, "key")
    assert (status, problem["code"]) == (503, "ledger-unavailable")
    assert cluster.runs("avisos-sat") == []
    # A restarted gateway gets the configuration from its peers.
    cluster.gateways[1].kill()
    cluster.gateways[1].start()
    wait_until(lambda: get(cluster.gateway_addresses[1], "/readyz")[0] == 200, "the restart")
    assert cluster.ask("payroll-question", "hoteles-centro", gateway=1)[0] == 200


def test_leader_hands_over_when_it_is_stopped(cluster):
    leader = cluster.leader()[0]
    assert cluster.controls[leader].stop() == 0
    wait_until(lambda: cluster.leader() not in (None, [leader]), "another leader")
