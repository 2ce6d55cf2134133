"""Test the selection of pieces for a call: order, locality, memory, and customers' data centres."""

import msgspec

from traystall.passthrough.stages.batching import FreeTarget, PieceJob, select_batch
from traystall.passthrough.stages.chain import away_bytes
from traystall.routes.models import BatchProfile, StagePlan


def job(name, due=1.0, size=0, deadline=9.0):
    return PieceJob(name, name, 0, 0, "k", (), 0, due, deadline, size)


PROFILE = BatchProfile(batch=2, room_bytes=10)
HEAVY = 3_000_000


def test_pieces_due_first_are_selected_first():
    jobs = [job("c", 3.0), job("a", 1.0), job("b", 2.0)]
    assert [j.call_id for j in select_batch(jobs, PROFILE, 10, 0.0)] == ["a", "b"]


def test_late_pieces_go_after_punctual_pieces_of_the_same_priority():
    jobs = [job("late", 0.0), job("soon", 3.0), job("later", 4.0)]
    assert [j.call_id for j in select_batch(jobs, PROFILE, 10, 2.0)] == ["soon", "later"]


def free_target(place, **waits_by_data_centre):
    return FreeTarget(place, 1, waits_by_data_centre)


def job_away(away_bytes=HEAVY, name="away", home="there"):
    return PieceJob(name, name, 0, 0, "k", (), 0, 3.0, 9.0, 0, home, away_bytes=away_bytes)


LARGE = BatchProfile(batch=8, room_bytes=HEAVY)


def test_piece_waits_for_a_worker_in_its_preferred_data_centre():
    job = job_away()
    assert select_batch([job], LARGE, HEAVY, 1.0, free_target("here", there=0.1)) == []
    assert select_batch([job], LARGE, HEAVY, 1.0, free_target("there", there=0.1)) == [job]
    assert select_batch([job], LARGE, HEAVY, 2.95, free_target("here", there=0.1)) == [job], (
        "it is urgent"
    )


def test_heavy_piece_waits_for_its_data_centre_in_a_crowded_pool():
    crowded = BatchProfile(batch=2, room_bytes=HEAVY)
    assert select_batch([job_away()], crowded, HEAVY, 1.0, free_target("here", there=0.1)) == []
    light = job_away(60_000)
    assert select_batch([light], crowded, HEAVY, 1.0, free_target("here", there=0.0)) == [light]


def test_late_heavy_piece_leaves_its_data_centre_only_after_a_long_wait():
    job = job_away()
    assert select_batch([job], LARGE, HEAVY, 3.1, free_target("here", there=0.1)) == [job]
    assert select_batch([job], LARGE, HEAVY, 3.5, free_target("here", there=0.1)) == []
    assert select_batch([job], LARGE, HEAVY, 3.5, free_target("here", there=0.5)) == [job], (
        "a long wait"
    )
    assert select_batch([job], LARGE, HEAVY, 3.5, free_target("here")) == [job], (
        "no worker in its data centre"
    )


def test_crossing_bytes_count_for_the_whole_stage():
    jobs = [job_away(60_000), job_away(60_000), job_away(60_000)]
    assert select_batch(jobs[:1], LARGE, HEAVY, 1.0, free_target("here", there=0.01)) == jobs[:1]
    assert select_batch(jobs, LARGE, HEAVY, 1.0, free_target("here", there=0.01)) == []


def test_heavy_piece_leaves_its_data_centre_if_waiting_makes_it_late():
    job = job_away(500_000)
    assert select_batch([job], LARGE, HEAVY, 2.6, free_target("here", there=0.0)) == []
    job = job_away(5_000_000)
    assert select_batch([job], LARGE, HEAVY, 2.6, free_target("here", there=0.2)) == [], (
        "it is in time"
    )
    assert select_batch([job], LARGE, HEAVY, 2.6, free_target("here", there=0.3)) == [job]
    assert select_batch([job], LARGE, HEAVY, 2.6, free_target("here")) == [job], (
        "no worker in its data centre"
    )


