"""Which pieces a free target gets: order, home, room, and the places of customers."""

import msgspec

from traystall.passthrough.stages.batching import FreeTarget, PieceJob, select_batch
from traystall.passthrough.stages.chain import away_bytes
from traystall.routes.models import BatchProfile, StagePlan


def job(name, due=1.0, size=0, deadline=9.0):
    return PieceJob(name, name, 0, 0, "k", (), 0, due, deadline, size)


PROFILE = BatchProfile(batch=2, room_bytes=10)
HEAVY = 3_000_000


def test_most_pressing_pieces_go_first():
    jobs = [job("c", 3.0), job("a", 1.0), job("b", 2.0)]
    assert [j.call_id for j in select_batch(jobs, PROFILE, 10, 0.0)] == ["a", "b"]


def test_of_equal_urgency_what_is_late_waits_behind_what_can_be_in_time():
    jobs = [job("late", 0.0), job("soon", 3.0), job("later", 4.0)]
    assert [j.call_id for j in select_batch(jobs, PROFILE, 10, 2.0)] == ["soon", "later"]


def at(place, **home_waits):
    return FreeTarget(place, 1, home_waits)


def away(away_bytes=HEAVY, name="away", home="there"):
    return PieceJob(name, name, 0, 0, "k", (), 0, 3.0, 9.0, 0, home, away_bytes=away_bytes)


LARGE = BatchProfile(batch=8, room_bytes=HEAVY)


def test_piece_waits_for_a_worker_where_its_result_is_read():
    job = away()
    assert select_batch([job], LARGE, HEAVY, 1.0, at("here", there=0.1)) == []
    assert select_batch([job], LARGE, HEAVY, 1.0, at("there", there=0.1)) == [job]
    assert select_batch([job], LARGE, HEAVY, 2.95, at("here", there=0.1)) == [job], "it is pressing"


def test_heavy_piece_waits_for_its_home_also_in_a_crowd():
    crowded = BatchProfile(batch=2, room_bytes=HEAVY)
    assert select_batch([away()], crowded, HEAVY, 1.0, at("here", there=0.1)) == []
    light = away(60_000)
    assert select_batch([light], crowded, HEAVY, 1.0, at("here", there=0.0)) == [light]


def test_to_let_much_cross_for_what_is_late_anyway_helps_nobody():
    job = away()
    assert select_batch([job], LARGE, HEAVY, 3.1, at("here", there=0.1)) == [job]
    assert select_batch([job], LARGE, HEAVY, 3.5, at("here", there=0.1)) == []
    assert select_batch([job], LARGE, HEAVY, 3.5, at("here", there=0.5)) == [job], "a long wait"
    assert select_batch([job], LARGE, HEAVY, 3.5, at("here")) == [job], "there is no worker there"


def test_pieces_of_a_stage_are_weighed_together():
    jobs = [away(60_000), away(60_000), away(60_000)]
    assert select_batch(jobs[:1], LARGE, HEAVY, 1.0, at("here", there=0.01)) == jobs[:1]
    assert select_batch(jobs, LARGE, HEAVY, 1.0, at("here", there=0.01)) == []


def test_piece_goes_away_where_waiting_would_make_it_late():
    job = away(500_000)
    assert select_batch([job], LARGE, HEAVY, 2.6, at("here", there=0.0)) == []
    job = away(5_000_000)
    assert select_batch([job], LARGE, HEAVY, 2.6, at("here", there=0.2)) == [], "it is in time"
    assert select_batch([job], LARGE, HEAVY, 2.6, at("here", there=0.3)) == [job]
    assert select_batch([job], LARGE, HEAVY, 2.6, at("here")) == [job], "there is no worker there"


def test_a_long_queue_at_home_lets_later_ones_go_away_in_time():
    """Calls of an idle target must not stay empty while a crowd waits elsewhere."""
    jobs = [away(name=f"call-{number:02}") for number in range(20)]
    target = FreeTarget("here", 2, {"here": 0.0, "there": 0.1}, {"here": 10.0, "there": 10.0})
    taken = select_batch(jobs, BatchProfile(batch=8, room_bytes=HEAVY), HEAVY, 1.0, target)
    assert taken == jobs[2:10], "the first two wait 0.1 and 0.2 s at home, less than 3 MB cost"
    swift = FreeTarget("here", 2, {"here": 0.0, "there": 0.1}, {"here": 10.0, "there": 100.0})
    taken = select_batch(jobs, BatchProfile(batch=8, room_bytes=HEAVY), HEAVY, 1.0, swift)
    assert taken == [], "all twenty are made at home within 0.3 s"


