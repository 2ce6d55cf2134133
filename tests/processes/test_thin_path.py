"""End-to-end tests in separate processes: responses, refusals and single process failures."""

import json

import pytest

from tests.support.cluster import Cluster, get, post, wait_until

ONE_TARGET_OF_EACH_KIND = (
    "hive-encoder-1",
    "hive-retriever-1",
    "hive-reranker-1",
    "traystall-pool-1",
    "scale-api-1",
    "alert-push-1",
)


@pytest.fixture(scope="module")
def cluster():
    with Cluster("hive", solo=ONE_TARGET_OF_EACH_KIND) as running:
        yield running


def test_answer_is_whole_and_own(cluster):
    status, _, answer = cluster.ask("nightly-report", "coop-hsinchu", {"input": "colony 9"})
    assert status == 200
    assert answer["result"]["tokens"] == 64
    assert answer["result"]["text"].startswith("colony 9:0 colony 9:1 ")
    assert [stage["stage"] for stage in answer["stages"]] == [
        "encode",
        "retrieve",
        "rerank",
        "generate",
    ]


def test_stages_stay_in_the_customers_places(cluster):
    for gateway in range(3):
        for _ in range(5):
            status, _, answer = cluster.ask("quick-reading", "apiary-longan", gateway=gateway)
            assert status == 200
            places = {stage["data_centre"] for stage in answer["stages"]}
            assert places <= {"hall-zhubei", "hall-taoyuan"}


def test_transit_refuse_is_refused_outside(cluster):
    outside = cluster.places.index("hall-zhubei")
    status, headers, problem = cluster.ask("quick-reading", "research-farm", gateway=outside)
    assert (status, problem["code"], problem["run"]) == (421, "transit-refused", "not-run")
    assert int(headers["Retry-After"]) >= 1
    inside = cluster.places.index("hall-keelung")
    assert cluster.ask("quick-reading", "research-farm", gateway=inside)[0] == 200


