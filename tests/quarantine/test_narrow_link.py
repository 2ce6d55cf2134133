"""Suspects on links that a large configuration saturates.

A gateway must receive new suspects in time while the transfer of a configuration occupies its link
for seconds, beside other traffic.
"""

import asyncio

import pytest

from tests.gateway.test_configuration_transfer import LARGE, change_running_gateway, run_scenario
from traystall.quarantine.models import TRIAL_MIN_ENDS
from traystall.rpc.gen.wire.ttypes import EndedRun, ReportRunsRequest

# Time in seconds of the link's own clock within which every gateway has to know the suspects. It
# is the smallest contact bound that users of the product set.
CONTACT_SECONDS = 3.0
DIGEST = b"0123456789abcdef"


def report(digest):
    ended = [
        EndedRun(
            digest=digest,
            customer="customer-1234",
            route="route",
            pool="plain",
            life=f"target-{number}@1786675920632",
            evidence="nothing listens at its address",
        )
        for number in range(TRIAL_MIN_ENDS)
    ]
    return ReportRunsRequest(ended=ended, served=[], released=[])


@pytest.mark.parametrize("suspects", [1, 64])
def test_gateway_receives_suspects_in_time_during_a_large_transfer(tmp_path, suspects):
    """64 requests ran on one engine in each of three consecutive ends."""

    async def scenario(site):
        transfer = await change_running_gateway(site, 2, LARGE)
        await transfer.until_part()
        gateway = site.gateways[-1]
        assert site.held() == 1
        began = site.link.seconds
        leader = next(iter(site.group.daemons.values())).leader
        for number in range(suspects):
            await leader.call(report(DIGEST[:-1] + bytes([number])), 5.0)
        held = gateway.gateway_context.guard.held
        while len(held) < suspects:
            assert site.link.seconds - began < CONTACT_SECONDS, f"{len(held)} are known"
            await asyncio.sleep(0.01)
        print(f"{suspects} suspects are known after {site.link.seconds - began:.2f} s")
        await transfer.finish()

    run_scenario(tmp_path, scenario)
