"""One gateway and targets that name a rate limit for all gateways together.

The tests cover how the gateway reads the limit, obtains permits, sends requests and responds to
callers.
"""

import asyncio

import pytest

from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock, metrics
from traystall.passthrough.exceptions import TargetHeldBack
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.exchange.connection import ResponseHead, SentRequest, TargetConnection
from traystall.passthrough.stages.piece_queue import PieceQueue
from traystall.registry.models import TargetReport
from traystall.systems.permits import FIRST_LENDER_SHARE

PIECES = {"Traystall-Pieces": "2,1", "Traystall-Piece-Key": "pk"}
ROUTES = [
    ("plain", "/again/x", {}),
    ("plain", "/once/x", {}),
    ("engine", "/events/x", {"events": 3}),
]
WINDOW_SECONDS = 2.0


def max_requests(per_second):
    return 1.5 * per_second * WINDOW_SECONDS + 5


async def start_runners(pool, count, **options):
    return [await Runner(f"{pool}-{number}", **options).start() for number in range(count)]


async def send_load(gateway, path, seconds, headers=None, per_second=50):
    """Send requests at a constant rate; return the status and headers of the responses."""
    calls = []
    for _ in range(int(seconds * per_second)):
        calls.append(asyncio.create_task(gateway.call(path, **(headers or {}))))
        await asyncio.sleep(1 / per_second)
    return [(status, found) for status, found, _ in await asyncio.gather(*calls)]


@pytest.fixture(autouse=True)
def no_request_exceeds_the_limit():
    before = _sent_beyond_limit()
    yield
    assert _sent_beyond_limit() == before


def _sent_beyond_limit():
    return dict(metrics.sent_beyond_limit_total.values)


@pytest.mark.parametrize(("pool", "path", "options"), ROUTES)
def test_other_targets_serve_the_requests_beyond_a_rate_limit(pool, path, options):
    async def scenario():
        limited, idle = await start_runners(pool, 2, **options)
        limited.limit = "2"
        async with EmulatedGateway(table(), [(pool, limited)]) as gateway:
            await gateway.call(path)
            gateway.add(pool, idle)
            answers = await send_load(gateway, path, 3.0)
        assert 2 <= limited.most_within(WINDOW_SECONDS, 0.01) <= max_requests(2)
        assert {status for status, _ in answers} == {200}
        for runner in (limited, idle):
            await runner.stop()

    run(scenario())


@pytest.mark.parametrize(("pool", "path", "options"), ROUTES)
def test_requests_for_a_limited_pool_wait_or_are_refused_with_retry_after(pool, path, options):
    async def scenario():
        (limited,) = await start_runners(pool, 1, **options)
        limited.limit = "5"
        async with EmulatedGateway(table(), [(pool, limited)]) as gateway:
            await gateway.call(path)
            began = clock.monotonic()
            answers = await send_load(gateway, path, 3.0, per_second=20)
            assert clock.monotonic() - began < 4.5  # No request waits until its deadline.
        statuses = [status for status, _ in answers]
        assert statuses.count(200) >= 8
        refused = [float(found["Retry-After"]) for status, found in answers if status == 503]
        assert len(refused) + statuses.count(200) == len(statuses)
        assert refused
        assert 0.1 <= min(refused) <= max(refused) < 3.0
        # Retry-After is spread, so that the callers do not retry at the same time.
        assert len({round(seconds, 2) for seconds in refused}) > 3
        assert limited.most_within(WINDOW_SECONDS, 0.01) <= max_requests(5)
        await limited.stop()

    run(scenario())


