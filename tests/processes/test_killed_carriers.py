"""A response without a length whose tunnel ends with its gateway's process does not look whole."""

import asyncio
import signal

import pytest

from tests.support.emulator.gateway import run
from tests.support.tunnel_site import BODY, PLAIN, STREAMS, started

REQUESTS = 12
# In the middle of each response.
KILL_AFTER_SECONDS = 0.45


def end_carrier(process, how):
    """End the process of a gateway without giving it a chance to close anything itself."""
    if how == "stopped and killed":
        process.send(signal.SIGSTOP)
    process.kill()


async def outcomes(site, path, killed, how="killed"):
    """Send requests at once, end `killed` carriers in the middle, and return the outcomes."""
    for target in site.targets:
        target.runner.is_unframed = True
        target.runner.faults.extend(
            ["unframed slowly"] * REQUESTS if path in PLAIN.values() else ()
        )
    calls = asyncio.create_task(site.call_all(path, REQUESTS, BODY))
    await asyncio.sleep(KILL_AFTER_SECONDS)
    for process in site.gateways[:killed]:
        await asyncio.to_thread(end_carrier, process, how)
    return await calls


@pytest.mark.parametrize("path", [*STREAMS.values(), *PLAIN.values()])
@pytest.mark.parametrize("how", ["killed", "stopped and killed"])
def test_response_does_not_look_whole_when_all_carriers_are_killed(tmp_path, path, how):
    async def scenario():
        async with started(tmp_path) as site:
            found = await outcomes(site, path, 2, how)
            assert not found["short"], found
            assert found.total() == REQUESTS

    run(scenario())


@pytest.mark.parametrize("path", [*STREAMS.values(), *PLAIN.values()])
def test_no_response_looks_whole_when_one_of_two_carriers_is_killed(tmp_path, path):
    async def scenario():
        async with started(tmp_path) as site:
            found = await outcomes(site, path, 1)
            assert not found["short"], found
            assert found.total() == REQUESTS

    run(scenario())


@pytest.mark.parametrize("path", [*STREAMS.values(), *PLAIN.values()])
def test_responses_are_whole_while_carriers_live(tmp_path, path):
    async def scenario():
        async with started(tmp_path) as site:
            assert await outcomes(site, path, 0) == {"whole": REQUESTS}

    run(scenario())
