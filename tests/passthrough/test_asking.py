"""Notices of targets (backoff periods, shutdowns) stay in force, and callers get true responses.

A backoff period or an announced shutdown must not be undone by any other event, such as learned
failures, new reports, a new configuration or an evacuation.
"""

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
from traystall.tables.availability import MAX_IN_FLIGHT_AFTER_BACKOFF

PIECES = {"Traystall-Pieces": "2,1", "Traystall-Piece-Key": "pk"}
# Upper bound for a response that waits for nothing; it normally takes far less.
IMMEDIATE_SECONDS = 0.1


def run_scenario(scenario, pools, routes=None, **options):
    """Run `scenario(gateway, runners)`; `pools` gives the number of targets of each pool."""

    async def bounded():
        runners = [
            (pool, await Runner(f"{pool}-{number}", **options).start())
            for pool, count in pools.items()
            for number in range(count)
        ]
        async with EmulatedGateway(routes or table(), runners) as gateway:
            await scenario(gateway, [runner for _, runner in runners])
        for _, runner in runners:
            await runner.stop()

    run(bounded())


def start_backoff(gateway, runner, seconds):
    view = gateway.context.board.view(runner.identity)
    view.availability.request_backoff(seconds, "r", clock.monotonic())
    return view


# ---- events that must not clear a notice ----


def two_failures_are_recorded(gateway, runner, view):
    view.on_failure(clock.monotonic(), gateway.context.random)
    view.on_failure(clock.monotonic(), gateway.context.random)


def all_others_are_suspected(gateway, runner, view):
    error = NoAnswer("silent", sent=True, silent=True)
    for other in gateway.context.board.pool("plain"):
        gateway.context.board.on_exchange_error(other, error, clock.monotonic())


def shorter_backoff_is_requested(gateway, runner, view):
    view.availability.request_backoff(0.1, "later", clock.monotonic())


def configuration_is_replaced(gateway, runner, view):
    gateway.context.follower.held.tables.index = gateway.context.index


def target_reports_again(gateway, runner, view):
    report = msgspec.structs.replace(view.report, sequence=view.report.sequence + 1)
    gateway.context.board.merge(report, clock.monotonic())


def stale_report_says_ready(gateway, runner, view):
    report = msgspec.structs.replace(view.report, sequence=0, state=RegisteredState.READY)
    gateway.context.board.merge(report, clock.monotonic() - 10)


def evacuation_is_revoked(gateway, runner, view):
    gateway.evacuate("here")
    gateway.evacuate()


def registry_is_unreachable(gateway, runner, view):
    gateway.context.registry.last_reply_at = lambda: clock.monotonic() + 1000.0


EVENTS = [
    two_failures_are_recorded,
    all_others_are_suspected,
    shorter_backoff_is_requested,
    configuration_is_replaced,
    target_reports_again,
    stale_report_says_ready,
    evacuation_is_revoked,
    registry_is_unreachable,
]


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("leaves", [False, True])
def test_notice_stays_in_force(event, leaves):
    async def scenario(gateway, runners):
        view = start_backoff(gateway, runners[0], 30.0)
        if leaves:
            view.availability.lift()
            view.availability.leaves = True
            gateway.context.board.reindex()
        event(gateway, runners[0], view)
        for _ in range(20):
            await gateway.call("/again/x")
        assert runners[0].arrivals == []
        assert view not in gateway.context.usable("plain")

    run_scenario(scenario, {"plain": 2})


def report_restart(gateway, runner, started):
    report = TargetReport(runner.identity, "plain", runner.address, "here", started=started)
    gateway.context.board.merge(report, clock.monotonic())
    return gateway.context.board.view(runner.identity)


def test_new_incarnation_starts_without_the_notices_of_the_previous_one():
    async def scenario(gateway, runners):
        report_restart(gateway, runners[0], 1000)
        runners[0].rests.append("30")
        runners[0].leaves = True
        assert (await gateway.call())[0] == 503
        runners[0].end()
        runners[0].leaves = False
        await runners[0].start_again()
        await asyncio.sleep(0.05)
        again = report_restart(gateway, runners[0], 2000)
        assert again.availability.may_send_work(clock.monotonic())
        assert (await gateway.call())[0] == 200

    run_scenario(scenario, {"plain": 1})


