"""The guard of a gateway: its cost, what it stores, and decisions without the leader."""

import asyncio

import pytest

from tests.support.suspects import KEY, LocalLeader
from traystall.quarantine import guard as guard_module
from traystall.quarantine.digests import make_key, request_digest
from traystall.quarantine.ends import TargetIncarnation
from traystall.quarantine.guard import GuardedRun
from traystall.quarantine.wire import to_wire

MARKED_BODY = b"MARKED PAYLOAD"


def new_run(body=MARKED_BODY, customer="ana", path="host/path"):
    return GuardedRun(customer, "route", path, body)


def run_scenario(scenario):
    async def bounded():
        leader = LocalLeader()
        guards = [leader.guard() for _ in range(3)]
        tasks = [asyncio.create_task(guard.reports.send_forever()) for guard in guards]
        try:
            async with asyncio.timeout(20):
                await scenario(leader, guards)
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(bounded())


async def wait_for_reports():
    for _ in range(10):
        await asyncio.sleep(0.005)


async def end_three(guards, run=None):
    for number in range(3):
        guards[number % len(guards)].ended(run or new_run(), "engine", f"life-{number}", "refused")
    await wait_for_reports()


def test_no_digest_is_computed_without_suspects(monkeypatch):
    """The digest is the expensive part: 4 ms for 4 MiB."""

    async def scenario(leader, guards):
        def fail(*arguments):
            raise AssertionError("A digest was computed.")

        monkeypatch.setattr(guard_module, "request_digest", fail)
        for _ in range(100):
            run = new_run()
            assert (await guards[0].admit(run, 0.1)).may_send
            guards[0].served(run)
            guards[0].on_finished(run)

    run_scenario(scenario)


def test_no_digest_is_computed_for_another_customer_or_route(monkeypatch):
    async def scenario(leader, guards):
        await end_three(guards)

        def fail(*arguments):
            raise AssertionError("A digest was computed.")

        monkeypatch.setattr(guard_module, "request_digest", fail)
        assert (await guards[0].admit(new_run(customer="bert"), 0.1)).may_send

    run_scenario(scenario)


def test_suspects_apply_to_all_gateways():
    async def scenario(leader, guards):
        await end_three(guards)
        trial = new_run()
        assert (await guards[1].admit(trial, 0.1)).may_send
        assert trial.trial
        assert not (await guards[2].admit(new_run(), 0.05)).may_send
        guards[1].ended(trial, "engine", "life-of-trial", "refused")
        await wait_for_reports()
        for guard in guards:
            admission = await guard.admit(new_run(), 0.1)
            assert not admission.may_send
            assert admission.retry_after > 3000

    run_scenario(scenario)


def test_concurrent_copies_at_all_gateways_get_one_trial():
    async def scenario(leader, guards):
        await end_three(guards)
        runs = [new_run() for _ in range(30)]
        admissions = await asyncio.gather(
            *(guards[number % 3].admit(run, 0.1) for number, run in enumerate(runs))
        )
        assert [admission.may_send for admission in admissions].count(True) == 1
        assert leader.trials == 1
        assert all(a.retry_after == 1.0 for a in admissions if not a.may_send)

    run_scenario(scenario)


def test_complete_response_of_a_trial_admits_waiting_requests():
    async def scenario(leader, guards):
        await end_three(guards)
        trial = new_run()
        await guards[0].admit(trial, 0.1)
        waiting = asyncio.create_task(guards[1].admit(new_run(), 5.0))
        await asyncio.sleep(0.02)
        guards[0].served(trial)
        assert (await waiting).may_send
        assert len(leader.table) == 0
        assert all(len(guard.held) == 0 for guard in guards)

    run_scenario(scenario)


def test_trial_that_finishes_without_outcome_is_released():
    async def scenario(leader, guards):
        await end_three(guards)
        trial = new_run()
        await guards[0].admit(trial, 0.1)
        guards[0].on_finished(trial)
        await wait_for_reports()
        assert (await guards[1].admit(new_run(), 0.0)).may_send

    run_scenario(scenario)


