"""What a target has asked for stands whatever else happens, and callers are told the truth."""

import asyncio
import logging

import msgspec
import pytest

from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock, metrics
from traystall.core.logs import DECISION_LOGGER
from traystall.passthrough.exceptions import NoAnswer, TargetHeldBack
from traystall.passthrough.exchange.attempt import Attempt
from traystall.registry.models import RegisteredState, TargetReport
from traystall.rpc.gen.wire.ttypes import PlaceReply
from traystall.tables.asked import FIRST_AFTER_REST

PIECES = {"Traystall-Pieces": "2,1", "Traystall-Piece-Key": "pk"}
# An answer that waits for nothing comes far sooner, in seconds: chosen.
AT_ONCE_SECONDS = 0.1


def play(story, pools, routes=None, **options):
    """Run `story(gateway, runners)` on a gateway over as many targets of each pool."""

    async def bounded():
        runners = [
            (pool, await Runner(f"{pool}-{number}", **options).start())
            for pool, count in pools.items()
            for number in range(count)
        ]
        async with EmulatedGateway(routes or table(), runners) as gateway:
            await story(gateway, [runner for _, runner in runners])
        for _, runner in runners:
            await runner.stop()

    run(bounded())


def rest(gateway, runner, seconds):
    view = gateway.context.board.view(runner.identity)
    view.asked.ask_rest(seconds, "r", clock.monotonic())
    return view


# ---- nothing else clears it ----


def failure_is_learned(gateway, runner, view):
    view.on_failure(clock.monotonic(), gateway.context.random)
    view.on_failure(clock.monotonic(), gateway.context.random)


def all_others_are_doubtful(gateway, runner, view):
    error = NoAnswer("silent", sent=True, silent=True)
    for other in gateway.context.board.pool("plain"):
        gateway.context.board.on_exchange_error(other, error, clock.monotonic())


def shorter_rest_is_asked(gateway, runner, view):
    view.asked.ask_rest(0.1, "later", clock.monotonic())


def configuration_changes(gateway, runner, view):
    gateway.context.follower.held.tables.index = gateway.context.index


def it_reports_again(gateway, runner, view):
    report = msgspec.structs.replace(view.report, sequence=view.report.sequence + 1)
    gateway.context.board.merge(report, clock.monotonic())


def stale_entry_says_ready(gateway, runner, view):
    report = msgspec.structs.replace(view.report, sequence=0, state=RegisteredState.READY)
    gateway.context.board.merge(report, clock.monotonic() - 10)


def evacuation_is_taken_back(gateway, runner, view):
    gateway.evacuate("here")
    gateway.evacuate()


def registry_is_lost(gateway, runner, view):
    gateway.context.registry.last_heard = lambda: clock.monotonic() + 1000.0


EVENTS = [
    failure_is_learned,
    all_others_are_doubtful,
    shorter_rest_is_asked,
    configuration_changes,
    it_reports_again,
    stale_entry_says_ready,
    evacuation_is_taken_back,
    registry_is_lost,
]


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("leaves", [False, True])
def test_what_was_asked_stands(event, leaves):
    async def story(gateway, runners):
        view = rest(gateway, runners[0], 30.0)
        if leaves:
            view.asked.lift()
            view.asked.leaves = True
            gateway.context.board.reindex()
        event(gateway, runners[0], view)
        for _ in range(20):
            await gateway.call("/again/x")
        assert runners[0].arrivals == []
        assert view not in gateway.context.usable("plain")

    play(story, {"plain": 2})


def started_again(gateway, runner, started):
    report = TargetReport(runner.identity, "plain", runner.address, "here", started=started)
    gateway.context.board.merge(report, clock.monotonic())
    return gateway.context.board.view(runner.identity)


def test_new_life_is_free_of_what_the_one_before_has_asked():
    async def story(gateway, runners):
        started_again(gateway, runners[0], 1000)
        runners[0].rests.append("30")
        runners[0].leaves = True
        assert (await gateway.call())[0] == 503
        runners[0].end()
        runners[0].leaves = False
        await runners[0].start_again()
        await asyncio.sleep(0.05)
        again = started_again(gateway, runners[0], 2000)
        assert again.asked.may_get_work(clock.monotonic())
        assert (await gateway.call())[0] == 200

    play(story, {"plain": 1})


