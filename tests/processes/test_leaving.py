"""Promises 5 and 6 on real processes: leaving targets, planned stops."""

import concurrent.futures
import http.server
import json
import signal
import threading

import pytest

from tests.support.cluster import Cluster, get, wait_until


class InstanceListServer:
    """An HTTP server for the platform's list of instances, which the test sets."""

    def __init__(self):
        self.instances = []
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                body = json.dumps({"instances": outer.instances}).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                """Suppress the request log."""

        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self._server.server_port}/instances"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()


@pytest.fixture(scope="module")
def platform():
    served = InstanceListServer()
    yield served
    served.close()


@pytest.fixture(scope="module")
def cluster(platform):
    flags = [f"--platform-list={platform.url}", "--drain-notice=0.5"]
    with Cluster("hive", gateway_flags=flags, seconds={"traystall-pool": 0.03}) as running:
        yield running


def is_leaving_at_every_gateway(cluster, target):
    """Return whether every live gateway has logged that the target is leaving."""
    return all(
        any(
            f'"target": "{target}", "leaving": true' in line
            for line in gateway.log().splitlines()
            if '"presence"' in line
        )
        for gateway in cluster.gateways
        if gateway.popen.poll() is None
    )


def send_concurrent_requests(cluster, count=24):
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futures = [
            pool.submit(cluster.ask, "quick-reading", "coop-hsinchu", None, n % 3)
            for n in range(count)
        ]
        return [future.result()[0] for future in futures]


@pytest.mark.parametrize("source", ["list", "target"])
def test_leaving_target_gets_no_new_work(cluster, platform, source):
    """One source reports leaving and the other still reports live: leaving takes precedence."""
    target = "scale-api-1" if source == "list" else "scale-api-2"
    platform.instances = [
        {"name": name, "state": "live", "incarnation": "1"} for name in cluster.targets
    ]
    if source == "list":
        platform.instances = [
            i | {"state": "leaving"} if i["name"] == target else i for i in platform.instances
        ]
    else:
        cluster.set_mode(target, leaving=True)
    wait_until(lambda: is_leaving_at_every_gateway(cluster, target), "the news at every gateway")
    before = len(cluster.records(target)["runs"])
    platform.instances = [i | {"state": "live"} for i in platform.instances]
    assert send_concurrent_requests(cluster) == [200] * 24
    assert len(cluster.records(target)["runs"]) == before


def test_planned_stop_of_a_gateway_cuts_nothing(cluster):
    """Long responses, plain and streamed, are in flight when the gateway receives SIGTERM."""
    stream = {"Accept": "text/event-stream"}

    def ask(number):
        if number % 2:
            return cluster.ask("nightly-report", "coop-taoyuan", {"input": f"n{number}"}, 1)
        return read_stream(cluster, 1, f"n{number}", stream)

    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        futures = [pool.submit(ask, number) for number in range(12)]
        wait_until(lambda: len(cluster.runs("traystall-pool")) >= 6, "work in flight")
        cluster.gateways[1].send(signal.SIGTERM)
        wait_until(lambda: get(cluster.gateway_addresses[1], "/readyz")[0] != 200, "draining")
        late = [pool.submit(ask, number) for number in range(20, 24)]
        answers = [future.result() for future in futures]
        late_answers = [future.result() for future in late]
    for number, (status, _, answer) in zip(range(12), answers, strict=True):
        assert status == 200
        assert answer["result"]["text"].startswith(f"n{number}:0 ")
        assert answer["result"]["tokens"] == 64
    # Until the load balancer notices, a new request is answered in full or not accepted.
    assert {status for status, _, _ in late_answers} <= {200, 0}
    assert cluster.gateways[1].popen.wait(60) == 0
    wait_until(
        lambda: all(g["instance"] != "gateway-2" for g in cluster.status()["gateways"]),
        "the stopped gateway to leave the directory",
    )


def read_stream(cluster, gateway, mark, headers):
    """Return (status, None, final event) of a streamed request."""
    import urllib.request

    request = urllib.request.Request(
        f"http://{cluster.gateway_addresses[gateway]}/v1/pipelines/nightly-report/requests",
        json.dumps({"input": mark}).encode(),
        headers | {"Traystall-Customer": "coop-taoyuan"},
    )
    try:
        with urllib.request.urlopen(request, timeout=60) as response:
            events = response.read().decode().strip().split("\n\n")
    except OSError:
        return 0, None, {}
    assert events[-1].startswith("event: final")
    return response.status, None, json.loads(events[-1].split("data: ")[1])
