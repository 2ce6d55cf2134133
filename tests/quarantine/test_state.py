"""The table of suspects: who is tried, refused, cleared, and what is told of it."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from traystall.quarantine.models import (
    MAX_TRIALS,
    TRIAL_ENDS,
    TRIAL_SECONDS,
    BeginTrial,
    EndedRun,
    LiftSuspect,
    ReportRuns,
    SuspectEvent,
    Verdict,
)
from traystall.quarantine.state import (
    FORGET_SECONDS,
    MOST_OF_CUSTOMER,
    MOST_SUSPECTS,
    REFUSED_SECONDS,
    SUSPECT_SECONDS,
    SuspectTable,
)

ENDS = b"ends its targets"
OTHER = b"ran beside it"


def end(life, digest=ENDS, trial="", customer="ana", pool="engine"):
    return EndedRun(digest, customer, "route", pool, life, "nothing listens", trial)


def report(table, *ended, served=(), released=(), time=0.0):
    return table.report(ReportRuns(ended, tuple(served), tuple(released), time))


def ask(table, trial="t-1", digest=ENDS, time=0.0):
    return table.begin_trial(BeginTrial(digest, trial, time))


def suspected(ends=TRIAL_ENDS, digest=ENDS):
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
    assert ask(suspected(TRIAL_ENDS - 1)).verdict is Verdict.FREE
    assert ask(suspected()).verdict is Verdict.TRIAL


def test_trial_that_ends_its_target_proves_it():
    table = refused()
    answer = ask(table, "t-2")
    assert (answer.verdict, answer.seconds) == (Verdict.REFUSED, REFUSED_SECONDS)


def test_trials_that_say_nothing_are_counted_too():
    table = suspected()
    for number in range(MAX_TRIALS):
        time = number * (TRIAL_SECONDS + 1)
        assert ask(table, f"t-{number}", time=time).verdict is Verdict.TRIAL
    assert ask(table, "late", time=TRIAL_SECONDS * (MAX_TRIALS + 2)).verdict is Verdict.REFUSED


def test_one_trial_of_a_pool_at_a_time_so_that_its_end_tells_who_did_it():
    table = suspected()
    for number in range(TRIAL_ENDS):
        report(table, end(f"other-{number}", OTHER))
    assert ask(table, "t-1", ENDS).verdict is Verdict.TRIAL
    assert ask(table, "t-2", OTHER).verdict is Verdict.WAIT
    assert ask(table, "t-3", ENDS).verdict is Verdict.WAIT
    report(table, released=["t-1"])
    assert ask(table, "t-2", OTHER).verdict is Verdict.TRIAL


def test_trial_of_a_gateway_that_is_lost_holds_the_others_up_for_a_while_only():
    table = suspected()
    for number in range(TRIAL_ENDS):
        report(table, end(f"other-{number}", OTHER))
    ask(table, "t-1", ENDS)
    assert ask(table, "t-2", OTHER, TRIAL_SECONDS - 0.1).verdict is Verdict.WAIT
    assert ask(table, "t-2", OTHER, TRIAL_SECONDS + 0.1).verdict is Verdict.TRIAL


def test_whole_answer_clears_a_request():
    table = suspected()
    updates = report(table, served=[ENDS])
    assert [one.event for one in updates] == [SuspectEvent.CLEARED]
    assert ask(table).verdict is Verdict.FREE
    assert len(table) == 0


def test_requests_beside_the_one_that_is_refused_are_cleared():
    """They ran on the same three targets; only the trial tells them apart."""
    table = SuspectTable()
    for number in range(TRIAL_ENDS):
        report(table, end(f"life-{number}"), end(f"life-{number}", OTHER))
    report(table, end("another-life", b"elsewhere"))
    ask(table)
    updates = report(table, end("life-of-trial", trial="t-1"))
    assert {(one.event, one.digest) for one in updates} >= {
        (SuspectEvent.REFUSED, ENDS),
        (SuspectEvent.CLEARED, OTHER),
    }
    assert table.get(OTHER) is None
    assert table.get(b"elsewhere").ends == 1


def test_end_under_an_old_trial_or_of_another_run_refuses_nothing():
    table = suspected()
    ask(table, "t-1")
    report(table, end("a-life"), end("another", trial="t-0"))
    assert ask(table, "t-2").verdict is Verdict.WAIT


def test_report_that_comes_again_changes_nothing():
    table = suspected()
    before = table.snapshot()
    report(table, end("life-0"), end("life-2"), served=[b"unknown"], released=["none"])
    assert table.snapshot() == before


def test_same_end_seen_by_several_gateways_counts_once():
    table = SuspectTable()
    for _ in range(5):
        report(table, end("life"))
    assert table.get(ENDS).ends == 1


def test_refusal_lapses_into_one_trial():
    table = refused()
    later = REFUSED_SECONDS + 1
    assert ask(table, "t-2", time=later).verdict is Verdict.TRIAL
    report(table, end("mended?", trial="t-2"), time=later + 1)
    assert ask(table, "t-3", time=later + 2).verdict is Verdict.REFUSED


def test_what_was_refused_and_is_served_once_it_lapsed_is_cleared():
    table = refused()
    ask(table, "t-2", time=REFUSED_SECONDS + 1)
    report(table, served=[ENDS], time=REFUSED_SECONDS + 2)
    assert ask(table, time=REFUSED_SECONDS + 3).verdict is Verdict.FREE


@pytest.mark.parametrize(
    ("table", "seconds"), [(suspected(), SUSPECT_SECONDS), (refused(), FORGET_SECONDS)]
)
def test_everything_is_forgotten_some_day(table, seconds):
    report(table, time=seconds - 1)
    assert len(table) == 1
    report(table, time=seconds + 60)
    assert len(table) == 0


def test_operator_lifts_it():
    table = refused()
    updates = table.lift(LiftSuspect(ENDS, "eva", 1.0))
    assert [(one.event, one.why) for one in updates] == [(SuspectEvent.CLEARED, "lifted by eva")]
    assert ask(table).verdict is Verdict.FREE
    assert table.lift(LiftSuspect(ENDS, "eva", 1.0)) == []


def test_clock_that_steps_back_undoes_nothing():
    table = refused()
    report(table, time=100.0)
    assert ask(table, "t-2", time=-500.0).seconds == REFUSED_SECONDS - 100.0


def test_one_customer_cannot_push_out_what_is_held_of_another():
    table = refused()
    for number in range(MOST_OF_CUSTOMER * 3):
        report(table, end(f"life-{number}", b"%d" % number, customer="bert"))
    assert ask(table).verdict is Verdict.REFUSED
    assert len(table) == MOST_OF_CUSTOMER + 1


def test_table_is_bounded_and_keeps_what_is_refused():
    table = refused()
    for number in range(MOST_SUSPECTS + 500):
        customer = f"customer-{number % 40}"
        report(table, end(f"life-{number}", b"%d" % number, customer=customer))
    assert len(table) == MOST_SUSPECTS
    assert ask(table).verdict is Verdict.REFUSED
    assert len(table.snapshot()) < 2_500_000


def test_snapshot_holds_everything():
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
def test_watchers_that_apply_changes_hold_what_is_told(steps):
    """Whatever each of them missed, in any order, also past a snapshot."""
    table = SuspectTable()
    watchers = [(0, {}) for _ in range(3)]
    time = 0.0

    def watch(number):
        version, held = watchers[number]
        changes = table.since(version)
        if changes.full:
            held = {}
        held = held | {row.digest: row.ends for row in changes.suspects}
        held = {digest: ends for digest, ends in held.items() if digest not in changes.removed}
        watchers[number] = (changes.version, held)

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
        assert watchers[number][1] == {row.digest: row.ends for row in table.listed()}
        assert watchers[number][0] == table.version