def test_rest_that_a_new_life_asked_before_it_was_known_stands():
    """The connection on which it asked is open: it can't be of the life that has ended."""

    async def story(gateway, runners):
        started_again(gateway, runners[0], 1000)
        runners[0].rests.append("30")
        assert (await gateway.call())[0] == 503
        again = started_again(gateway, runners[0], 2000)
        assert again.asked.rests(clock.monotonic() + 29)

    play(story, {"plain": 1})


# ---- on its way ----


def test_request_that_waited_for_its_connection_is_held_back():
    async def story(gateway, runners):
        view = gateway.context.board.view(runners[0].identity)
        async with Attempt(view, gateway.names, "r-1") as attempt:
            await attempt.open(float("inf"))
            rest(gateway, runners[0], 5.0)
            with pytest.raises(TargetHeldBack):
                attempt.send(b"GET / HTTP/1.1\r\n\r\n")
        async with Attempt(view, gateway.names, "r-2") as attempt:
            with pytest.raises(TargetHeldBack):
                await attempt.open(float("inf"))
        await asyncio.sleep(0.05)
        assert (runners[0].arrivals, runners[0].connections) == ([], 1)
        view.asked.lift()
        assert (await gateway.call())[0] == 200
        assert runners[0].connections == 1  # The connection was kept.

    play(story, {"plain": 1})


def test_burst_on_open_connections_keeps_to_a_rest():
    """Forty connections are open and busy when the target asks for rest."""

    async def story(gateway, runners):
        resting = runners[0]
        resting.call_seconds = 0.1
        await asyncio.gather(*(gateway.call() for _ in range(40)))
        resting.rests.append("1.5")
        while not resting.asked_at or clock.monotonic() < resting.asked_at[0] + 1.4:
            await asyncio.gather(*(gateway.call() for _ in range(40)))
        assert resting.reached_within(0.1, 1.5) == []
        with pytest.raises(KeyError):  # Nothing was counted.
            metrics.sent_in_rest_total.get({"pool": "plain"})

    play(story, {"plain": 2})


def test_what_passes_by_the_decision_is_counted():
    async def story(gateway, runners):
        view = rest(gateway, runners[0], 5.0)
        connection = await view.connections.acquire()
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        view.connections.discard(connection)
        assert metrics.sent_in_rest_total.get({"pool": "batches"}) == 1

    play(story, {"batches": 1})


def test_attempt_that_was_held_back_costs_nothing():
    """It goes elsewhere without an attempt, a repeat, or a doubt about the target."""

    async def story(gateway, runners):
        gateway.context.budget("plain").take = lambda *_: pytest.fail("a repeat was taken")
        chosen = gateway.context.board.view(runners[0].identity)
        other = gateway.context.board.view(runners[1].identity)
        other.running = 50  # So that the first one is chosen.
        acquire = chosen.connections.acquire

        async def slow(max_idle_seconds):
            found = await acquire(max_idle_seconds)
            rest(gateway, runners[0], 5.0)
            return found

        chosen.connections.acquire = slow
        assert (await gateway.call())[0] == 200
        assert (len(runners[0].arrivals), len(runners[1].arrivals)) == (0, 1)
        assert (chosen.failures, chosen.avoid_until) == (0, float("-inf"))

    play(story, {"plain": 2}, table(max_attempts=1))


def test_pieces_that_were_held_back_wait_on():
    async def story(gateway, runners):
        assert (await gateway.call("/staged/x", **PIECES))[0] == 200  # Its room is known now.
        view = gateway.context.board.view(runners[0].identity)
        acquire = view.connections.acquire

        async def slow(max_idle_seconds):
            view.connections.acquire = acquire
            found = await acquire(max_idle_seconds)
            rest(gateway, runners[0], 0.3)
            return found

        view.connections.acquire = slow
        gateway.context.may_repeat_batched = lambda *_: pytest.fail("a repeat was taken")
        began = clock.monotonic()
        assert (await gateway.call("/staged/x", **PIECES))[0] == 200
        assert 0.3 <= clock.monotonic() - began < 0.8
        assert (view.failures, view.avoid_until) == (0, float("-inf"))

    play(story, {"batches": 1, "engine": 1}, table(stages=STAGES), events=2)


