"""A gateway that reaches no target serves its callers through gateways that do.

The failure: gateways that were partitioned from all targets refused nearly every request, while
their neighbours served the same requests.
"""

import asyncio
import itertools

import pytest

from tests.support.partition import HOW
from tests.support.site import STAGED, entities, play

GATEWAYS = 5
CUT_OFF = (0, 1, 2)
# The finding that a path is broken may take this long after the partition began.
CONTACT_SECONDS = 3.0
# Share of first tries that the cut-off gateways serve, compared with the others.
MIN_RELATIVE_SHARE = 2 / 3
CALL_INTERVAL_SECONDS = 0.05
ROUNDS = 20


async def send_load(site, path, rounds, headers):
    """Send requests to every gateway in turn; return the share of 200 responses by gateway."""
    calls = {number: [] for number in range(len(site.gateways))}
    for _, (number, tasks) in itertools.product(range(rounds), calls.items()):
        tasks.append(asyncio.create_task(site.call(number, path, **headers)))
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    shares = {}
    for number, tasks in calls.items():
        statuses = [status for status, _ in await asyncio.gather(*tasks)]
        shares[number] = statuses.count(200) / len(statuses)
    return shares


async def start_targets(site):
    for _ in range(3):
        await site.add("plain")
    for _ in range(2):
        await site.add("engine", events=4)
        await site.add("batches", batch=4)
    await site.group.apply_entities("a", 1, entities())
    await site.until_all("/plain/x", 200)


def cut_off(site, numbers, how, pool=""):
    addresses = [r.address for r in site.runners if r.identity.startswith(pool)]
    for number in numbers:
        site.partition.cut(f"gateway-{number}", addresses, how)


async def send_through_the_cut(site, path, headers):
    """Send requests while the gateways find out, then return the shares of the calls after it."""
    rounds = int(CONTACT_SECONDS / CALL_INTERVAL_SECONDS / len(site.gateways))
    await send_load(site, path, rounds, headers)
    return await send_load(site, path, ROUNDS, headers)


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize(
    ("path", "headers"), [("/plain/x", {}), ("/once/x", {}), ("/staged/x", STAGED)]
)
def test_callers_of_gateways_cut_off_from_all_targets_are_served(tmp_path, how, path, headers):
    async def scenario(site):
        await start_targets(site)
        await send_load(site, path, 4, headers)
        cut_off(site, CUT_OFF, how)
        shares = await send_through_the_cut(site, path, headers)
        others = min(share for number, share in shares.items() if number not in CUT_OFF)
        assert others > 0.9, shares
        for number in CUT_OFF:
            assert shares[number] >= others * MIN_RELATIVE_SHARE, shares

    play(tmp_path, scenario, GATEWAYS)


@pytest.mark.parametrize("how", HOW)
def test_stages_are_run_although_their_batching_owner_is_cut_off_from_the_workers(tmp_path, how):
    """One gateway batches the pieces of all, so its broken path concerned every caller."""

    async def scenario(site):
        await start_targets(site)
        await send_load(site, "/staged/x", 2, STAGED)
        contexts = [gateway.gateway_context for gateway in site.gateways]
        owners = [n for n, context in enumerate(contexts) if context.batching_owner("") is None]
        cut_off(site, owners, how, "batches")
        shares = await send_through_the_cut(site, "/staged/x", STAGED)
        assert min(shares.values()) > 0.9, shares

    play(tmp_path, scenario, GATEWAYS)


def test_requests_are_not_quarantined_because_a_path_to_their_targets_broke(tmp_path):
    """A partition that resets connections and refuses new ones looks like targets that ended."""

    async def scenario(site):
        await start_targets(site)
        for runner in site.runners:
            runner.call_seconds = 0.5
        calls = [asyncio.create_task(site.call(0, "/once/x", b"same")) for _ in range(12)]
        await asyncio.sleep(0.2)
        cut_off(site, [0], "reset")
        await asyncio.gather(*calls)
        await asyncio.sleep(1.0)
        # A request that targets ended under is sent once at a time, so that others are refused.
        sent = [site.call(number, "/once/x", b"same") for number in range(GATEWAYS)]
        assert set(await asyncio.gather(*sent)) == {(200, b"answer to same")}

    play(tmp_path, scenario, GATEWAYS)