def test_backoff_of_a_new_incarnation_survives_its_late_registration():
    """The notice arrived on a connection that is still open, so the new incarnation sent it."""

    async def scenario(gateway, runners):
        report_restart(gateway, runners[0], 1000)
        runners[0].rests.append("30")
        assert (await gateway.call())[0] == 503
        again = report_restart(gateway, runners[0], 2000)
        assert again.availability.is_backing_off(clock.monotonic() + 29)

    run_scenario(scenario, {"plain": 1})


# ---- requests in progress when the notice arrives ----


def test_backoff_that_begins_during_connect_holds_the_request_back():
    async def scenario(gateway, runners):
        view = gateway.context.board.view(runners[0].identity)
        async with Attempt(view, gateway.names, "r-1") as attempt:
            await attempt.open(float("inf"))
            start_backoff(gateway, runners[0], 5.0)
            with pytest.raises(TargetHeldBack):
                attempt.send(b"GET / HTTP/1.1\r\n\r\n")
        async with Attempt(view, gateway.names, "r-2") as attempt:
            with pytest.raises(TargetHeldBack):
                await attempt.open(float("inf"))
        await asyncio.sleep(0.05)
        assert (runners[0].arrivals, runners[0].connections) == ([], 1)
        view.availability.lift()
        assert (await gateway.call())[0] == 200
        assert runners[0].connections == 1  # The connection was kept.

    run_scenario(scenario, {"plain": 1})


def test_burst_on_open_connections_respects_a_backoff():
    """Forty connections are open and busy when the target asks for a backoff."""

    async def scenario(gateway, runners):
        backing_off = runners[0]
        backing_off.call_seconds = 0.1
        await asyncio.gather(*(gateway.call() for _ in range(40)))
        backing_off.rests.append("1.5")
        while not backing_off.asked_at or clock.monotonic() < backing_off.asked_at[0] + 1.4:
            await asyncio.gather(*(gateway.call() for _ in range(40)))
        assert backing_off.reached_within(0.1, 1.5) == []
        with pytest.raises(KeyError):  # Nothing was counted.
            metrics.sent_in_rest_total.get({"pool": "plain"})

    run_scenario(scenario, {"plain": 2})


def test_request_that_bypasses_the_check_is_counted():
    async def scenario(gateway, runners):
        view = start_backoff(gateway, runners[0], 5.0)
        connection = await view.connections.acquire()
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        view.connections.discard(connection)
        assert metrics.sent_in_rest_total.get({"pool": "batches"}) == 1

    run_scenario(scenario, {"batches": 1})


def test_held_back_attempt_uses_no_attempt_and_no_retry_budget():
    """The request goes to another target and no failure of the first one is recorded."""

    async def scenario(gateway, runners):
        gateway.context.budget("plain").take = lambda *_: pytest.fail("a repeat was taken")
        chosen = gateway.context.board.view(runners[0].identity)
        other = gateway.context.board.view(runners[1].identity)
        other.running = 50  # The first target is chosen.
        acquire = chosen.connections.acquire

        async def slow(max_idle_seconds):
            found = await acquire(max_idle_seconds)
            start_backoff(gateway, runners[0], 5.0)
            return found

        chosen.connections.acquire = slow
        assert (await gateway.call())[0] == 200
        assert (len(runners[0].arrivals), len(runners[1].arrivals)) == (0, 1)
        assert (chosen.failures, chosen.avoid_until) == (0, float("-inf"))

    run_scenario(scenario, {"plain": 2}, table(max_attempts=1))


def test_held_back_pieces_stay_queued():
    async def scenario(gateway, runners):
        # The first request makes the gateway learn the worker's free result memory.
        assert (await gateway.call("/staged/x", **PIECES))[0] == 200
        view = gateway.context.board.view(runners[0].identity)
        acquire = view.connections.acquire

        async def slow(max_idle_seconds):
            view.connections.acquire = acquire
            found = await acquire(max_idle_seconds)
            start_backoff(gateway, runners[0], 0.3)
            return found

        view.connections.acquire = slow
        gateway.context.consume_batched_repeat = lambda *_: pytest.fail("a repeat was taken")
        began = clock.monotonic()
        assert (await gateway.call("/staged/x", **PIECES))[0] == 200
        assert 0.3 <= clock.monotonic() - began < 0.8
        assert (view.failures, view.avoid_until) == (0, float("-inf"))

    run_scenario(scenario, {"batches": 1, "engine": 1}, table(stages=STAGES), events=2)