def test_calls_releases_and_reports_share_one_rate_limit():
    async def scenario():
        workers = await start_runners("batches", 1, batch=4)
        (engine,) = await start_runners("engine", 1, events=3)
        workers[0].limit = "3"
        pools = [("batches", workers[0]), ("engine", engine)]
        async with EmulatedGateway(table(stages=STAGES, result_lifetime=4.0), pools) as gateway:
            answers = await send_load(gateway, "/staged/x", 4.0, PIECES, per_second=10)
        assert 200 in {status for status, _ in answers}
        assert workers[0].most_within(WINDOW_SECONDS, 0.3) <= max_requests(3)
        # A rate-limited worker gets fewer calls with larger batches.
        assert max(len(call) for call in workers[0].calls) > 2
        for runner in (*workers, engine):
            await runner.stop()

    run(scenario())


def test_full_load_resumes_after_responses_without_a_rate_limit():
    async def scenario():
        (limited,) = await start_runners("plain", 1)
        limited.limit = "1"
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            await gateway.call("/again/x")
            await send_load(gateway, "/again/x", 1.0)
            limited.limit = None
            await send_load(gateway, "/again/x", 2.5)
            answers = await send_load(gateway, "/again/x", 0.5)
        assert {status for status, _ in answers} == {200}
        await limited.stop()

    run(scenario())


def test_new_incarnation_has_no_rate_limit():
    async def scenario():
        (limited,) = await start_runners("plain", 1)
        limited.limit = "0.2"
        async with EmulatedGateway(table(), []) as gateway:
            board = gateway.context.board

            def report(started):
                life = TargetReport("plain-0", "plain", limited.address, "here", 4, started=started)
                board.merge(life, clock.monotonic())

            report(1000)
            for _ in range(3):
                await gateway.call("/again/x")
            limited.end()
            limited.limit = None
            await limited.start_again()
            report(2000)
            answers = await send_load(gateway, "/again/x", 0.5)
        assert {status for status, _ in answers} == {200}
        await limited.stop()

    run(scenario())


def test_reduced_rate_limit_applies_to_permits_granted_before():
    async def scenario():
        (limited,) = await start_runners("plain", 1)
        limited.limit = "50"
        limited.call_seconds = 0.05
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            await gateway.call("/again/x")
            load = asyncio.create_task(send_load(gateway, "/again/x", 3.0, per_second=100))
            await asyncio.sleep(1.0)
            limited.limit = "0.5"
            reduced_at = clock.monotonic()
            await load
        late = [at for at, _ in limited.arrivals if at > reduced_at + 0.2]
        assert len(late) <= 3
        await limited.stop()

    run(scenario())


def test_backoff_and_rate_limit_apply_together():
    async def scenario():
        (limited,) = await start_runners("plain", 1)
        limited.limit = "5"
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            await gateway.call("/again/x")
            limited.rests.append("1.5")
            await send_load(gateway, "/again/x", 3.0)
        assert limited.reached_within(0.1, 1.5) == []
        assert limited.reached_within(1.5, 3.0)
        assert limited.most_within(WINDOW_SECONDS, 0.01) <= max_requests(5)
        await limited.stop()

    run(scenario())


def test_rate_limit_that_arrives_during_connect_is_respected():
    async def scenario():
        (limited,) = await start_runners("plain", 1)
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            view = gateway.context.board.view("plain-0")
            async with Attempt(view, gateway.names, None) as attempt:
                await attempt.open(float("inf"))
                view.limit.name(1.0, clock.monotonic(), "r", clock.monotonic())
                with pytest.raises(TargetHeldBack):
                    attempt.send(b"")
        assert limited.arrivals == []
        await limited.stop()

    run(scenario())


def test_permit_of_an_unsent_attempt_is_returned():
    async def scenario():
        (limited,) = await start_runners("plain", 1)
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            view = gateway.context.board.view("plain-0")
            view.limit.name(1.0, clock.monotonic(), "r", clock.monotonic())
            async with Attempt(view, gateway.names, None) as attempt:
                await attempt.open(float("inf"), patience=2.0)
            waiting = Attempt(view, gateway.names, None)
            async with waiting:
                opening = asyncio.create_task(waiting.open(float("inf"), patience=3.0))
                await asyncio.sleep(0.05)
                opening.cancel()
                await asyncio.gather(opening, return_exceptions=True)
            assert gateway.context.permits.granted_count(view.report.life) == 1
        await limited.stop()

    run(scenario())


