"""A gateway stays in touch with a control group of which it knows no initial member any more."""

import asyncio

from tests.support.site import play


async def replace_founders(group):
    for name, newcomer in zip("abc", "def", strict=True):
        await group.start(newcomer)
        await group.until(lambda: len(group.live_voters()) == 4)
        await group.stop(name)
        await group.until(lambda: group.live_voters() == set(group.daemons))
        await group.until(lambda: len(group.voters()) == 3)


def test_gateway_gets_the_configuration_after_a_new_control_daemon_lost_its_disk(tmp_path):
    """Guards against CONFIG: the empty list of members of a daemon that is let in again.

    The gateway took it for the truth, knew only its configured daemons, which are gone, and stayed
    at an old configuration for good.
    """

    async def scenario(site):
        group = site.group
        await group.apply_entities("a", 1, {})
        await replace_founders(group)
        (gateway,) = site.gateways
        held = gateway.gateway_context.follower.held
        await group.until(lambda: held.number == 1)
        await group.stop("e", wipe=True)
        await asyncio.sleep(0.3)
        await group.start("e")
        await group.until(lambda: len(group.live_voters()) == 3)
        await asyncio.sleep(1.0)
        await group.apply_entities("d", 2, {})
        await group.until(lambda: held.number == 2, 8)

    play(tmp_path, scenario, 1)
