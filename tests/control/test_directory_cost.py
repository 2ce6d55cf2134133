"""The directory costs a gateway what changed in it, not what it holds."""

import asyncio
import time

from benchmarks.directory import measure
from tests.support.directory_site import Site

# A restart is told as two rows of about 140 bytes (it drains; its new life), one identity that is
# dropped and the frames of up to three replies.
_BYTES_A_RESTART = 1_000


def test_rolling_restart_costs_a_gateway_the_rows_that_change():
    """Sent whole at each change, 195 rows took 26 KB a restart from each gateway's link."""
    figures = asyncio.run(measure(gateways=195, restarts=8))
    assert 0 < figures["directory bytes a restart"] < _BYTES_A_RESTART, figures


def stand_still(seconds):
    """Keep the event loop waiting, as a busy machine does."""
    time.sleep(seconds)


def test_site_settles_after_its_machine_stood_still():
    """Guards against watches that time out meanwhile and end the gateways that wait for them."""

    async def scene():
        site = Site(40)
        try:
            await site.settle(20)
            stand_still(2.0)
            await site.restart_in_turn(4, every=0.05, drain_seconds=0.1)
            await site.settle(20)
        finally:
            await site.stop()

    asyncio.run(scene())
