"""Test the division of data centres into cells, and the choice of a cell and its batcher."""

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

ENOUGH_WORKERS = Counter(a=3, b=3, c=2)
FIVE_DATA_CENTRES = Counter(dict.fromkeys("abcde", 4))


@pytest.mark.parametrize(
    ("pools", "expected"),
    [
        ([], ()),
        ([Counter(a=9)], ()),
        ([Counter(a=1, b=1, c=1)], ()),
        ([ENOUGH_WORKERS, ENOUGH_WORKERS], (("a",), ("b",), ("c",))),
        ([ENOUGH_WORKERS, Counter(a=1, b=1, c=1)], ()),
        ([Counter(a=2, b=2, c=1)], (("a",), ("b",), ("c",))),
    ],
)
def test_each_data_centre_with_enough_workers_is_a_cell(pools, expected):
    assert tuple(batching_cells(pools).members.values()) == expected


@pytest.mark.parametrize(
    ("pools", "expected"),
    [
        # A data centre without workers of a pool joins the next weakest one.
        ([ENOUGH_WORKERS, Counter(a=4, b=4)], (("a", "c"), ("b",))),
        # Three of ten workers are lost, in three data centres or two of them in the same one.
        (
            [FIVE_DATA_CENTRES, Counter(a=2, b=2, c=1, d=1, e=1)],
            (("a",), ("b",), ("c", "d"), ("e",)),
        ),
        ([FIVE_DATA_CENTRES, Counter(a=2, b=2, c=2, d=1)], (("a",), ("b",), ("c",), ("d", "e"))),
        # The remaining workers are enough for two cells.
        ([FIVE_DATA_CENTRES, Counter(a=2, c=2)], (("a", "b", "e"), ("c", "d"))),
    ],
)
def test_data_centres_with_too_few_workers_share_a_cell(pools, expected):
    assert tuple(batching_cells(pools).members.values()) == expected


@settings(max_examples=300, deadline=None)
@given(pools=st.lists(st.lists(st.integers(0, 5), min_size=5, max_size=5), min_size=1, max_size=3))
def test_cells_cover_all_data_centres_and_have_workers_of_every_pool(pools):
    counts = [Counter({n: k for n, k in zip("abcde", row, strict=True) if k}) for row in pools]
    cells = batching_cells(counts)
    known = sorted(set().union(*counts))
    if not cells:
        return
    assert sorted(name for inside in cells.members.values() for name in inside) == known
    for workers in counts:
        assert all(sum(workers[n] for n in inside) for inside in cells.members.values())
        assert workers.total() >= 1.5 * len(cells)


def test_loss_of_one_worker_changes_no_cell():
    """Queues move with their cells, so only cells with too few workers may be merged."""
    whole = Counter(dict.fromkeys("abcde", 2))
    before = batching_cells([FIVE_DATA_CENTRES, whole])
    for lost in "abcde":
        after = batching_cells([FIVE_DATA_CENTRES, whole - Counter([lost])])
        assert len(after) == len(before) == 5


def test_request_runs_in_the_cell_that_reads_its_results():
    cells = Cells({"a": ("a", "d"), "b": ("b",), "c": ("c",)})
    assert cell_of("r", "b", cells) == "b"
    assert cell_of("r", "d", cells) == "a"
    assert cell_of("r", "b", Cells()) == WHOLE_SYSTEM
    spread = Counter(cell_of(str(i), "elsewhere", cells) for i in range(300))
    assert set(spread) == set(cells.names()) and min(spread.values()) > 60


def test_fallback_cell_is_within_the_customers_data_centres():
    cells = Cells({name: (name,) for name in "abc"})
    assert {fallback_cell(str(i), "a", cells, ()) for i in range(50)} == {"b", "c"}
    assert {fallback_cell(str(i), "a", cells, ("a", "c")) for i in range(50)} == {"c"}
    assert fallback_cell("r", "a", cells, ("a",)) == WHOLE_SYSTEM
    assert fallback_cell("r", WHOLE_SYSTEM, Cells(), ()) == WHOLE_SYSTEM


def test_batcher_of_a_cell_is_a_gateway_of_the_cell_if_there_is_one():
    rows = [row(name) for name in "abcdef"]
    for found, place in zip(rows, "xxyyzz", strict=True):
        found.data_centre = place
    inside = {found.identity for found in rows if found.data_centre == "y"}
    assert set(rank_owners(rows, batching_key("y"), 100.0, ("y",))) == inside
    left = [found for found in rows if found.identity not in inside]
    assert len(rank_owners(left, batching_key("y"), 100.0, ("y",))) == 4


