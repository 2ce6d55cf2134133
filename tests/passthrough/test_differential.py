"""Without faults the gateway behaves as a plain relay, both to the target and to the caller."""

import random

import aiohttp
import pytest
from yarl import URL

from tests.support.emulator.gateway import HOST, KEY, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner

# Headers that the gateway adds or that a client library sets by itself.
_IGNORED_HEADERS = {
    "traystall-customer",
    "traystall-expected-incarnation",
    "traystall-deadline-ms",
    "authorization",
    "content-length",
    "accept",
    "accept-encoding",
    "user-agent",
    "content-type",
    "host",
}


def _request(rng, number):
    """Return method, path, headers and body of one request."""
    method = rng.choice(["POST", "PUT", "PATCH", "DELETE", "GET"])
    path = "/again/" + "/".join(rng.choice(["a", "%2F", "~b", ""]) for _ in range(rng.randrange(4)))
    query = rng.choice(["", "?", "?x=%7E&y", "?a=b&a=c+d"])
    body = b"" if method in ("GET", "DELETE") else rng.randbytes(rng.choice([0, 1, 700, 70_000]))
    headers = {f"X-Own-{n}": rng.choice(["v", "a, b", "=?;"]) for n in range(rng.randrange(4))}
    headers["Traystall-Request-Id"] = f"q{number}"
    return method, path + query, headers, body


async def _send(session, address, request, **extra):
    method, path, headers, body = request
    url = URL(f"http://{address}{path}", encoded=True)
    sent = {"Host": HOST, **headers, **extra}
    async with session.request(method, url, data=body or None, headers=sent) as response:
        signature = response.headers["Traystall-Signature"]
        return response.status, signature, await response.read()


def _seen(request):
    kept = [(n, v) for n, v in request["raw"] if n.lower() not in _IGNORED_HEADERS]
    return request["method"], request["path"], sorted(kept), request["body"]


@pytest.mark.parametrize("seed", range(4))
def test_gateway_without_faults_equals_a_plain_relay(seed):
    async def scenario():
        rng = random.Random(seed)
        runner = await Runner().start()
        requests = [_request(rng, number) for number in range(25)]
        try:
            async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
                address = f"127.0.0.1:{gateway.port}"
                key = {"Authorization": f"Token {KEY}"}
                via_gateway = [await _send(gateway.session, address, r, **key) for r in requests]
                seen_via_gateway = list(runner.runs)
                runner.runs.clear()
                async with aiohttp.ClientSession(auto_decompress=False) as session:
                    direct = [await _send(session, runner.address, r) for r in requests]
                return via_gateway, direct, seen_via_gateway, runner.runs
        finally:
            await runner.stop()

    via_gateway, direct, seen_via_gateway, seen_direct = run(scenario())
    assert via_gateway == direct
    assert [_seen(r) for r in seen_via_gateway] == [_seen(r) for r in seen_direct]