def test_partitioned_gateway_decides_by_its_own_trials():
    """It runs one trial at a time, and refuses the request after a trial that ends a target."""

    async def scenario(leader, guards):
        leader.is_lost = True
        await end_three(guards[:1])
        trial = new_run()
        assert (await guards[0].admit(trial, 0.1)).may_send
        assert not (await guards[0].admit(new_run(), 0.1)).may_send
        guards[0].ended(trial, "engine", "life-of-trial", "refused")
        guards[0].on_finished(trial)
        admission = await guards[0].admit(new_run(), 0.1)
        assert (admission.may_send, admission.retry_after) == (False, 1.0)
        assert (await guards[0].admit(new_run(b"another"), 0.1)).may_send
        leader.is_lost = False
        await asyncio.sleep(0.5)
        assert leader.table.get(request_digest(KEY, "ana", "host/path", MARKED_BODY)).ends == 4

    run_scenario(scenario)


@pytest.mark.parametrize("is_reported", [False, True])
def test_complete_response_at_a_partitioned_gateway_clears_the_request(is_reported):
    """A harmless request of many callers must not be refused for the whole partition."""

    async def scenario(leader, guards):
        leader.is_lost = not is_reported
        await end_three(guards[:1])
        leader.is_lost = True
        trial = new_run()
        assert (await guards[0].admit(trial, 0.1)).may_send
        guards[0].served(trial)
        guards[0].on_finished(trial)
        for _ in range(3):
            assert (await guards[0].admit(new_run(), 0.1)).may_send

    run_scenario(scenario)


def test_refusal_holds_while_the_leader_is_unreachable():
    async def scenario(leader, guards):
        await end_three(guards)
        trial = new_run()
        await guards[0].admit(trial, 0.1)
        guards[0].ended(trial, "engine", "life-of-trial", "refused")
        await wait_for_reports()
        leader.is_lost = True
        admission = await guards[1].admit(new_run(), 0.1)
        assert not admission.may_send
        assert admission.retry_after > 3000

    run_scenario(scenario)


def test_lower_version_is_ignored():
    """A control daemon that has just started or lags behind sends a lower version."""

    async def scenario(leader, guards):
        await end_three(guards)
        stale = LocalLeader()
        stale_guard = stale.guard()
        assert guards[0].held.version > stale_guard.held.version
        before = len(guards[0].held)
        assert not guards[0].held.take(to_wire(stale.table, 0))
        assert len(guards[0].held) == before == 1

    run_scenario(scenario)


def test_no_content_of_a_request_is_stored():
    async def scenario(leader, guards):
        run = GuardedRun("ana", "route", "host/MARKED PATH", MARKED_BODY)
        for number in range(3):
            guards[0].ended(run, "engine", f"life-{number}", "refused")
        await wait_for_reports()
        assert len(leader.table) == 1
        assert b"MARKED" not in leader.table.snapshot()

    run_scenario(scenario)


def test_body_is_released_while_an_end_is_checked():
    """The bodies of 512 abandoned runs of 4 MiB would take two gigabytes."""

    async def scenario(leader, guards):
        for handle in (guards[0].ends.on_connection_broken, guards[0].ends.on_run_abandoned):
            run = new_run(bytes(100_000))
            handle(TargetIncarnation("life", "127.0.0.1:1", "engine"), run)
            assert run._body == b""
        guards[0].ends.close()

    run_scenario(scenario)


def test_digest_depends_on_the_key_and_the_request():
    ours = request_digest(make_key("c", "secret"), "ana", "a", b"b")
    assert len(ours) == 16
    others = {
        request_digest(make_key("c", "another"), "ana", "a", b"b"),
        request_digest(make_key("c", ""), "ana", "a", b"b"),
        request_digest(make_key("c", "secret"), "bert", "a", b"b"),
        request_digest(make_key("c", "secret"), "ana", "ab", b""),
        request_digest(make_key("c", "secret"), "anaa", "", b"b"),
    }
    assert len(others | {ours}) == 6


@pytest.mark.parametrize("is_supported", [False, True])
def test_reports_wait_until_all_control_daemons_support_them(is_supported):
    async def scenario(leader, guards):
        guards[0].daemons_support_suspects = lambda: is_supported
        await end_three(guards[:1])
        assert (len(leader.table) == 1) is is_supported

    run_scenario(scenario)