def test_targets_whose_room_is_all_taken_by_others_make_nothing():
    """Seen once on the bench: such a rate of 0 ended the gateway (trouble-2, seed 20261203)."""
    jobs = [away(name=f"call-{number}") for number in range(3)]
    target = FreeTarget("here", 2, {"here": 0.0, "there": 0.1}, {"here": 10.0, "there": 0.0})
    assert select_batch(jobs, LARGE, 3 * HEAVY, 1.0, target) == jobs[1:]


def test_piece_that_moves_little_does_not_wait_long():
    job = away(60_000)
    assert select_batch([job], LARGE, HEAVY, 1.0, at("here", there=0.005)) == []
    assert select_batch([job], LARGE, HEAVY, 1.0, at("here", there=0.01)) == [job]


def test_stage_without_a_home_is_not_begun_where_nobody_can_read_its_results():
    job = msgspec.structs.replace(away(0, home=""), apart_bytes=HEAVY, next_pools=("later",))
    waits = {"here": 0.0, "there": 0.1}
    lacking = FreeTarget("here", 1, waits, lacks=frozenset({"later"}))
    assert select_batch([job], LARGE, HEAVY, 1.0, lacking) == []
    assert select_batch([job], LARGE, HEAVY, 1.0, FreeTarget("here", 1, waits)) == [job]


def test_customers_places_bind_whatever_crosses():
    bound = PieceJob("b", "b", 0, 0, "k", (), 0, 3.0, 9.0, 6, "there", places=("there",))
    profile = BatchProfile(batch=8, room_bytes=HEAVY)
    assert select_batch([bound], profile, HEAVY, 8.9, at("here", there=5.0)) == []


def test_what_crosses_is_the_inputs_and_the_result_as_often_as_it_is_read():
    stages = (
        StagePlan("a", (), 3_000_000),
        StagePlan("a", (), 8_000),
        StagePlan("b", (1,), 60_000),
        StagePlan("c", (2,), 6_000),
    )
    found = [away_bytes(stages, [2, 1, 8, 16], index) for index in range(4)]
    assert found == [3_000_000, 64_000, 8_000 + 16 * 60_000, 8 * 60_000 + 6_000]


def test_urgent_pieces_go_first():
    urgent = PieceJob("u", "u", 0, 0, "k", (), 0, 5.0, 9.0, 0)
    usual = PieceJob("v", "v", 0, 0, "k", (), 2, 1.0, 9.0, 0)
    assert select_batch([usual, urgent], PROFILE, 10, 0.0) == [urgent, usual]


def stage(name, pieces, size, due=1.0):
    return [PieceJob(name, name, 0, i, "k", (), 0, due, 9.0, size) for i in range(pieces)]


def test_half_a_stage_is_not_begun():
    profile = BatchProfile(batch=8, room_bytes=100)
    jobs = [*stage("large", 6, 10, due=1.0), *stage("small", 2, 10, due=2.0)]
    taken = select_batch(jobs, profile, 40, 0.0)
    assert {job.call_id for job in taken} == {"small"}
    begun = select_batch(jobs, profile, 40, 0.0, started=frozenset({"large"}))
    assert [job.call_id for job in begun] == ["large"] * 4


def test_stage_larger_than_any_target_is_made_in_parts():
    profile = BatchProfile(batch=8, room_bytes=100)
    assert len(select_batch(stage("huge", 12, 10), profile, 40, 0.0)) == 4


def test_room_and_deadline_bound_a_batch():
    jobs = [job("big", 1.0, 8), job("big too", 2.0, 8), job("small", 3.0, 1), job("over", 0, 0, 0)]
    profile = BatchProfile(batch=2, room_bytes=100)
    assert [j.call_id for j in select_batch(jobs, profile, 10, 0.0)] == ["big", "small"]
