"""A gateway's guard: what it costs, what it keeps, and what it does when nobody answers it."""

import asyncio

import pytest

from tests.support.suspects import KEY, LocalLeader
from traystall.quarantine import guard as guard_module
from traystall.quarantine.digests import make_key, request_digest
from traystall.quarantine.ends import TargetIncarnation
from traystall.quarantine.guard import GuardedRun
from traystall.quarantine.wire import to_wire

MARK = b"MARKED PAYLOAD"


def new_run(body=MARK, customer="ana", path="host/path"):
    return GuardedRun(customer, "route", path, body)


def play(story):
    async def bounded():
        leader = LocalLeader()
        guards = [leader.guard() for _ in range(3)]
        tasks = [asyncio.create_task(guard.reports.send_forever()) for guard in guards]
        try:
            async with asyncio.timeout(20):
                await story(leader, guards)
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(bounded())


async def settle():
    for _ in range(10):
        await asyncio.sleep(0.005)


async def end_three(guards, run=None):
    for number in range(3):
        guards[number % len(guards)].ended(run or new_run(), "engine", f"life-{number}", "refused")
    await settle()


def test_nothing_is_worked_out_while_nothing_is_suspected(monkeypatch):
    """Digests are what costs: 4 ms for 4 MiB."""

    async def story(leader, guards):
        def fail(*arguments):
            raise AssertionError("A digest was worked out.")

        monkeypatch.setattr(guard_module, "request_digest", fail)
        for _ in range(100):
            run = new_run()
            assert (await guards[0].admit(run, 0.1)).may_send
            guards[0].served(run)
            guards[0].on_finished(run)

    play(story)


def test_requests_of_another_customer_or_route_cost_nothing_either(monkeypatch):
    async def story(leader, guards):
        await end_three(guards)

        def fail(*arguments):
            raise AssertionError("A digest was worked out.")

        monkeypatch.setattr(guard_module, "request_digest", fail)
        assert (await guards[0].admit(new_run(customer="bert"), 0.1)).may_send

    play(story)


def test_what_one_gateway_saw_binds_all():
    async def story(leader, guards):
        await end_three(guards)
        trial = new_run()
        assert (await guards[1].admit(trial, 0.1)).may_send
        assert trial.trial
        assert not (await guards[2].admit(new_run(), 0.05)).may_send
        guards[1].ended(trial, "engine", "life-of-trial", "refused")
        await settle()
        for guard in guards:
            admission = await guard.admit(new_run(), 0.1)
            assert not admission.may_send
            assert admission.retry_after > 3000

    play(story)


def test_copies_at_all_gateways_at_once_get_one_trial():
    async def story(leader, guards):
        await end_three(guards)
        runs = [new_run() for _ in range(30)]
        admissions = await asyncio.gather(
            *(guards[number % 3].admit(run, 0.1) for number, run in enumerate(runs))
        )
        assert [admission.may_send for admission in admissions].count(True) == 1
        assert leader.trials == 1
        assert all(a.retry_after == 1.0 for a in admissions if not a.may_send)

    play(story)


def test_whole_answer_of_a_trial_lets_those_that_wait_go_on():
    async def story(leader, guards):
        await end_three(guards)
        trial = new_run()
        await guards[0].admit(trial, 0.1)
        waiting = asyncio.create_task(guards[1].admit(new_run(), 5.0))
        await asyncio.sleep(0.02)
        guards[0].served(trial)
        assert (await waiting).may_send
        assert len(leader.table) == 0
        assert all(len(guard.held) == 0 for guard in guards)

    play(story)


def test_trial_that_is_over_without_a_sign_is_given_back():
    async def story(leader, guards):
        await end_three(guards)
        trial = new_run()
        await guards[0].admit(trial, 0.1)
        guards[0].on_finished(trial)
        await settle()
        assert (await guards[1].admit(new_run(), 0.0)).may_send

    play(story)


def test_cut_off_gateway_goes_by_what_it_has_seen():
    """One run at a time; when that ends a target too it is refused here until the cut is over."""

    async def story(leader, guards):
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
        assert leader.table.get(request_digest(KEY, "ana", "host/path", MARK)).ends == 4

    play(story)


@pytest.mark.parametrize("is_told", [False, True])
def test_whole_answer_at_a_cut_off_gateway_clears_it_there(is_told):
    """A harmless request that many callers send must not be lost for as long as a cut lasts."""

    async def story(leader, guards):
        leader.is_lost = not is_told
        await end_three(guards[:1])
        leader.is_lost = True
        trial = new_run()
        assert (await guards[0].admit(trial, 0.1)).may_send
        guards[0].served(trial)
        guards[0].on_finished(trial)
        for _ in range(3):
            assert (await guards[0].admit(new_run(), 0.1)).may_send

    play(story)


def test_what_is_refused_stays_refused_while_the_leader_cannot_be_asked():
    async def story(leader, guards):
        await end_three(guards)
        trial = new_run()
        await guards[0].admit(trial, 0.1)
        guards[0].ended(trial, "engine", "life-of-trial", "refused")
        await settle()
        leader.is_lost = True
        admission = await guards[1].admit(new_run(), 0.1)
        assert not admission.may_send
        assert admission.retry_after > 3000

    play(story)


def test_lower_version_undoes_nothing():
    """A control daemon that has just started, or lags, tells of less."""

    async def story(leader, guards):
        await end_three(guards)
        stale = LocalLeader()
        stale_guard = stale.guard()
        assert guards[0].held.version > stale_guard.held.version
        before = len(guards[0].held)
        assert not guards[0].held.take(to_wire(stale.table, 0))
        assert len(guards[0].held) == before == 1

    play(story)


def test_nothing_of_a_request_is_kept_or_told():
    async def story(leader, guards):
        run = GuardedRun("ana", "route", "host/MARKED PATH", MARK)
        for number in range(3):
            guards[0].ended(run, "engine", f"life-{number}", "refused")
        await settle()
        assert len(leader.table) == 1
        assert b"MARKED" not in leader.table.snapshot()

    play(story)


def test_body_is_not_held_for_an_end_that_may_come():
    """512 runs of 4 MiB that were given up would be two gigabytes."""

    async def story(leader, guards):
        for looked_into in (guards[0].ends.on_connection_broken, guards[0].ends.on_run_abandoned):
            run = new_run(bytes(100_000))
            looked_into(TargetIncarnation("life", "127.0.0.1:1", "engine"), run)
            assert run._body == b""
        guards[0].ends.close()

    play(story)


def test_digest_needs_the_clusters_key_and_tells_requests_apart():
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


@pytest.mark.parametrize("told", [False, True])
def test_reports_wait_until_every_control_daemon_that_is_heard_knows_them(told):
    async def story(leader, guards):
        guards[0].daemons_support_suspects = lambda: told
        await end_three(guards[:1])
        assert (len(leader.table) == 1) is told

    play(story)
