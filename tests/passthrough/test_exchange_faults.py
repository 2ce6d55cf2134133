"""Faults of targets on each route: responses to callers are true, and no request runs twice."""

import asyncio

import aiohttp
import pytest

from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.emulator.runner import FAULTS, Runner

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Faults after which the request has certainly not run.
NOT_RUN = ("not run", "misdirected")
# Faults after which the gateway can't know whether the request has run.
IN_DOUBT = ("closed unread", "reset after reading")
GOOD = ("none", "answered twice", "unframed", "unframed slowly")


async def _send_request(path, faults, timeout=2.0, **options):
    first = await Runner("r-1", faults=faults).start()
    second = await Runner("r-2", faults=faults).start()
    try:
        routing = table(timeout=timeout, **options)
        async with EmulatedGateway(routing, [("plain", first), ("plain", second)]) as gateway:
            answer = await gateway.call(path)
        return answer, [*first.runs, *second.runs], [*first.rejected, *second.rejected]
    finally:
        await first.stop()
        await second.stop()


@pytest.mark.parametrize("fault", FAULTS)
def test_request_runs_at_most_once(fault):
    timeout = 0.4 if fault == "silent" else 2.0
    (status, _, body), runs, _ = run(_send_request("/once/x", [fault], timeout))
    # The second target has the same fault, so a retry there would show in its runs.
    assert len(runs) <= 1
    if runs:
        assert status not in NOT_RUN_STATUSES
    if status == 200:
        assert body == b"answer to hello"
        assert fault in GOOD
    if fault in GOOD:
        assert status == 200
    if fault in NOT_RUN:
        assert status == 503
    if fault in IN_DOUBT:
        assert status == 502


@pytest.mark.parametrize("fault", FAULTS)
def test_repeatable_request_stays_within_its_attempts(fault):
    timeout = 0.4 if fault == "silent" else 2.0
    (status, headers, body), runs, rejected = run(_send_request("/again/x", [fault], timeout))
    assert len(runs) + len(rejected) <= 2
    if status == 200:
        assert body == b"answer to hello"
        assert headers["Traystall-Signature"].startswith("signed by")
    if fault in GOOD:
        assert status == 200


@pytest.mark.parametrize("fault", [f for f in FAULTS if f not in ("none", "silent", *GOOD)])
def test_repeatable_request_is_served_by_the_other_target(fault):
    async def scenario():
        bad = await Runner("r-1", faults=[fault] * 50).start()
        good = await Runner("r-2").start()
        try:
            async with EmulatedGateway(table(), [("plain", bad), ("plain", good)]) as gateway:
                return [await gateway.call("/again/x") for _ in range(6)], bad, good
        finally:
            await bad.stop()
            await good.stop()

    answers, bad, good = run(scenario())
    assert [status for status, _, _ in answers] == [200] * 6
    assert all(body == b"answer to hello" for _, _, body in answers)
    assert len(good.runs) == 6


def test_error_response_of_a_target_is_passed_on_unchanged():
    (status, headers, body), runs, _ = run(_send_request("/once/x", ["failed"]))
    assert (status, body, len(runs)) == (500, b"it failed", 1)
    assert headers["Traystall-Signature"] == f"signed by {'r-1' if runs else ''}" or headers[
        "Traystall-Signature"
    ].startswith("signed by r-")


def test_surplus_response_is_not_taken_for_the_next_one():
    async def scenario():
        runner = await Runner(faults=["answered twice"] * 3).start()
        try:
            async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
                return [await gateway.call("/once/x", body=b"%d" % i) for i in range(5)]
        finally:
            await runner.stop()

    answers = run(scenario())
    assert [body for _, _, body in answers] == [b"answer to %d" % i for i in range(5)]


def test_request_is_forwarded_unchanged_except_for_gateway_headers():
    async def scenario():
        runner = await Runner().start()
        try:
            async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
                await gateway.call(
                    "/once/a%2Fb//c?x=%7e&y=1",
                    body=b"\x00\xff",
                    **{
                        "X-Own": "value",
                        "Traystall-Customer": "someone-else",
                        "Traystall-Inputs": "forged",
                        "Traystall-Deadline-Ms": "700",
                    },
                )
            return runner.runs
        finally:
            await runner.stop()

    (seen,) = run(scenario())
    assert seen["method"] == "POST"
    assert seen["body"] == b"\x00\xff"
    assert seen["headers"]["x-own"] == "value"
    assert seen["headers"]["traystall-customer"] == "ana"
    assert seen["headers"]["traystall-expected-incarnation"] == "r-1"
    assert 0 < int(seen["headers"]["traystall-deadline-ms"]) <= 700
    assert "authorization" not in seen["headers"]
    assert "traystall-inputs" not in seen["headers"]


def test_raw_path_and_query_are_kept():
    async def scenario():
        runner = await Runner().start()
        try:
            async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(
                    b"GET /once/a%2Fb//c%7e?x=%7e&y='1' HTTP/1.1\r\nHost: shop.example:80\r\n"
                    b"Traystall-Request-Id: q1\r\nAuthorization: Token key-1\r\n\r\n"
                )
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
            return head, runner.runs
        finally:
            await runner.stop()

    head, (seen,) = run(scenario())
    assert head.startswith(b"HTTP/1.1 200")
    assert seen["path"] == "/once/a%2Fb//c%7e?x=%7e&y='1'"
    assert "content-length" not in seen["headers"]


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/", "key-1", 404),
        ("/once/x", "unknown", 401),
        ("/once/x", "", 401),
        ("/open/x", "", 200),
        ("/open/x", "unknown", 200),
    ],
)
def test_routes_and_keys(path, key, status):
    async def scenario():
        runner = await Runner().start()
        try:
            async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
                return await gateway.call(path, key=key), runner.runs
        finally:
            await runner.stop()

    (found, _, _), runs = run(scenario())
    assert found == status
    assert len(runs) == (1 if status == 200 else 0)


def test_request_without_configuration_is_refused_with_retry_after():
    async def scenario():
        async with EmulatedGateway(table(number=0), []) as gateway:
            return await gateway.call()

    status, headers, _ = run(scenario())
    assert status == 503
    assert float(headers["Retry-After"]) > 0


def test_retry_budget_bounds_the_retries():
    from traystall.passthrough.admission.budget import RepeatBudgetRule

    async def scenario():
        runners = [await Runner(f"r-{i}", faults=["failed"] * 100).start() for i in range(2)]
        rule = RepeatBudgetRule(ratio=0.2, slack=0)
        try:
            pools = [("plain", runner) for runner in runners]
            async with EmulatedGateway(table(), pools, budget=rule) as gateway:
                for _ in range(20):
                    await gateway.call("/again/x")
            return sum(len(runner.runs) for runner in runners)
        finally:
            for runner in runners:
                await runner.stop()

    assert run(scenario()) <= 20 * 1.2


def test_disconnect_of_the_caller_cancels_the_work():
    async def scenario():
        runner = await Runner(events=500).start()
        runner.event_seconds = 0.01
        try:
            async with EmulatedGateway(table(), [("engine", runner)]) as gateway:
                with pytest.raises((TimeoutError, aiohttp.ClientError)):
                    async with asyncio.timeout(0.15):
                        await gateway.call("/events/x")
                for _ in range(100):
                    if runner.dropped:
                        break
                    await asyncio.sleep(0.02)
            return runner.dropped
        finally:
            await runner.stop()

    assert run(scenario()) == 1
