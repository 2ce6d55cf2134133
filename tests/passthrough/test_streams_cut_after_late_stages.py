"""A stream whose stages end too late to complete it is refused, not begun and cut off.

The failure: all workers of a stage were unavailable for most of the time that their requests had.
The stages ended shortly before the deadline, and it cut off each stream that then began.
"""

import asyncio

import aiohttp
import pytest

from tests.support.site import STAGED, entities, play
from traystall.core import clock
from traystall.permits.lenders import LenderRanking

EVENTS = 10
STREAM_SECONDS = 1.0
# The route's timeout is 5 s: a stream that begins after this time can't be completed.
UNAVAILABLE_SECONDS = 4.5
CALLS = 12
CALL_INTERVAL_SECONDS = 0.05
# A stream that nearly takes the route's timeout.
SLOW_STREAM_SECONDS = 4.6
# Each of two stages then takes this long, so that less than that is left for the stream.
SLOW_CALL_SECONDS = 0.25
MAX_RECOVERY_SECONDS = 10.0


async def start_targets(site, stream_seconds=STREAM_SECONDS):
    """Start engines and workers, and serve each gateway's callers once."""
    for _ in range(2):
        engine = await site.add("engine", events=EVENTS)
        engine.event_seconds = stream_seconds / EVENTS
    workers = [await site.add("batches", batch=4) for _ in range(2)]
    await site.group.apply_entities("a", 1, entities())
    async with asyncio.timeout(20):
        for number in range(len(site.gateways)):
            while await call(site, number) != (200, True):
                await asyncio.sleep(0.05)
    return workers


async def call(site, number):
    """Return the status of a response and whether it was complete."""
    try:
        status, body = await site.call(number, "/staged/x", **STAGED)
    except aiohttp.ClientPayloadError:
        return 200, False
    return status, status != 200 or body.count(b"id: ") == EVENTS


async def call_repeatedly(site):
    calls = []
    for number in range(CALLS):
        calls.append(asyncio.create_task(call(site, number % len(site.gateways))))
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    return await asyncio.gather(*calls)


def workers_back_off(workers, monkeypatch):
    for worker in workers:
        worker.rests.extend([str(UNAVAILABLE_SECONDS)] * 2)


def workers_have_no_lender(workers, monkeypatch):
    """Make the workers brittle while no gateway leases out their places."""
    lends_at = clock.monotonic() + UNAVAILABLE_SECONDS
    part = LenderRanking.part

    def part_later(ranking, life, data_centre, now):
        return part(ranking, life, data_centre, now) if now >= lends_at else 0.0

    monkeypatch.setattr(LenderRanking, "part", part_later)
    for worker in workers:
        worker.brittle = 3


def workers_end(workers, monkeypatch):
    """End the workers, and start them again after a while."""
    for worker in workers:
        worker.end()

    async def start_again():
        await asyncio.sleep(UNAVAILABLE_SECONDS)
        for worker in workers:
            await worker.start_again()

    return asyncio.create_task(start_again())


@pytest.mark.parametrize(
    ("make_unavailable", "idle_seconds"),
    [
        (workers_back_off, 0.0),
        (workers_have_no_lender, 0.0),
        (workers_have_no_lender, 6.0),
        (workers_end, 0.0),
    ],
)
def test_stream_is_refused_if_its_stages_end_too_late(
    tmp_path, monkeypatch, make_unavailable, idle_seconds
):
    async def scenario(site):
        workers = await start_targets(site)
        await asyncio.sleep(idle_seconds)
        restart = make_unavailable(workers, monkeypatch)
        answers = await call_repeatedly(site)
        if restart is not None:
            await restart
        assert all(is_complete for _, is_complete in answers), answers
        assert {status for status, _ in answers} <= {200, 503}, answers

    play(tmp_path, scenario)


def test_streams_are_served_again_after_a_time_in_which_they_were_slow(tmp_path):
    """What slow streams took must not refuse all later ones, which would be the only evidence."""

    async def scenario(site):
        workers = await start_targets(site, SLOW_STREAM_SECONDS)
        engines = [runner for runner in site.runners if runner.events]
        for engine in engines:
            engine.event_seconds = 0.0
        for worker in workers:
            worker.call_seconds = SLOW_CALL_SECONDS
        async with asyncio.timeout(MAX_RECOVERY_SECONDS):
            for number in range(len(site.gateways)):
                while await call(site, number) != (200, True):
                    await asyncio.sleep(0.1)

    play(tmp_path, scenario)
