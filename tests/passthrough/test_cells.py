"""Which data centres batch for themselves, and who batches in each."""

import asyncio
import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.passthrough.test_owners import row
from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock
from traystall.passthrough.ownership.owners import batching_key, rank_owners
from traystall.passthrough.stages.cells import (
    WHOLE_SYSTEM,
    Cells,
    balanced_cell,
    batching_cells,
    cell_of,
    fallback_cell,
)
from traystall.registry.models import TargetReport
from traystall.routes.models import StagePlan

ENOUGH = Counter(a=3, b=3, c=2)
FIVE = Counter(dict.fromkeys("abcde", 4))


@pytest.mark.parametrize(
    ("pools", "expected"),
    [
        ([], ()),
        ([Counter(a=9)], ()),
        ([Counter(a=1, b=1, c=1)], ()),
        ([ENOUGH, ENOUGH], (("a",), ("b",), ("c",))),
        ([ENOUGH, Counter(a=1, b=1, c=1)], ()),
        ([Counter(a=2, b=2, c=1)], (("a",), ("b",), ("c",))),
    ],
)
def test_work_is_split_where_every_data_centre_has_workers_enough(pools, expected):
    assert tuple(batching_cells(pools).members.values()) == expected


@pytest.mark.parametrize(
    ("pools", "expected"),
    [
        # None of a pool in one data centre: it goes with the next weakest.
        ([ENOUGH, Counter(a=4, b=4)], (("a", "c"), ("b",))),
        # Three of ten workers are lost, in one data centre each or both of one.
        ([FIVE, Counter(a=2, b=2, c=1, d=1, e=1)], (("a",), ("b",), ("c", "d"), ("e",))),
        ([FIVE, Counter(a=2, b=2, c=2, d=1)], (("a",), ("b",), ("c",), ("d", "e"))),
        # What is left is enough for two.
        ([FIVE, Counter(a=2, c=2)], (("a", "b", "e"), ("c", "d"))),
    ],
)
def test_data_centres_that_lack_workers_are_batched_with_another(pools, expected):
    assert tuple(batching_cells(pools).members.values()) == expected


@settings(max_examples=300, deadline=None)
@given(pools=st.lists(st.lists(st.integers(0, 5), min_size=5, max_size=5), min_size=1, max_size=3))
def test_every_cell_has_workers_of_every_pool_and_every_data_centre_a_cell(pools):
    counts = [Counter({n: k for n, k in zip("abcde", row, strict=True) if k}) for row in pools]
    cells = batching_cells(counts)
    known = sorted(set().union(*counts))
    if not cells:
        return
    assert sorted(name for inside in cells.members.values() for name in inside) == known
    for workers in counts:
        assert all(sum(workers[n] for n in inside) for inside in cells.members.values())
        assert workers.total() >= 1.5 * len(cells)


def test_the_loss_of_one_worker_moves_few_data_centres():
    """Queues move with their cells: only those that lack workers may be joined anew."""
    whole = Counter(dict.fromkeys("abcde", 2))
    before = batching_cells([FIVE, whole])
    for lost in "abcde":
        after = batching_cells([FIVE, whole - Counter([lost])])
        assert len(after) == len(before) == 5


def test_request_is_made_where_its_results_are_read():
    cells = Cells({"a": ("a", "d"), "b": ("b",), "c": ("c",)})
    assert cell_of("r", "b", cells) == "b"
    assert cell_of("r", "d", cells) == "a"
    assert cell_of("r", "b", Cells()) == WHOLE_SYSTEM
    spread = Counter(cell_of(str(i), "elsewhere", cells) for i in range(300))
    assert set(spread) == set(cells.names()) and min(spread.values()) > 60


def test_other_cell_is_inside_the_customers_places():
    cells = Cells({name: (name,) for name in "abc"})
    assert {fallback_cell(str(i), "a", cells, ()) for i in range(50)} == {"b", "c"}
    assert {fallback_cell(str(i), "a", cells, ("a", "c")) for i in range(50)} == {"c"}
    assert fallback_cell("r", "a", cells, ("a",)) == WHOLE_SYSTEM
    assert fallback_cell("r", WHOLE_SYSTEM, Cells(), ()) == WHOLE_SYSTEM


def test_cell_is_gathered_inside_as_long_as_a_gateway_is_there():
    rows = [row(name) for name in "abcdef"]
    for found, place in zip(rows, "xxyyzz", strict=True):
        found.data_centre = place
    inside = {found.identity for found in rows if found.data_centre == "y"}
    assert set(rank_owners(rows, batching_key("y"), 100.0, ("y",))) == inside
    left = [found for found in rows if found.identity not in inside]
    assert len(rank_owners(left, batching_key("y"), 100.0, ("y",))) == 4