def test_notice_in_an_abandoned_response_is_processed():
    async def scenario(gateway, runners):
        view = gateway.context.board.view(runners[0].identity)
        async with Attempt(view, gateway.names, "r-1") as attempt:
            await attempt.open(float("inf"))
            runners[0].rests.append("3")
            attempt.send(b"GET /x HTTP/1.1\r\n\r\n")
            await asyncio.sleep(0.1)
        assert view.availability.is_backing_off(clock.monotonic() + 2.5)

    run_scenario(scenario, {"plain": 1})


def is_in_backoff(gateway, runner):
    start_backoff(gateway, runner, 5.0)


def announces_shutdown(gateway, runner):
    gateway.context.board.view(runner.identity).availability.leaves = True


def reports_draining(gateway, runner):
    report = gateway.context.board.view(runner.identity).report
    draining = msgspec.structs.replace(report, state=RegisteredState.DRAINING, sequence=9)
    gateway.context.board.merge(draining, clock.monotonic())


@pytest.mark.parametrize("notice", [is_in_backoff, announces_shutdown, reports_draining])
def test_stale_placement_by_another_gateway_is_not_used(notice):
    class Link:
        excluded = ()

        async def call(self, request, seconds):
            self.excluded = request.excluded
            return PlaceReply(identity="engine-0")

    class Owner:
        identity = "other"
        rpc_address = "127.0.0.1:1"

    async def scenario(gateway, runners):
        notice(gateway, runners[0])
        link = Link()
        gateway.context.owners.owner = lambda key: Owner
        gateway.context.placement_service._links.link = lambda address: link
        gateway.context.placement_service._tell = lambda passed, what: None
        for _ in range(5):
            assert (await gateway.call("/events/x"))[0] == 200
        assert link.excluded == ["engine-0"]
        assert runners[0].arrivals == []

    run_scenario(scenario, {"engine": 2}, events=2)


# ---- results of pieces ----


def free(gateway, runner):
    handle = f"{runner.address}/x"
    runner.held[handle] = {}
    gateway.context.batcher.free("batches", [handle])


def test_results_are_released_after_the_backoff_of_their_worker():
    async def scenario(gateway, runners):
        start_backoff(gateway, runners[0], 0.6)
        free(gateway, runners[0])
        await asyncio.sleep(0.5)
        assert runners[0].arrivals == []
        await asyncio.sleep(0.4)
        assert runners[0].held == {}

    run_scenario(scenario, {"batches": 1})


def test_results_that_expire_during_the_backoff_are_not_released():
    async def scenario(gateway, runners):
        view = start_backoff(gateway, runners[0], 0.6)
        free(gateway, runners[0])
        await asyncio.sleep(0.7)
        assert not view.availability.is_backing_off(clock.monotonic())
        assert runners[0].arrivals == []

    run_scenario(scenario, {"batches": 1}, table(result_lifetime=0.3))


# ---- responses to callers ----


@pytest.mark.parametrize("path", ["/once/x", "/again/x", "/events/x", "/staged/x"])
def test_pool_in_backoff_refuses_immediately_with_retry_after(path):
    async def scenario(gateway, runners):
        workers = [runner for runner in runners if "batches" in runner.identity]
        for number, runner in enumerate(runners):
            if runner not in workers:
                start_backoff(gateway, runner, 3.0 + number)
        began = clock.monotonic()
        status, headers, body = await gateway.call(path, **PIECES)
        assert clock.monotonic() - began < IMMEDIATE_SECONDS
        assert (status, body) == (503, b"resting\n")
        soonest = min(3.0 + n for n, runner in enumerate(runners) if runner not in workers)
        assert soonest - 0.1 <= float(headers["Retry-After"]) <= soonest + 1.0
        assert all(runner.arrivals == [] for runner in workers)  # No stage was started.

    pools = {"batches": 1, "engine": 2} if path.startswith(("/events", "/staged")) else {"plain": 2}
    run_scenario(scenario, pools, table(stages=STAGES), events=2)


def test_first_response_with_a_backoff_passes_its_retry_after_on():
    async def scenario(gateway, runners):
        runners[0].rests.append("3")
        status, headers, _ = await gateway.call()
        assert status == 503
        assert 2.9 <= float(headers["Retry-After"]) <= 4.0

    run_scenario(scenario, {"plain": 1})