def test_word_in_an_answer_that_nobody_waits_for_is_heard():
    async def story(gateway, runners):
        view = gateway.context.board.view(runners[0].identity)
        async with Attempt(view, gateway.names, "r-1") as attempt:
            await attempt.open(float("inf"))
            runners[0].rests.append("3")
            attempt.send(b"GET /x HTTP/1.1\r\n\r\n")
            await asyncio.sleep(0.1)
        assert view.asked.rests(clock.monotonic() + 2.5)

    play(story, {"plain": 1})


def rests(gateway, runner):
    rest(gateway, runner, 5.0)


def says_that_it_leaves(gateway, runner):
    gateway.context.board.view(runner.identity).asked.leaves = True


def reports_that_it_leaves(gateway, runner):
    report = gateway.context.board.view(runner.identity).report
    draining = msgspec.structs.replace(report, state=RegisteredState.DRAINING, sequence=9)
    gateway.context.board.merge(draining, clock.monotonic())


@pytest.mark.parametrize("asks", [rests, says_that_it_leaves, reports_that_it_leaves])
def test_placing_by_another_gateway_that_does_not_know_brings_nothing_back(asks):
    class Link:
        excluded = ()

        async def call(self, request, seconds):
            self.excluded = request.excluded
            return PlaceReply(identity="engine-0")

    class Owner:
        identity = "other"
        rpc_address = "127.0.0.1:1"

    async def story(gateway, runners):
        asks(gateway, runners[0])
        link = Link()
        gateway.context.owners.owner = lambda key: Owner
        gateway.context.placing._links.link = lambda address: link
        gateway.context.placing._tell = lambda passed, what: None
        for _ in range(5):
            assert (await gateway.call("/events/x"))[0] == 200
        assert link.excluded == ["engine-0"]
        assert runners[0].arrivals == []

    play(story, {"engine": 2}, events=2)


# ---- results of pieces ----


def free(gateway, runner):
    handle = f"{runner.address}/x"
    runner.held[handle] = {}
    gateway.context.batcher.free("batches", [handle])


def test_results_are_given_up_after_the_rest_of_their_worker():
    async def story(gateway, runners):
        rest(gateway, runners[0], 0.6)
        free(gateway, runners[0])
        await asyncio.sleep(0.5)
        assert runners[0].arrivals == []
        await asyncio.sleep(0.4)
        assert runners[0].held == {}

    play(story, {"batches": 1})


def test_results_that_their_worker_drops_in_its_rest_are_not_given_up():
    async def story(gateway, runners):
        view = rest(gateway, runners[0], 0.6)
        free(gateway, runners[0])
        await asyncio.sleep(0.7)
        assert not view.asked.rests(clock.monotonic())
        assert runners[0].arrivals == []

    play(story, {"batches": 1}, table(result_lifetime=0.3))


# ---- what callers are told ----


@pytest.mark.parametrize("path", ["/once/x", "/again/x", "/events/x", "/staged/x"])
def test_callers_of_a_pool_that_rests_as_a_whole_are_told_at_once_when_to_come_back(path):
    async def story(gateway, runners):
        workers = [runner for runner in runners if "batches" in runner.identity]
        for number, runner in enumerate(runners):
            if runner not in workers:
                rest(gateway, runner, 3.0 + number)
        began = clock.monotonic()
        status, headers, body = await gateway.call(path, **PIECES)
        assert clock.monotonic() - began < AT_ONCE_SECONDS
        assert (status, body) == (503, b"resting\n")
        soonest = min(3.0 + n for n, runner in enumerate(runners) if runner not in workers)
        assert soonest - 0.1 <= float(headers["Retry-After"]) <= soonest + 1.0
        assert all(runner.arrivals == [] for runner in workers)  # Its stages were not begun.

    pools = {"batches": 1, "engine": 2} if path.startswith(("/events", "/staged")) else {"plain": 2}
    play(story, pools, table(stages=STAGES), events=2)


def test_first_answer_that_asks_for_rest_is_told_to_its_caller():
    async def story(gateway, runners):
        runners[0].rests.append("3")
        status, headers, _ = await gateway.call()
        assert status == 503
        assert 2.9 <= float(headers["Retry-After"]) <= 4.0

    play(story, {"plain": 1})


def test_caller_waits_for_a_rest_that_is_nearly_over():
    async def story(gateway, runners):
        rest(gateway, runners[0], 0.1)
        assert (await gateway.call())[0] == 200

    play(story, {"plain": 1})


