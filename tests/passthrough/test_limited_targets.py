"""One gateway and targets that name a limit: what is heard, asked, sent, and told to callers."""

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
from traystall.systems.permits import FIRST_PART

PIECES = {"Traystall-Pieces": "2,1", "Traystall-Piece-Key": "pk"}
KINDS = [
    ("plain", "/again/x", {}),
    ("plain", "/once/x", {}),
    ("engine", "/events/x", {"events": 3}),
]
SPAN_SECONDS = 2.0


def most(per_second):
    return 1.5 * per_second * SPAN_SECONDS + 5


async def start(pool, count, **options):
    return [await Runner(f"{pool}-{number}", **options).start() for number in range(count)]


async def press(gateway, path, seconds, headers=None, per_second=50):
    """Send requests at a steady pace for so long; return their answers' status and headers."""
    calls = []
    for _ in range(int(seconds * per_second)):
        calls.append(asyncio.create_task(gateway.call(path, **(headers or {}))))
        await asyncio.sleep(1 / per_second)
    return [(status, found) for status, found, _ in await asyncio.gather(*calls)]


@pytest.fixture(autouse=True)
def nothing_is_sent_beyond():
    before = _counted()
    yield
    assert _counted() == before


def _counted():
    return dict(metrics.sent_beyond_limit_total.values)


@pytest.mark.parametrize(("pool", "path", "options"), KINDS)
def test_others_serve_what_a_limited_target_does_not_take(pool, path, options):
    async def story():
        limited, idle = await start(pool, 2, **options)
        limited.limit = "2"
        async with EmulatedGateway(table(), [(pool, limited)]) as gateway:
            await gateway.call(path)
            gateway.add(pool, idle)
            answers = await press(gateway, path, 3.0)
        assert 2 <= limited.most_within(SPAN_SECONDS, 0.01) <= most(2)
        assert {status for status, _ in answers} == {200}
        for runner in (limited, idle):
            await runner.stop()

    run(story())


@pytest.mark.parametrize(("pool", "path", "options"), KINDS)
def test_callers_of_a_limited_pool_wait_in_order_or_are_told_when_to_come(pool, path, options):
    async def story():
        (limited,) = await start(pool, 1, **options)
        limited.limit = "5"
        async with EmulatedGateway(table(), [(pool, limited)]) as gateway:
            await gateway.call(path)
            began = clock.monotonic()
            answers = await press(gateway, path, 3.0, per_second=20)
            assert clock.monotonic() - began < 4.5  # Nobody is held to its deadline.
        statuses = [status for status, _ in answers]
        assert statuses.count(200) >= 8
        refused = [float(found["Retry-After"]) for status, found in answers if status == 503]
        assert len(refused) + statuses.count(200) == len(statuses)
        assert refused
        assert 0.1 <= min(refused) <= max(refused) < 3.0
        assert len({round(seconds, 2) for seconds in refused}) > 3  # They don't come back at once.
        assert limited.most_within(SPAN_SECONDS, 0.01) <= most(5)
        await limited.stop()

    run(story())


def test_calls_releases_and_reports_count_together():
    async def story():
        workers = await start("batches", 1, batch=4)
        (engine,) = await start("engine", 1, events=3)
        workers[0].limit = "3"
        pools = [("batches", workers[0]), ("engine", engine)]
        async with EmulatedGateway(table(stages=STAGES, result_lifetime=4.0), pools) as gateway:
            answers = await press(gateway, "/staged/x", 4.0, PIECES, per_second=10)
        assert 200 in {status for status, _ in answers}
        assert workers[0].most_within(SPAN_SECONDS, 0.3) <= most(3)
        # Where it takes few calls each is fuller.
        assert max(len(call) for call in workers[0].calls) > 2
        for runner in (*workers, engine):
            await runner.stop()

    run(story())


def test_all_comes_again_once_answers_name_no_limit():
    async def story():
        (limited,) = await start("plain", 1)
        limited.limit = "1"
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            await gateway.call("/again/x")
            await press(gateway, "/again/x", 1.0)
            limited.limit = None
            await press(gateway, "/again/x", 2.5)
            answers = await press(gateway, "/again/x", 0.5)
        assert {status for status, _ in answers} == {200}
        await limited.stop()

    run(story())


def test_new_life_is_free():
    async def story():
        (limited,) = await start("plain", 1)
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
            answers = await press(gateway, "/again/x", 0.5)
        assert {status for status, _ in answers} == {200}
        await limited.stop()

    run(story())