def test_request_waits_for_a_backoff_that_is_almost_over():
    async def scenario(gateway, runners):
        start_backoff(gateway, runners[0], 0.1)
        assert (await gateway.call())[0] == 200

    run_scenario(scenario, {"plain": 1})


def test_request_fails_early_if_the_backoff_of_its_workers_exceeds_its_deadline():
    async def scenario(gateway, runners):
        worker = runners[0]
        # The worker runs the first stage, then asks for a backoff beyond the deadline.
        worker.call_seconds = 0.2
        call = asyncio.create_task(gateway.call("/staged/x", **PIECES))
        await asyncio.sleep(0.1)
        start_backoff(gateway, worker, 8.0)
        began = clock.monotonic()
        status, headers, _ = await call
        assert clock.monotonic() - began < 0.5
        assert status == 503
        assert 7.0 <= float(headers["Retry-After"]) <= 9.0

    run_scenario(scenario, {"batches": 1, "engine": 1}, table(stages=STAGES, timeout=2.0), events=2)


def test_pool_of_workers_in_backoff_admits_no_request():
    async def scenario(gateway, runners):
        start_backoff(gateway, runners[0], 3.0)
        began = clock.monotonic()
        status, headers, _ = await gateway.call("/staged/x", **PIECES)
        assert clock.monotonic() - began < IMMEDIATE_SECONDS
        assert status == 503
        assert 2.7 <= float(headers["Retry-After"]) <= 4.0
        assert gateway.context.batcher._queue("", "batches").rate(clock.monotonic()) == 0

    run_scenario(scenario, {"batches": 1, "engine": 1}, table(stages=STAGES), events=2)


def test_few_requests_are_sent_until_the_first_response_after_a_backoff():
    async def scenario(gateway, runners):
        runners[0].call_seconds = 0.3
        start_backoff(gateway, runners[0], 0.1)
        calls = [asyncio.create_task(gateway.call()) for _ in range(20)]
        await asyncio.sleep(0.3)
        assert len(runners[0].arrivals) == MAX_IN_FLIGHT_AFTER_BACKOFF
        await asyncio.gather(*calls)
        assert (await gateway.call())[0] == 200

    run_scenario(scenario, {"plain": 1})


def test_pool_whose_targets_all_shut_down_refuses_immediately():
    async def scenario(gateway, runners):
        for runner in runners:
            runner.leaves = True
        for _ in runners:
            assert (await gateway.call())[0] == 200
        began = clock.monotonic()
        status, headers, _ = await gateway.call()
        assert clock.monotonic() - began < IMMEDIATE_SECONDS
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert sum(len(runner.arrivals) for runner in runners) == len(runners)

    run_scenario(scenario, {"plain": 2})


# ---- interaction with the quarantine ----


def test_end_of_a_target_that_announced_its_shutdown_blames_no_request():
    async def scenario(gateway, runners):
        runners[0].leaves = True
        runners[0].event_seconds = 0.3
        call = asyncio.create_task(gateway.call("/events/x"))
        await asyncio.sleep(0.2)
        assert not gateway.context.board.view(runners[0].identity).is_ready
        runners[0].end()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.4)
        assert len(gateway.leader.table) == 0

    run_scenario(scenario, {"engine": 1}, events=5)


# ---- logs and metrics ----


def test_backoffs_and_shutdowns_are_logged_and_counted(caplog):
    caplog.set_level(logging.INFO, DECISION_LOGGER)

    async def scenario(gateway, runners):
        runners[0].rests.append("0.3")
        await gateway.call(request_id="r-asked")
        await gateway.call()
        gateway.context.notices.review(gateway.context.board.views())
        assert metrics.resting_targets.get({}) == 1
        await asyncio.sleep(0.4)
        gateway.context.notices.review(gateway.context.board.views())
        assert metrics.resting_targets.get({}) == 0
        runners[0].leaves = True
        await gateway.call(request_id="r-left")
        await gateway.call()
        gateway.context.notices.review(gateway.context.board.views())
        assert metrics.leaving_targets.get({}) == 1
        assert gateway.context.board.pool("plain") == []

    run_scenario(scenario, {"plain": 1})
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


def test_notice_of_another_incarnation_at_the_address_is_ignored():
    async def scenario(gateway, runners):
        runners[0].leaves = True
        runners[0].identity = "another"
        view = gateway.context.board.view("plain-0")
        assert (await gateway.call())[0] == 503
        assert view.is_replaced and not view.availability.leaves

    run_scenario(scenario, {"plain": 1})