async def _play(full_cell, headers, calls=4, stages=STAGES):
    """Run staged requests against two workers in each of two data centres, an engine in one."""
    engine = await Runner("e-1", events=3).start()
    workers = {}
    for place in ("here", "there"):
        workers[place] = [await Runner(f"s-{place}-{i}", batch=4).start() for i in range(2)]
    try:
        async with EmulatedGateway(table(stages=stages), [("engine", engine)]) as gateway:
            for place, runners in workers.items():
                for runner in runners:
                    report = TargetReport(runner.identity, "batches", runner.address, place)
                    gateway.context.board.merge(report, clock.monotonic())
            assert gateway.context.cells().names() == ["here", "there"]
            if full_cell:
                book = gateway.context.batcher._book(full_cell)
                book.admit = _refuse(book.admit)
            answers = await asyncio.gather(
                *(gateway.call("/staged/x", **headers) for _ in range(calls))
            )
            while any(runner.held for runner in [*workers["here"], *workers["there"]]):
                await asyncio.sleep(0.01)
            return answers, workers
    finally:
        for runner in [engine, *workers["here"], *workers["there"]]:
            await runner.stop()


def _refuse(admit):
    def refused(arrival, loads, now, shared_pools):
        idle = {p: msgspec.structs.replace(load, rate=0.0) for p, load in loads.items()}
        return admit(arrival, idle, now)

    return refused


HEADERS = {"Traystall-Pieces": "3,2", "Traystall-Piece-Key": "pk"}


def test_heavy_pieces_stay_in_the_data_centre_of_the_engine():
    heavy = (StagePlan("batches", (), 400_000), StagePlan("batches", (0,), 10))
    answers, workers = run(_play("", HEADERS, stages=heavy))
    assert [status for status, _, _ in answers] == [200] * 4
    assert sum(len(runner.calls) for runner in workers["here"]) > 0
    assert [runner.calls for runner in workers["there"]] == [[], []]


def test_light_pieces_use_the_workers_of_both_data_centres():
    """The engine is in one of them; the workers of the other one would stand idle."""
    answers, workers = run(_play("", HEADERS, calls=12))
    assert [status for status, _, _ in answers] == [200] * 12
    assert all(sum(len(r.calls) for r in runners) > 0 for runners in workers.values())


def test_request_that_one_cell_refuses_is_made_in_another():
    answers, workers = run(_play("here", HEADERS))
    assert [status for status, _, _ in answers] == [200] * 4
    assert [runner.calls for runner in workers["here"]] == [[], []]


THREE = Cells({"a": ("a",), "b": ("b",), "c": ("c",)})
EVEN = Counter(a=23, b=23, c=24)


def spread(pools, engines, requests=6000):
    """Return the part of the requests that each cell gets, engines being drawn by their number."""
    draw = random.Random(1)
    homes = draw.choices(list(engines), list(engines.values()), k=requests)
    found = Counter(
        balanced_cell(f"r{number}", home, THREE, pools, engines)
        for number, home in enumerate(homes)
    )
    return {name: found[name] / requests for name in THREE.names()}


def test_cell_with_fewer_workers_hands_on_what_is_above_its_part():
    """Two of eight workers would get a third of the work, and be full while others are not."""
    found = spread([Counter(a=3, b=3, c=2), Counter(a=4, b=4, c=3)], EVEN)
    assert found["c"] == pytest.approx(2 / 8, abs=0.03)
    assert found["a"] == pytest.approx(found["b"], abs=0.03)


def test_even_cells_keep_what_is_theirs():
    for number in range(200):
        for home in "abc":
            args = (f"r{number}", home, THREE, [Counter(a=3, b=3, c=3)], Counter(a=5, b=5, c=5))
            assert balanced_cell(*args) == home


def test_cell_without_workers_of_a_pool_gets_nothing():
    found = spread([Counter(a=3, b=3), Counter(a=4, b=4, c=3)], EVEN)
    assert found["c"] == 0


@given(
    st.lists(st.dictionaries(st.sampled_from("abc"), st.integers(0, 9)), max_size=4),
    st.dictionaries(st.sampled_from("abc"), st.integers(0, 30)),
    st.sampled_from("abc"),
)
def test_every_request_has_a_cell_whatever_is_left(pools, engines, home):
    pools = [Counter(pool) for pool in pools]
    found = {balanced_cell(f"r{n}", home, THREE, pools, Counter(engines)) for n in range(20)}
    assert found <= set("abc")
