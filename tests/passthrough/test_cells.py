"""Which data centres batch for themselves, and who batches in each."""

import asyncio
from collections import Counter

import pytest

from tests.passthrough.test_owners import row
from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock
from traystall.passthrough.cells import WHOLE, batching_cells, cell_of, other_cell
from traystall.passthrough.owners import batching_key, rank
from traystall.registry.models import TargetReport

ENOUGH = Counter(a=3, b=3, c=2)


@pytest.mark.parametrize(
    ("pools", "expected"),
    [
        ([], ()),
        ([Counter(a=9)], ()),
        ([Counter(a=1, b=1, c=1)], ()),
        ([ENOUGH, ENOUGH], ("a", "b", "c")),
        ([ENOUGH, Counter(a=1, b=1, c=1)], ()),
        ([ENOUGH, Counter(a=4, b=4)], ()),
        ([Counter(a=2, b=2, c=1)], ("a", "b", "c")),
    ],
)
def test_work_is_split_where_every_data_centre_has_workers_enough(pools, expected):
    assert batching_cells(pools) == expected


def test_request_is_made_where_its_results_are_read():
    cells = ("a", "b", "c")
    assert cell_of("r", "b", cells) == "b"
    assert cell_of("r", "b", ()) == WHOLE
    spread = Counter(cell_of(str(i), "elsewhere", cells) for i in range(300))
    assert set(spread) == set(cells) and min(spread.values()) > 60


def test_other_cell_is_inside_the_customers_places():
    cells = ("a", "b", "c")
    assert {other_cell(str(i), "a", cells, ()) for i in range(50)} == {"b", "c"}
    assert {other_cell(str(i), "a", cells, ("a", "c")) for i in range(50)} == {"c"}
    assert other_cell("r", "a", cells, ("a",)) == WHOLE
    assert other_cell("r", WHOLE, (), ()) == WHOLE


def test_cell_is_gathered_inside_as_long_as_a_gateway_is_there():
    rows = [row(name) for name in "abcdef"]
    for found, place in zip(rows, "xxyyzz", strict=True):
        found.data_centre = place
    inside = {found.identity for found in rows if found.data_centre == "y"}
    assert set(rank(rows, batching_key("y"), 100.0, "y")) == inside
    left = [found for found in rows if found.identity not in inside]
    assert len(rank(left, batching_key("y"), 100.0, "y")) == 4


async def _play(full_cell, headers, calls=4):
    """Run staged requests against two workers in each of two data centres."""
    engine = await Runner("e-1", events=3).start()
    workers = {}
    for place in ("here", "there"):
        workers[place] = [await Runner(f"s-{place}-{i}", batch=4).start() for i in range(2)]
    try:
        async with EmulatedGateway(table(stages=STAGES), [("engine", engine)]) as gateway:
            for place, runners in workers.items():
                for runner in runners:
                    report = TargetReport(runner.identity, "batches", runner.address, place)
                    gateway.context.board.merge(report, clock.monotonic())
            assert gateway.context.cells() == ("here", "there")
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
    def refused(arrival, waiting, rates, now):
        return admit(arrival, waiting, {pool: 0.0 for pool in rates}, now)

    return refused


HEADERS = {"Traystall-Pieces": "3,2", "Traystall-Piece-Key": "pk"}


def test_pieces_stay_in_the_data_centre_of_the_engine():
    answers, workers = run(_play("", HEADERS))
    assert [status for status, _, _ in answers] == [200] * 4
    assert sum(len(runner.calls) for runner in workers["here"]) > 0
    assert [runner.calls for runner in workers["there"]] == [[], []]


def test_request_that_one_cell_refuses_is_made_in_another():
    answers, workers = run(_play("here", HEADERS))
    assert [status for status, _, _ in answers] == [200] * 4
    assert [runner.calls for runner in workers["here"]] == [[], []]
