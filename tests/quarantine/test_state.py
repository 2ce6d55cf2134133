"""The table of suspects: trials, refusals, clearing, and the changes published to gateways."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from traystall.quarantine.models import (
    MAX_TRIALS,
    TRIAL_MIN_ENDS,
    TRIAL_SECONDS,
    BeginTrial,
    EndedRun,
    LiftSuspect,
    ReportRuns,
    SuspectEvent,
    Verdict,
)
from traystall.quarantine.state import (
    MAX_SUSPECTS,
    MAX_SUSPECTS_PER_CUSTOMER,
    REFUSAL_SECONDS,
    REFUSED_RETENTION_SECONDS,
    SUSPECT_RETENTION_SECONDS,
    SuspectTable,
)

POISON = b"ends its targets"
BYSTANDER = b"ran beside it"


def end(life, digest=POISON, trial="", customer="ana", pool="engine"):
    return EndedRun(digest, customer, "route", pool, life, "nothing listens", trial)


def report(table, *ended, served=(), released=(), time=0.0):
    return table.report(ReportRuns(ended, tuple(served), tuple(released), time))


def ask(table, trial="t-1", digest=POISON, time=0.0):
    return table.begin_trial(BeginTrial(digest, trial, time))


def suspected(ends=TRIAL_MIN_ENDS, digest=POISON):
    table = SuspectTable()
    for number in range(ends):
        report(table, end(f"life-{number}", digest))
    return table


def refused():
    table = suspected()
    ask(table)
    report(table, end("life-of-trial", trial="t-1"))
    return table


def test_request_runs_freely_until_three_targets_have_ended():
    assert ask(SuspectTable()).verdict is Verdict.FREE
    assert ask(suspected(TRIAL_MIN_ENDS - 1)).verdict is Verdict.FREE
    assert ask(suspected()).verdict is Verdict.TRIAL


def test_trial_that_ends_its_target_refuses_the_request():
    table = refused()
    answer = ask(table, "t-2")
    assert (answer.verdict, answer.seconds) == (Verdict.REFUSED, REFUSAL_SECONDS)


def test_trials_without_outcome_are_counted():
    table = suspected()
    for number in range(MAX_TRIALS):
        time = number * (TRIAL_SECONDS + 1)
        assert ask(table, f"t-{number}", time=time).verdict is Verdict.TRIAL
    assert ask(table, "late", time=TRIAL_SECONDS * (MAX_TRIALS + 2)).verdict is Verdict.REFUSED


def test_pool_has_one_trial_at_a_time():
    table = suspected()
    for number in range(TRIAL_MIN_ENDS):
        report(table, end(f"other-{number}", BYSTANDER))
    assert ask(table, "t-1", POISON).verdict is Verdict.TRIAL
    assert ask(table, "t-2", BYSTANDER).verdict is Verdict.WAIT
    assert ask(table, "t-3", POISON).verdict is Verdict.WAIT
    report(table, released=["t-1"])
    assert ask(table, "t-2", BYSTANDER).verdict is Verdict.TRIAL


def test_trial_of_a_lost_gateway_expires():
    table = suspected()
    for number in range(TRIAL_MIN_ENDS):
        report(table, end(f"other-{number}", BYSTANDER))
    ask(table, "t-1", POISON)
    assert ask(table, "t-2", BYSTANDER, TRIAL_SECONDS - 0.1).verdict is Verdict.WAIT
    assert ask(table, "t-2", BYSTANDER, TRIAL_SECONDS + 0.1).verdict is Verdict.TRIAL


def test_complete_response_clears_a_request():
    table = suspected()
    updates = report(table, served=[POISON])
    assert [one.event for one in updates] == [SuspectEvent.CLEARED]
    assert ask(table).verdict is Verdict.FREE
    assert len(table) == 0


def test_requests_that_ran_beside_a_refused_one_are_cleared():
    """Both requests ran on the same three targets; only the trial distinguishes them."""
    table = SuspectTable()
    for number in range(TRIAL_MIN_ENDS):
        report(table, end(f"life-{number}"), end(f"life-{number}", BYSTANDER))
    report(table, end("another-life", b"elsewhere"))
    ask(table)
    updates = report(table, end("life-of-trial", trial="t-1"))
    assert {(one.event, one.digest) for one in updates} >= {
        (SuspectEvent.REFUSED, POISON),
        (SuspectEvent.CLEARED, BYSTANDER),
    }
    assert table.get(BYSTANDER) is None
    assert table.get(b"elsewhere").ends == 1


def test_end_under_an_old_trial_or_without_one_refuses_nothing():
    table = suspected()
    ask(table, "t-1")
    report(table, end("a-life"), end("another", trial="t-0"))
    assert ask(table, "t-2").verdict is Verdict.WAIT


def test_repeated_report_changes_nothing():
    table = suspected()
    before = table.snapshot()
    report(table, end("life-0"), end("life-2"), served=[b"unknown"], released=["none"])
    assert table.snapshot() == before


def test_end_reported_by_several_gateways_counts_once():
    table = SuspectTable()
    for _ in range(5):
        report(table, end("life"))
    assert table.get(POISON).ends == 1


def test_expired_refusal_allows_one_trial():
    table = refused()
    later = REFUSAL_SECONDS + 1
    assert ask(table, "t-2", time=later).verdict is Verdict.TRIAL
    report(table, end("mended?", trial="t-2"), time=later + 1)
    assert ask(table, "t-3", time=later + 2).verdict is Verdict.REFUSED


def test_served_request_is_cleared_after_its_refusal_expired():
    table = refused()
    ask(table, "t-2", time=REFUSAL_SECONDS + 1)
    report(table, served=[POISON], time=REFUSAL_SECONDS + 2)
    assert ask(table, time=REFUSAL_SECONDS + 3).verdict is Verdict.FREE


@pytest.mark.parametrize(
    ("table", "seconds"),
    [(suspected(), SUSPECT_RETENTION_SECONDS), (refused(), REFUSED_RETENTION_SECONDS)],
)
def test_suspects_expire(table, seconds):
    report(table, time=seconds - 1)
    assert len(table) == 1
    report(table, time=seconds + 60)
    assert len(table) == 0


def test_operator_lifts_a_suspect():
    table = refused()
    updates = table.lift(LiftSuspect(POISON, "eva", 1.0))
    assert [(one.event, one.why) for one in updates] == [(SuspectEvent.CLEARED, "lifted by eva")]
    assert ask(table).verdict is Verdict.FREE
    assert table.lift(LiftSuspect(POISON, "eva", 1.0)) == []


def test_clock_that_steps_back_is_ignored():
    table = refused()
    report(table, time=100.0)
    assert ask(table, "t-2", time=-500.0).seconds == REFUSAL_SECONDS - 100.0


def test_customer_cannot_evict_suspects_of_another():
    table = refused()
    for number in range(MAX_SUSPECTS_PER_CUSTOMER * 3):
        report(table, end(f"life-{number}", b"%d" % number, customer="bert"))
    assert ask(table).verdict is Verdict.REFUSED
    assert len(table) == MAX_SUSPECTS_PER_CUSTOMER + 1


def test_table_is_bounded_and_keeps_refused_suspects():
    table = refused()
    for number in range(MAX_SUSPECTS + 500):
        customer = f"customer-{number % 40}"
        report(table, end(f"life-{number}", b"%d" % number, customer=customer))
    assert len(table) == MAX_SUSPECTS
    assert ask(table).verdict is Verdict.REFUSED
    assert len(table.snapshot()) < 2_500_000


def test_snapshot_restores_the_table():
    table = refused()
    copy = SuspectTable()
    copy.restore(table.snapshot())
    assert copy.snapshot() == table.snapshot()
    assert ask(copy).verdict is Verdict.REFUSED
    assert copy.since(table.version - 1).full


def test_snapshot_of_an_earlier_release_has_none():
    table = refused()
    table.restore(b"")
    assert (len(table), table.version) == (0, 0)


DIGESTS = st.sampled_from([b"a", b"b", b"c", b"d"])
STEPS = st.one_of(
    st.tuples(st.just("end"), DIGESTS, st.integers(0, 6), st.sampled_from(["", "t-a", "t-b"])),
    st.tuples(st.just("served"), DIGESTS),
    st.tuples(st.just("trial"), DIGESTS, st.sampled_from(["t-a", "t-b"])),
    st.tuples(st.just("lift"), DIGESTS),
    st.tuples(st.just("wait"), st.sampled_from([1.0, 20.0, 4000.0, 90000.0])),
    st.tuples(st.just("watch"), st.integers(0, 2)),
    st.tuples(st.just("restore")),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_subscribers_that_apply_changes_hold_the_published_suspects(steps):
    """This holds for any missed changes, in any order, and after a restored snapshot."""
    table = SuspectTable()
    subscribers = [(0, {}) for _ in range(3)]
    time = 0.0

    def watch(number):
        version, held = subscribers[number]
        changes = table.since(version)
        if changes.full:
            held = {}
        held = held | {row.digest: row.ends for row in changes.suspects}
        held = {digest: ends for digest, ends in held.items() if digest not in changes.removed}
        subscribers[number] = (changes.version, held)

    for step, *rest in steps:
        if step == "end":
            report(table, end(f"life-{rest[1]}", rest[0], rest[2]), time=time)
        elif step == "served":
            report(table, served=[rest[0]], time=time)
        elif step == "trial":
            ask(table, rest[1], rest[0], time)
        elif step == "lift":
            table.lift(LiftSuspect(rest[0], "eva", time))
        elif step == "wait":
            time += rest[0]
        elif step == "watch":
            watch(rest[0])
        else:
            copy = SuspectTable()
            copy.restore(table.snapshot())
            table = copy
    for number in range(3):
        watch(number)
        assert subscribers[number][1] == {row.digest: row.ends for row in table.listed()}
        assert subscribers[number][0] == table.version