def test_later_pieces_of_a_long_queue_leave_their_data_centre():
    """Guards against an idle target while many pieces wait for another data centre."""
    jobs = [job_away(name=f"call-{number:02}") for number in range(20)]
    target = FreeTarget("here", 2, {"here": 0.0, "there": 0.1}, {"here": 10.0, "there": 10.0})
    taken = select_batch(jobs, BatchProfile(batch=8, room_bytes=HEAVY), HEAVY, 1.0, target)
    assert taken == jobs[2:10], (
        "the first two wait 0.1 and 0.2 s locally, which costs less than to move 3 MB"
    )
    fast = FreeTarget("here", 2, {"here": 0.0, "there": 0.1}, {"here": 10.0, "there": 100.0})
    taken = select_batch(jobs, BatchProfile(batch=8, room_bytes=HEAVY), HEAVY, 1.0, fast)
    assert taken == [], "all twenty run in their data centre within 0.3 s"


def test_targets_without_free_memory_have_a_rate_of_zero():
    """Guards against a division by a rate of 0, which ended the gateway.

    The rate is 0 while other gateways' results fill the memory of all targets in a data centre.
    It occurred in the benchmark scenario trouble-2 with seed 20261203.
    """
    jobs = [job_away(name=f"call-{number}") for number in range(3)]
    target = FreeTarget("here", 2, {"here": 0.0, "there": 0.1}, {"here": 10.0, "there": 0.0})
    assert select_batch(jobs, LARGE, 3 * HEAVY, 1.0, target) == jobs[1:]


def test_light_piece_waits_only_briefly():
    job = job_away(60_000)
    assert select_batch([job], LARGE, HEAVY, 1.0, free_target("here", there=0.005)) == []
    assert select_batch([job], LARGE, HEAVY, 1.0, free_target("here", there=0.01)) == [job]


def test_stage_does_not_start_where_its_reader_pools_have_no_targets():
    job = msgspec.structs.replace(job_away(0, home=""), split_bytes=HEAVY, reader_pools=("later",))
    waits = {"here": 0.0, "there": 0.1}
    lacking = FreeTarget("here", 1, waits, missing_pools=frozenset({"later"}))
    assert select_batch([job], LARGE, HEAVY, 1.0, lacking) == []
    assert select_batch([job], LARGE, HEAVY, 1.0, FreeTarget("here", 1, waits)) == [job]


def test_customers_data_centres_bind_at_any_cost():
    bound = PieceJob("b", "b", 0, 0, "k", (), 0, 3.0, 9.0, 6, "there", places=("there",))
    profile = BatchProfile(batch=8, room_bytes=HEAVY)
    assert select_batch([bound], profile, HEAVY, 8.9, free_target("here", there=5.0)) == []


def test_away_bytes_count_the_inputs_and_each_read_of_the_result():
    stages = (
        StagePlan("a", (), 3_000_000),
        StagePlan("a", (), 8_000),
        StagePlan("b", (1,), 60_000),
        StagePlan("c", (2,), 6_000),
    )
    found = [away_bytes(stages, [2, 1, 8, 16], index) for index in range(4)]
    assert found == [3_000_000, 64_000, 8_000 + 16 * 60_000, 8 * 60_000 + 6_000]


def test_pieces_of_higher_priority_go_first():
    urgent = PieceJob("u", "u", 0, 0, "k", (), 0, 5.0, 9.0, 0)
    usual = PieceJob("v", "v", 0, 0, "k", (), 2, 1.0, 9.0, 0)
    assert select_batch([usual, urgent], PROFILE, 10, 0.0) == [urgent, usual]


def stage(name, pieces, size, due=1.0):
    return [PieceJob(name, name, 0, i, "k", (), 0, due, 9.0, size) for i in range(pieces)]


def test_stage_starts_only_if_all_its_results_fit():
    profile = BatchProfile(batch=8, room_bytes=100)
    jobs = [*stage("large", 6, 10, due=1.0), *stage("small", 2, 10, due=2.0)]
    taken = select_batch(jobs, profile, 40, 0.0)
    assert {job.call_id for job in taken} == {"small"}
    begun = select_batch(jobs, profile, 40, 0.0, started=frozenset({"large"}))
    assert [job.call_id for job in begun] == ["large"] * 4


def test_stage_larger_than_any_target_runs_in_parts():
    profile = BatchProfile(batch=8, room_bytes=100)
    assert len(select_batch(stage("huge", 12, 10), profile, 40, 0.0)) == 4


def test_memory_and_deadlines_limit_a_batch():
    jobs = [job("big", 1.0, 8), job("big too", 2.0, 8), job("small", 3.0, 1), job("over", 0, 0, 0)]
    profile = BatchProfile(batch=2, room_bytes=100)
    assert [j.call_id for j in select_batch(jobs, profile, 10, 0.0)] == ["big", "small"]
