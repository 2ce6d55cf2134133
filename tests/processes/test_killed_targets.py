"""A response without a length does not look whole if the target's process is killed inside it."""

import asyncio
import contextlib
from collections import Counter

import aiohttp
import pytest

from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.target_process import TargetProcess
from traystall.core import clock

REQUESTS = 12
TARGETS = 3
EVENTS = 24
EVENT_SECONDS = 0.05
# In the middle of each response.
KILL_AFTER_SECONDS = 0.45
BODY = b"x" * 6400
STREAM = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
# Path and pool, and whether the route's streams may be resumed.
ROUTES = [
    ("/events/x", "engine", True),
    ("/events/x", "engine", False),
    ("/again/x", "plain", False),
    ("/once/x", "plain", False),
]


@contextlib.contextmanager
def started_targets(pool, leaves=False):
    """Return targets that are processes of their own."""
    events = EVENTS if pool == "engine" else 0
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(TargetProcess(f"t-{number}", events, EVENT_SECONDS, leaves))
            for number in range(TARGETS)
        ]


async def call(gateway, path):
    """Return "whole", "short" (complete to the caller, but not whole), "broken" or a status."""
    try:
        status, _, received = await gateway.call(path, BODY)
    except aiohttp.ClientError:
        return "broken"
    if status != 200:
        return str(status)
    return "whole" if received in (STREAM, b"answer to " + BODY) else "short"


async def outcomes(targets, path, pool, resumable, killed):
    """Send requests at once, kill targets in the middle, and return the outcomes and seconds."""
    routing = table(timeout=8.0, resumable=resumable, max_attempts=3)
    async with EmulatedGateway(routing, [(pool, target) for target in targets]) as gateway:
        began = clock.monotonic()
        calls = asyncio.gather(*(call(gateway, path) for _ in range(REQUESTS)))
        await asyncio.sleep(KILL_AFTER_SECONDS)
        for target in targets[:killed]:
            await asyncio.to_thread(target.kill)
        return Counter(await calls), clock.monotonic() - began


@pytest.mark.parametrize(("path", "pool", "resumable"), ROUTES)
@pytest.mark.parametrize("killed", [1, 2, 3])
def test_response_does_not_look_whole_when_its_target_is_killed(path, pool, resumable, killed):
    with started_targets(pool) as targets:
        found, _ = run(outcomes(targets, path, pool, resumable, killed))
    assert not found["short"], found
    assert found.total() == REQUESTS


@pytest.mark.parametrize(("path", "pool", "resumable"), ROUTES)
def test_responses_of_living_targets_are_whole(path, pool, resumable):
    with started_targets(pool) as targets:
        found, _ = run(outcomes(targets, path, pool, resumable, 0))
    assert found == {"whole": REQUESTS}


@pytest.mark.parametrize(("path", "pool", "resumable"), [ROUTES[0], ROUTES[2]])
def test_request_that_may_run_again_goes_on_elsewhere_when_its_target_is_killed(
    path, pool, resumable
):
    with started_targets(pool) as targets:
        found, _ = run(outcomes(targets, path, pool, resumable, 1))
    assert found == {"whole": REQUESTS}