def test_nobody_waits_for_pieces_whose_workers_rest_until_it_is_too_late():
    async def story(gateway, runners):
        worker = runners[0]
        # The first stage is made; then it asks for a rest beyond the deadline.
        worker.call_seconds = 0.2
        call = asyncio.create_task(gateway.call("/staged/x", **PIECES))
        await asyncio.sleep(0.1)
        rest(gateway, worker, 8.0)
        began = clock.monotonic()
        status, headers, _ = await call
        assert clock.monotonic() - began < 0.5
        assert status == 503
        assert 7.0 <= float(headers["Retry-After"]) <= 9.0

    play(story, {"batches": 1, "engine": 1}, table(stages=STAGES, timeout=2.0), events=2)


def test_pool_of_workers_that_rests_admits_nobody():
    async def story(gateway, runners):
        rest(gateway, runners[0], 3.0)
        began = clock.monotonic()
        status, headers, _ = await gateway.call("/staged/x", **PIECES)
        assert clock.monotonic() - began < AT_ONCE_SECONDS
        assert status == 503
        assert 2.7 <= float(headers["Retry-After"]) <= 4.0
        assert gateway.context.batcher._queue("", "batches").rate(clock.monotonic()) == 0

    play(story, {"batches": 1, "engine": 1}, table(stages=STAGES), events=2)


def test_few_are_sent_first_after_a_rest():
    async def story(gateway, runners):
        runners[0].call_seconds = 0.3
        rest(gateway, runners[0], 0.1)
        calls = [asyncio.create_task(gateway.call()) for _ in range(20)]
        await asyncio.sleep(0.3)
        assert len(runners[0].arrivals) == FIRST_AFTER_REST
        await asyncio.gather(*calls)
        assert (await gateway.call())[0] == 200

    play(story, {"plain": 1})


def test_pool_whose_targets_all_leave_refuses_at_once():
    async def story(gateway, runners):
        for runner in runners:
            runner.leaves = True
        for _ in runners:
            assert (await gateway.call())[0] == 200
        began = clock.monotonic()
        status, headers, _ = await gateway.call()
        assert clock.monotonic() - began < AT_ONCE_SECONDS
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert sum(len(runner.arrivals) for runner in runners) == len(runners)

    play(story, {"plain": 2})


# ---- with what landed before ----


def test_target_that_said_that_it_leaves_and_ends_blames_nobody():
    async def story(gateway, runners):
        runners[0].leaves = True
        runners[0].event_seconds = 0.3
        call = asyncio.create_task(gateway.call("/events/x"))
        await asyncio.sleep(0.2)
        assert not gateway.context.board.view(runners[0].identity).is_ready
        runners[0].end()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.4)
        assert len(gateway.leader.table) == 0

    play(story, {"engine": 1}, events=5)


# ---- sight ----


def test_rests_and_leaves_are_logged_and_counted(caplog):
    caplog.set_level(logging.INFO, DECISION_LOGGER)

    async def story(gateway, runners):
        runners[0].rests.append("0.3")
        await gateway.call(request_id="r-asked")
        await gateway.call()
        gateway.context.asking.review(gateway.context.board.views())
        assert metrics.resting_targets.get({}) == 1
        await asyncio.sleep(0.4)
        gateway.context.asking.review(gateway.context.board.views())
        assert metrics.resting_targets.get({}) == 0
        runners[0].leaves = True
        await gateway.call(request_id="r-left")
        await gateway.call()
        gateway.context.asking.review(gateway.context.board.views())
        assert metrics.leaving_targets.get({}) == 1
        assert gateway.context.board.pool("plain") == []

    play(story, {"plain": 1})
    lines = {r.getMessage(): r for r in caplog.records if r.getMessage().startswith("target-")}
    assert set(lines) == {"target-rests", "target-rested", "target-leaves"}
    found = lines["target-rests"]
    assert (found.target, found.seconds, found.value, found.request) == (
        "plain-0",
        0.3,
        "0.3",
        "r-asked",
    )
    assert lines["target-leaves"].request == "r-left"


def test_word_of_another_life_at_the_address_is_not_the_targets():
    async def story(gateway, runners):
        runners[0].leaves = True
        runners[0].identity = "another"
        view = gateway.context.board.view("plain-0")
        assert (await gateway.call())[0] == 503
        assert view.is_misplaced and not view.asked.leaves

    play(story, {"plain": 1})