BAD_REQUESTS = {
    "unknown pipeline": ({"pipeline": "no-such"}, 404, "unknown-pipeline"),
    "unknown customer": ({"customer": "no-such"}, 403, "unknown-customer"),
    "malformed JSON": ({"body": b"{"}, 400, "bad-json"),
    "JSON that is no object": ({"body": b"[1]"}, 400, "bad-json"),
    "bad deadline": ({"headers": {"Traystall-Deadline-Ms": "soon"}}, 400, "bad-deadline"),
    "deadline of zero": ({"headers": {"Traystall-Deadline-Ms": "0"}}, 400, "bad-deadline"),
    "not a number": ({"headers": {"Traystall-Deadline-Ms": "nan"}}, 400, "bad-deadline"),
    "unknown class": ({"headers": {"Traystall-Class": "vip"}}, 400, "bad-request"),
    "bad mark": ({"headers": {"Traystall-Not-Repeatable": "maybe"}}, 400, "bad-request"),
    "long key": ({"key": "k" * 201}, 400, "bad-key"),
    "oversized body": ({"body": {"input": "x" * 1_100_000}}, 413, "body-too-large"),
    "bad max_tokens": ({"body": {"max_tokens": -1}}, 400, "bad-request"),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_bad_input_gets_a_clear_problem(cluster, name):
    words, status, code = BAD_REQUESTS[name]
    words = {"pipeline": "quick-reading", "customer": "coop-hsinchu", **words}
    got, headers, problem = cluster.ask(**words)
    assert (got, problem["code"], problem["run"]) == (status, code, "not-run")
    assert headers["Content-Type"].startswith("application/problem+json")


def test_stream_ends_with_its_final_event(cluster):
    import urllib.request

    request = urllib.request.Request(
        f"http://{cluster.gateway_addresses[0]}/v1/pipelines/nightly-report/requests",
        json.dumps({"input": "stream", "max_tokens": 5}).encode(),
        {"Traystall-Customer": "coop-hsinchu", "Accept": "text/event-stream"},
    )
    with urllib.request.urlopen(request, timeout=30) as response:
        events = response.read().decode().strip().split("\n\n")
    names = [event.split("\n")[0] for event in events]
    assert names == ["event: token"] * 5 + ["event: final"]
    final = json.loads(events[-1].split("data: ")[1])
    assert (final["status"], final["count"]) == ("complete", 5)


def test_fake_engines_publish_cache_events_with_gaps(cluster):
    for number in range(40):
        cluster.ask("nightly-report", "coop-hsinchu", {"input": f"n{number}", "max_tokens": 1})
    sequences = [
        event["sequence"]
        for name in cluster.pool("traystall-pool")
        for event in json.loads(get(cluster.targets[name], "/v1/cache/events")[1])["events"]
    ]
    assert sequences
    assert all(sequence % 7 for sequence in sequences)


def test_explain_tells_where_stages_ran(cluster):
    _, _, answer = cluster.ask("quick-reading", "coop-hsinchu", gateway=1)
    code, output, _ = cluster.cli("explain", answer["request"], "--output", "json")
    assert code == 0
    assert [s["stage"] for s in json.loads(output)["stages"]] == ["weigh", "generate"]
    assert cluster.cli("explain", "no-such-request")[0] == 5


def test_client_exit_codes(cluster, tmp_path):
    assert cluster.cli("check", cluster.bundle)[0] == 0
    assert cluster.cli("check", str(tmp_path))[0] == 2
    assert cluster.cli("status", "--control", "127.0.0.1:1", "--seconds", "1")[0] == 1
    changed = cluster.write_bundle(1, lambda d: d["customers"].pop())
    code, _, error = cluster.cli("apply", changed)
    assert code == 3
    assert "holds number 1" in error
    gateway = cluster.gateway_addresses[0]
    words = ["request", "quick-reading", "--customer", "coop-hsinchu", "--gateway", gateway]
    assert cluster.cli(*words)[0] == 0
    assert cluster.cli("request", "no-such", *words[2:])[0] == 5
    assert cluster.cli("request", "quick-reading", *words[2:], "--body", "[]")[0] == 2


def test_costs_add_up_over_gateways(cluster):
    for gateway in range(3):
        cluster.ask("quick-reading", "coop-hsinchu", gateway=gateway)
    code, output, _ = cluster.cli("costs", "--by", "pipeline", "--output", "json")
    assert code == 0
    rows = {row["pipeline"]: row for row in json.loads(output)["costs"]}
    assert rows["quick-reading"]["busy_seconds"] > 0
    assert cluster.cli("costs", "--by", "colour")[0] == 2


def test_diff_names_what_changes(cluster):
    changed = cluster.write_bundle(2, lambda d: d["customers"].pop())
    code, output, _ = cluster.cli("diff", changed, "--output", "json")
    assert code == 0
    assert json.loads(output)["removed"] == ["customer/research-farm"]


def test_pages_of_each_daemon(cluster):
    for address in [*cluster.gateway_addresses, *cluster.control_http]:
        assert get(address, "/livez")[0] == 200
        assert get(address, "/readyz")[0] == 200
        assert "traystall_" in get(address, "/metrics")[1]


def test_no_payload_or_key_in_any_log(cluster):
    """Marked bodies and keys pass through responses and failures; no log contains the mark."""
    mark = "m4rk-7f3a"
    for target in ("hive-reranker-2", "alert-push-2", "traystall-pool-2"):
        cluster.set_mode(target, fail=500)
    for gateway in range(3):
        for pipeline in ("nightly-report", "swarm-warning", "no-such"):
            body = {"input": mark, "max_tokens": 2}
            cluster.ask(pipeline, "coop-hsinchu", body, gateway, f"{mark}-{gateway}")
        cluster.ask("quick-reading", "coop-hsinchu", f'{{"input": "{mark}'.encode(), gateway)
        cluster.ask("quick-reading", "apiary-longan", {"input": mark}, gateway)
    for target in ("hive-reranker-2", "alert-push-2", "traystall-pool-2"):
        cluster.set_mode(target)
    for process in [*cluster.gateways, *cluster.controls]:
        assert mark not in process.log()
    for address in cluster.gateway_addresses:
        assert mark not in get(address, "/metrics")[1]


def test_single_deaths_leave_requests_answered(cluster):
    """Kill one target of each kind, one control daemon (the leader) and one gateway in turn."""
    for name in ONE_TARGET_OF_EACH_KIND:
        cluster.fakes[name].kill()
        pipeline = "swarm-warning" if name.startswith("alert") else "nightly-report"
        pipeline = "quick-reading" if name.startswith("scale") else pipeline
        status, _, answer = cluster.ask(pipeline, "coop-hsinchu", gateway=0)
        assert status == 200, (name, answer)
    leader = cluster.leader()[0]
    cluster.controls[leader].kill()
    assert cluster.ask("quick-reading", "coop-hsinchu")[0] == 200
    wait_until(lambda: cluster.leader() not in (None, [leader]), "another leader")
    cluster.gateways[2].kill()
    assert cluster.ask("quick-reading", "coop-hsinchu", gateway=1)[0] == 200


def test_direct_post_without_headers_is_refused(cluster):
    status, _, problem = post(
        cluster.gateway_addresses[0], "/v1/pipelines/quick-reading/requests", {}
    )
    assert (status, problem["code"]) == (403, "unknown-customer")
