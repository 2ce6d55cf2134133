"""Faults at each step of an exchange with a target, for every kind of request.

Invariants in each cell: the caller gets the complete answer to its own request or one typed
refusal; work that is reported as "not-run" has not run; work that is not repeatable runs at most
once; no target outside the customer's data centres gets a request.
"""

import asyncio
import time

import pytest
from msgspec import structs

from tests.support.gateway_bench import (
    ELSEWHERE,
    PLACE,
    GatewayBench,
    engine_stage,
    service_stage,
)
from tests.support.raw_target import RawTarget
from traystall.gateway.adapters import kinds
from traystall.tables.entities import Stage
from traystall.tables.targets import Breaker

SINGLE_FAULTS = (
    "none",
    "no listener",
    "closed on accept",
    "reset after part of the request",
    "refused not run",
    "refused leaving",
    "refused not run for another attempt",
    "closed without an answer",
    "reset without an answer",
    "silent",
    "answered late",
    "failed",
    "garbage",
    "answered for another attempt",
    "another attempt's body",
    "truncated",
    "not JSON",
    "answered twice",
)
STREAM_FAULTS = (
    "none",
    "no listener",
    "closed on accept",
    "refused not run",
    "closed without an answer",
    "silent",
    "failed",
    "stream cut",
    "stream ends early",
    "stream stalls",
    "token missing",
    "tokens repeated",
    "wrong count",
    "no end mark",
)
# Faults after which the target has certainly not run the request.
SURELY_NOT_RUN = {"none", "no listener", "refused not run", "refused leaving"}
KINDS = ("repeatable", "unkeyed", "keyed", "marked")
RUN_STATES = {"not-run", "may-have-run", "ran"}


def check_answer(status, document, mark, runs, repeatable):
    """Check the invariants of a response."""
    if status == 200:
        assert document["result"]["echo"] == mark
        assert document["status"] == "complete"
        assert runs
    else:
        assert document["run"] in RUN_STATES
        if document["run"] == "not-run":
            assert not runs
    if not repeatable:
        assert len(runs) <= 1


async def run_cell(fault, kind, both):
    """Run three requests against two targets, one or both of which have a fault at first."""
    first = RawTarget("service", [fault])
    second = RawTarget("service", [fault] if both and fault != "no listener" else [])
    outside = RawTarget("service")
    stage = service_stage(repeatable=kind in ("repeatable", "marked"))
    targets = {("pool", PLACE): [first, second], ("pool", ELSEWHERE): [outside]}
    headers = {"Traystall-Not-Repeatable": "true"} if kind == "marked" else {}
    answers = []
    async with GatewayBench(targets, [stage], deadline=1.2) as bench:
        for number in range(3):
            mark = f"mark{number}"
            key = f"key{number}" if kind == "keyed" else ""
            status, document = await bench.ask(mark, key, headers=headers)
            own = f"{document['request']}."
            runs = [r for r in first.runs + second.runs if r["attempt"].startswith(own)]
            check_answer(status, document, mark, runs, kind == "repeatable")
            answers.append((status, document))
            if kind == "keyed":
                await check_resend(bench, mark, key, status, document, (first, second))
    assert not outside.seen
    return answers


async def check_resend(bench, mark, key, status, document, targets):
    """Check that a retry never runs the work again, and gets the same complete answer."""
    before = sum(len(t.runs) for t in targets)
    again, second = await bench.ask(mark, key)
    after = sum(len(t.runs) for t in targets)
    if status == 200:
        assert (again, after) == (200, before)
        assert second["result"] == document["result"]
    elif document["run"] != "not-run":
        assert (again, after) == (409, before)
        assert second["run"] == "may-have-run"
    keys = [r["key"] for t in targets for r in t.runs]
    assert keys.count(key) <= 1