def test_held_back_request_uses_no_attempt_and_records_no_failure():
    async def scenario():
        limited, idle = await start_runners("plain", 2)
        async with EmulatedGateway(table(max_attempts=1), [("plain", limited)]) as gateway:
            limited.limit = "0.1"
            await gateway.call("/once/x")
            gateway.add("plain", idle)
            view = gateway.context.board.view("plain-0")
            answers = await send_load(gateway, "/once/x", 0.5)
            assert {status for status, _ in answers} == {200}
            assert (view.failures, view.avoid_until) == (0, float("-inf"))
        for runner in (limited, idle):
            await runner.stop()

    run(scenario())


def test_no_permit_is_requested_while_no_target_names_a_limit(monkeypatch):
    async def scenario():
        (target,) = await start_runners("plain", 1)
        async with EmulatedGateway(table(), [("plain", target)]) as gateway:
            monkeypatch.setattr(gateway.context.permits, "take", None)
            answers = await send_load(gateway, "/again/x", 0.3)
            assert {status for status, _ in answers} == {200}
            assert gateway.context.permits.limits() == {}
        await target.stop()

    run(scenario())


def observe(
    gateway, status=200, limit=None, sent_at=0.0, is_work=True, response_id="r", request_id="r"
):
    """Let the gateway process a response head of plain-0; return the rate limit it then knows."""
    view = gateway.context.board.view("plain-0")
    connection = TargetConnection()
    connection.sent_request = SentRequest(sent_at, request_id, is_work, True)
    names = gateway.names
    headers = [(names.request_id.encode(), response_id.encode())] if response_id else []
    headers += [(names.limit.encode(), limit.encode())] if limit else []
    gateway.context.notices.on_response_head(view, connection, ResponseHead(status, headers))
    return view.limit.per_second


def test_which_responses_end_a_rate_limit():
    async def scenario():
        (target,) = await start_runners("plain", 1)
        async with EmulatedGateway(table(), [("plain", target)]) as gateway:
            assert observe(gateway, limit="2", sent_at=10.0) == 2.0
            assert observe(gateway, sent_at=9.0) == 2.0  # A late response to an older request.
            assert observe(gateway, sent_at=11.0, is_work=False) == 2.0
            assert observe(gateway, sent_at=11.0, status=500) == 2.0
            assert observe(gateway, sent_at=11.0, status=503) == 2.0
            assert observe(gateway, sent_at=11.0, status=421) == 2.0  # Another incarnation.
            assert observe(gateway, sent_at=11.0, response_id="another") == 2.0
            assert observe(gateway, sent_at=11.0, limit="x") == 2.0
            assert observe(gateway, sent_at=11.0) is None
            assert observe(gateway, sent_at=12.0, limit="3", status=503, is_work=False) == 3.0
        await target.stop()

    run(scenario())


def test_cell_waits_for_its_limited_workers_instead_of_calling_those_of_another():
    async def scenario():
        workers = await start_runners("batches", 4, batch=4)
        async with EmulatedGateway(table(stages=STAGES), []) as gateway:
            for number, worker in enumerate(workers):
                gateway.add("batches", worker, "here" if number < 2 else "there")
            assert list(gateway.context.cells().names()) == ["here", "there"]
            queue = PieceQueue(gateway.context, "batches", "here")
            now = clock.monotonic()
            for number in (0, 1):
                limit = gateway.context.board.view(f"batches-{number}").limit
                limit.name(1.0, now, "r", now)
                limit.closed_until = now + 60.0
            assert queue._usable() == []
            # They still run pieces, as many as their rate limits allow.
            assert queue.rate(now) == pytest.approx(2 * 4 * FIRST_LENDER_SHARE)
        for worker in workers:
            await worker.stop()

    run(scenario())