def test_limit_that_falls_holds_for_what_was_lent_before():
    async def story():
        (limited,) = await start("plain", 1)
        limited.limit = "50"
        limited.call_seconds = 0.05
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            await gateway.call("/again/x")
            pressing = asyncio.create_task(press(gateway, "/again/x", 3.0, per_second=100))
            await asyncio.sleep(1.0)
            limited.limit = "0.5"
            fell = clock.monotonic()
            await pressing
        late = [at for at, _ in limited.arrivals if at > fell + 0.2]
        assert len(late) <= 3
        await limited.stop()

    run(story())


def test_rest_and_limit_hold_together():
    async def story():
        (limited,) = await start("plain", 1)
        limited.limit = "5"
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            await gateway.call("/again/x")
            limited.rests.append("1.5")
            await press(gateway, "/again/x", 3.0)
        assert limited.reached_within(0.1, 1.5) == []
        assert limited.reached_within(1.5, 3.0)
        assert limited.most_within(SPAN_SECONDS, 0.01) <= most(5)
        await limited.stop()

    run(story())


def test_limit_that_comes_while_a_connection_comes_up_is_kept():
    async def story():
        (limited,) = await start("plain", 1)
        async with EmulatedGateway(table(), [("plain", limited)]) as gateway:
            view = gateway.context.board.view("plain-0")
            async with Attempt(view, gateway.names, None) as attempt:
                await attempt.open(float("inf"))
                view.limit.name(1.0, clock.monotonic(), "r", clock.monotonic())
                with pytest.raises(TargetHeldBack):
                    attempt.send(b"")
        assert limited.arrivals == []
        await limited.stop()

    run(story())


def test_permit_of_an_attempt_that_is_not_sent_is_given_back():
    async def story():
        (limited,) = await start("plain", 1)
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
            assert gateway.context.permits.lent(view.report.life) == 1
        await limited.stop()

    run(story())


def test_request_that_is_held_back_costs_no_attempt_and_no_failure():
    async def story():
        limited, idle = await start("plain", 2)
        async with EmulatedGateway(table(max_attempts=1), [("plain", limited)]) as gateway:
            limited.limit = "0.1"
            await gateway.call("/once/x")
            gateway.add("plain", idle)
            view = gateway.context.board.view("plain-0")
            answers = await press(gateway, "/once/x", 0.5)
            assert {status for status, _ in answers} == {200}
            assert (view.failures, view.avoid_until) == (0, float("-inf"))
        for runner in (limited, idle):
            await runner.stop()

    run(story())


def test_nothing_is_asked_of_a_lender_while_no_target_names_a_limit(monkeypatch):
    async def story():
        (target,) = await start("plain", 1)
        async with EmulatedGateway(table(), [("plain", target)]) as gateway:
            monkeypatch.setattr(gateway.context.permits, "take", None)
            answers = await press(gateway, "/again/x", 0.3)
            assert {status for status, _ in answers} == {200}
            assert gateway.context.permits.limits() == {}
        await target.stop()

    run(story())


def heard(gateway, status=200, limit=None, sent_at=0.0, is_work=True, answered="r", asked="r"):
    """Let a gateway hear the head of an answer of plain-0."""
    view = gateway.context.board.view("plain-0")
    connection = TargetConnection()
    connection.sent_request = SentRequest(sent_at, asked, is_work, True)
    names = gateway.names
    headers = [(names.request_id.encode(), answered.encode())] if answered else []
    headers += [(names.limit.encode(), limit.encode())] if limit else []
    gateway.context.asking.heard(view, connection, ResponseHead(status, headers))
    return view.limit.per_second


def test_what_ends_a_limit_and_what_does_not():
    async def story():
        (target,) = await start("plain", 1)
        async with EmulatedGateway(table(), [("plain", target)]) as gateway:
            assert heard(gateway, limit="2", sent_at=10.0) == 2.0
            assert heard(gateway, sent_at=9.0) == 2.0  # A slow answer to an older request.
            assert heard(gateway, sent_at=11.0, is_work=False) == 2.0
            assert heard(gateway, sent_at=11.0, status=500) == 2.0
            assert heard(gateway, sent_at=11.0, status=503) == 2.0
            assert heard(gateway, sent_at=11.0, status=421) == 2.0  # Another life.
            assert heard(gateway, sent_at=11.0, answered="another") == 2.0
            assert heard(gateway, sent_at=11.0, limit="x") == 2.0
            assert heard(gateway, sent_at=11.0) is None
            assert heard(gateway, sent_at=12.0, limit="3", status=503, is_work=False) == 3.0
        await target.stop()

    run(story())


def test_cell_waits_for_its_limited_workers_rather_than_call_those_of_another():
    async def story():
        workers = await start("batches", 4, batch=4)
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
            # They make pieces all the same, as many as their limits let them.
            assert queue.rate(now) == pytest.approx(2 * 4 * FIRST_PART)
        for worker in workers:
            await worker.stop()

    run(story())