@pytest.mark.parametrize("both", [False, True], ids=["one", "both"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("fault", SINGLE_FAULTS)
def test_single_answers(fault, kind, both):
    answers = asyncio.run(run_cell(fault, kind, both))
    if fault == "refused leaving" and both:
        # Every target is leaving, and none may get new work.
        assert [(d["code"], d["run"]) for _, d in answers] == [("no-target", "not-run")] * 3
    elif fault in SURELY_NOT_RUN or (kind == "repeatable" and not both):
        # The outcome is known, or a retry is safe: every caller must get the complete answer.
        assert [status for status, _ in answers] == [200] * 3, answers


@pytest.mark.parametrize("both", [False, True], ids=["one", "both"])
@pytest.mark.parametrize("stream", [False, True], ids=["whole", "streamed"])
@pytest.mark.parametrize("fault", STREAM_FAULTS)
def test_streamed_answers(fault, stream, both):
    asyncio.run(run_stream_cell(fault, stream, both))


async def run_stream_cell(fault, stream, both):
    first = RawTarget("engine", [fault])
    second = RawTarget("engine", [fault] if both and fault != "no listener" else [])
    targets = {("pool", PLACE): [first, second], ("pool", ELSEWHERE): [RawTarget("engine")]}
    async with GatewayBench(targets, [engine_stage()], deadline=1.2) as bench:
        for number in range(3):
            mark = f"mark{number}:"
            whole = [f"{mark}{index} " for index in range(6)]
            status, document = await bench.ask(mark, stream=stream)
            if status == 200:
                assert document["result"]["text"] == "".join(whole)
                if stream:
                    assert document["streamed"] == whole
                    assert document["count"] == 6
            else:
                assert document["run"] in RUN_STATES
                # Only an engine that sends nothing may use up the deadline.
                assert fault in ("silent", "stream stalls") or both, document
    assert not targets["pool", ELSEWHERE][0].seen


def test_resume_on_engines_that_repeat_tokens():
    """Both engines cut the stream, then repeat tokens that the gateway already has."""

    async def scenario():
        script = ["stream cut", "tokens repeated"]
        targets = {("pool", PLACE): [RawTarget("engine", list(script)) for _ in range(2)]}
        async with GatewayBench(targets, [engine_stage()]) as bench:
            status, document = await bench.ask("mark:", stream=True)
            assert status == 200
            assert document["streamed"] == [f"mark:{index} " for index in range(6)]

    asyncio.run(scenario())


def test_work_is_not_sent_after_a_lost_claim_reply():
    """The claim is committed but its reply is lost: nothing runs, and the claim is released."""

    async def scenario():
        target = RawTarget("service")
        stage = service_stage(repeatable=False)
        async with GatewayBench({("pool", PLACE): [target]}, [stage], deadline=0.5) as bench:
            bench.ledger.mode = "answer lost"
            status, document = await bench.ask("mark", "key")
            assert (status, document["run"], target.runs) == (503, "not-run", [])
            assert len(bench.ledger.released) == 1
            bench.ledger.mode = "ok"
            assert (await bench.ask("mark", "key"))[0] == 200
            assert len(target.runs) == 1

    asyncio.run(scenario())


def test_ledger_unavailable_refuses_keyed_work_only():
    async def scenario():
        target = RawTarget("service")
        stage = service_stage(repeatable=False)
        async with GatewayBench({("pool", PLACE): [target]}, [stage]) as bench:
            bench.ledger.mode = "unavailable"
            status, document = await bench.ask("mark", "key")
            assert (status, document["run"], target.runs) == (503, "not-run", [])
            assert (await bench.ask("mark"))[0] == 200

    asyncio.run(scenario())


def test_claim_of_a_dead_gateway_is_never_run_again():
    async def scenario():
        target = RawTarget("service", ["reset without an answer"])
        stage = service_stage(repeatable=False)
        async with GatewayBench({("pool", PLACE): [target]}, [stage]) as bench:
            assert (await bench.ask("mark", "key"))[1]["run"] == "may-have-run"
            bench.ledger.alive = False
            status, document = await bench.ask("mark", "key")
            assert (status, document["code"]) == (409, "claim-held")
            assert len(target.runs) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("alive", [True, False], ids=["alive", "dead"])
@pytest.mark.parametrize("fault", ["reset without an answer", "closed on accept"])
def test_unknown_outcome_is_settled_by_a_lookup_at_the_target(fault, alive):
    """A target that ran the key returns its result; one that does not know it proves nothing."""

    async def scenario():
        target = RawTarget("service", [fault])
        stages = [service_stage(repeatable=False), service_stage(name="after")]
        targets = {("pool", PLACE): [target]}
        async with GatewayBench(targets, stages, deadline=1.0, lookup="/look") as bench:
            assert (await bench.ask("mark", "key"))[1]["run"] == "may-have-run"
            bench.ledger.alive = alive
            ran = len(target.runs)
            status, document = await bench.ask("mark", "key")
            if ran:
                assert (status, document["result"]["echo"]) == (200, "mark")
                again, replayed = await bench.ask("mark", "key")
                assert (again, replayed["result"]) == (200, document["result"])
            else:
                assert (status, document["code"]) == (409, "claim-held")
            assert [run["key"] for run in target.runs].count("key") == ran

    asyncio.run(scenario())


def test_adopted_claim_is_never_released():
    """The work ran, a retry finds its result, and a later stage can't run: no second run."""

    async def scenario():
        target = RawTarget("service", ["reset without an answer"])
        leaving = RawTarget("service", ["refused leaving"])
        stages = [service_stage(repeatable=False), Stage("after", "pool2", "service", path="/x")]
        targets = {("pool", PLACE): [target], ("pool2", PLACE): [leaving]}
        async with GatewayBench(targets, stages, deadline=1.0, lookup="/look") as bench:
            for _ in range(4):
                bench.context.targets.pool("pool2")[0].breaker = Breaker()
                status, document = await bench.ask("mark", "key")
                assert status != 200
                assert document["run"] == "may-have-run"
            assert len(target.runs) == 1
            assert bench.ledger.released == []

    asyncio.run(scenario())


def test_claimed_work_is_not_sent_after_its_retention():
    """The key can be claimed again after twice the retention, so no work is sent so late."""

    async def scenario():
        target = RawTarget("service")
        stage = service_stage(repeatable=False)
        bench = GatewayBench({("pool", PLACE): [target]}, [stage], deadline=5.0)
        bench.pipeline = structs.replace(bench.pipeline, retention=0.01)
        bench.ledger.delay = 0.05
        async with bench:
            status, document = await bench.ask("mark", "key")
            assert (status, document["run"], target.runs) == (503, "not-run", [])

    asyncio.run(scenario())


def test_work_is_not_sent_after_a_suspension_past_its_deadline(monkeypatch):
    """The process is suspended past the deadline between choosing a target and sending."""

    async def scenario():
        target = RawTarget("service")
        stage = service_stage(repeatable=False)
        async with GatewayBench({("pool", PLACE): [target]}, [stage], deadline=0.3) as bench:
            original = kinds.run

            async def frozen(http, call):
                time.sleep(0.5)  # noqa: ASYNC251 - the whole process is suspended.
                return await original(http, call)

            monkeypatch.setattr("traystall.gateway.stages.kinds.run", frozen)
            status, document = await bench.ask("mark")
            assert (status, document["run"], target.runs) == (503, "not-run", [])

    asyncio.run(scenario())


def test_same_key_with_another_body_is_refused():
    async def scenario():
        target = RawTarget("service")
        stage = service_stage(repeatable=False)
        async with GatewayBench({("pool", PLACE): [target]}, [stage]) as bench:
            assert (await bench.ask("one", "key"))[0] == 200
            status, document = await bench.ask("two", "key")
            assert (status, document["code"]) == (422, "key-mismatch")
            assert len(target.runs) == 1

    asyncio.run(scenario())


def test_concurrent_retries_run_once():
    async def scenario():
        target = RawTarget("service", ["answered late"])
        stage = service_stage(repeatable=False)
        async with GatewayBench({("pool", PLACE): [target]}, [stage]) as bench:
            answers = await asyncio.gather(*(bench.ask("mark", "key") for _ in range(5)))
            assert [status for status, _ in answers] == [200] * 5
            assert len(target.runs) == 1

    asyncio.run(scenario())


def test_late_answer_of_claimed_work_is_kept_for_the_retry():
    """The deadline passes while the work runs: it continues, and a retry gets the result."""

    async def scenario():
        target = RawTarget("service", ["answered late"])
        stage = service_stage(repeatable=False)
        async with GatewayBench({("pool", PLACE): [target]}, [stage], deadline=0.3) as bench:
            status, document = await bench.ask("mark", "key")
            assert (status, document["run"]) == (503, "may-have-run")
            await bench.front.drain(5.0)
            status, document = await bench.ask("mark", "key")
            assert (status, document["result"]["echo"]) == (200, "mark")
            assert len(target.runs) == 1

    asyncio.run(scenario())


def test_concurrent_requests_get_their_own_answers():
    """Many concurrent requests to few targets with faults: no caller gets another's answer."""

    async def scenario():
        faults = ["answered for another attempt", "truncated", "answered twice", "none"] * 5
        targets = [RawTarget("service", list(faults)), RawTarget("service", list(faults))]
        async with GatewayBench({("pool", PLACE): targets}, [service_stage()]) as bench:
            marks = [f"mark{number}" for number in range(60)]
            answers = await asyncio.gather(*(bench.ask(mark) for mark in marks))
            for mark, (status, document) in zip(marks, answers, strict=True):
                assert status != 200 or document["result"]["echo"] == mark
            assert sum(status == 200 for status, _ in answers) >= 50

    asyncio.run(scenario())