async def run_staged_requests(refusing_cell, headers, calls=4, stages=STAGES):
    """Run staged requests with two workers in each of two data centres and an engine in one.

    The batcher of `refusing_cell` admits no request.
    """
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
            if refusing_cell:
                book = gateway.context.batcher._admission_controller(refusing_cell)
                book.admit = _refuse_all(book.admit)
            answers = await asyncio.gather(
                *(gateway.call("/staged/x", **headers) for _ in range(calls))
            )
            while any(runner.held for runner in [*workers["here"], *workers["there"]]):
                await asyncio.sleep(0.01)
            return answers, workers
    finally:
        for runner in [engine, *workers["here"], *workers["there"]]:
            await runner.stop()


def _refuse_all(admit):
    def refused(arrival, loads, now, shared_pools):
        idle = {p: msgspec.structs.replace(load, rate=0.0) for p, load in loads.items()}
        return admit(arrival, idle, now)

    return refused


HEADERS = {"Traystall-Pieces": "3,2", "Traystall-Piece-Key": "pk"}


def test_heavy_pieces_stay_in_the_data_centre_of_the_engine():
    heavy = (StagePlan("batches", (), 400_000), StagePlan("batches", (0,), 10))
    answers, workers = run(run_staged_requests("", HEADERS, stages=heavy))
    assert [status for status, _, _ in answers] == [200] * 4
    assert sum(len(runner.calls) for runner in workers["here"]) > 0
    assert [runner.calls for runner in workers["there"]] == [[], []]


def test_light_pieces_use_the_workers_of_both_data_centres():
    """Guards against idle workers in the data centre without an engine."""
    answers, workers = run(run_staged_requests("", HEADERS, calls=12))
    assert [status for status, _, _ in answers] == [200] * 12
    assert all(sum(len(r.calls) for r in runners) > 0 for runners in workers.values())


def test_request_refused_by_one_cell_runs_in_another():
    answers, workers = run(run_staged_requests("here", HEADERS))
    assert [status for status, _, _ in answers] == [200] * 4
    assert [runner.calls for runner in workers["here"]] == [[], []]


THREE_CELLS = Cells({"a": ("a",), "b": ("b",), "c": ("c",)})
EVEN_ENGINES = Counter(a=23, b=23, c=24)


def spread(pools, engines, requests=6000):
    """Return the share of requests of each cell, with requests spread by the number of engines."""
    draw = random.Random(1)
    preferred_cells = draw.choices(list(engines), list(engines.values()), k=requests)
    found = Counter(
        balanced_cell(f"r{number}", preferred, THREE_CELLS, pools, engines)
        for number, preferred in enumerate(preferred_cells)
    )
    return {name: found[name] / requests for name in THREE_CELLS.names()}


def test_cell_with_fewer_workers_passes_on_excess_requests():
    """Guards against overload of a cell: 2 of 8 workers with a third of the engines' requests."""
    found = spread([Counter(a=3, b=3, c=2), Counter(a=4, b=4, c=3)], EVEN_ENGINES)
    assert found["c"] == pytest.approx(2 / 8, abs=0.03)
    assert found["a"] == pytest.approx(found["b"], abs=0.03)


def test_balanced_cells_keep_their_requests():
    for number in range(200):
        for preferred in "abc":
            args = (
                f"r{number}",
                preferred,
                THREE_CELLS,
                [Counter(a=3, b=3, c=3)],
                Counter(a=5, b=5, c=5),
            )
            assert balanced_cell(*args) == preferred


def test_cell_without_workers_of_a_pool_gets_nothing():
    found = spread([Counter(a=3, b=3), Counter(a=4, b=4, c=3)], EVEN_ENGINES)
    assert found["c"] == 0


@given(
    st.lists(st.dictionaries(st.sampled_from("abc"), st.integers(0, 9)), max_size=4),
    st.dictionaries(st.sampled_from("abc"), st.integers(0, 30)),
    st.sampled_from("abc"),
)
def test_every_request_has_a_cell_for_any_set_of_workers(pools, engines, preferred):
    pools = [Counter(pool) for pool in pools]
    found = {
        balanced_cell(f"r{n}", preferred, THREE_CELLS, pools, Counter(engines)) for n in range(20)
    }
    assert found <= set("abc")
