"""Directory updates cost a gateway the rows that changed, not the whole directory."""

import asyncio
import time

from benchmarks.directory import measure
from tests.support.directory_site import Site

# A restart is sent as two rows of about 140 bytes (draining, and the new incarnation), one dropped
# identity and the frames of up to three replies.
_MAX_BYTES_PER_RESTART = 1_000


def test_rolling_restart_costs_a_gateway_the_rows_that_change():
    """Sending the whole directory of 195 rows at each change took 26 KB per gateway and restart."""
    figures = asyncio.run(measure(gateways=195, restarts=8))
    assert 0 < figures["directory bytes a restart"] < _MAX_BYTES_PER_RESTART, figures


def block_event_loop(seconds):
    """Block the event loop, as on an overloaded machine."""
    time.sleep(seconds)


def test_site_settles_after_its_event_loop_was_blocked():
    """Watches that time out while the event loop is blocked must not end the waiting gateways."""

    async def scenario():
        site = Site(40)
        try:
            await site.settle(20)
            block_event_loop(2.0)
            await site.restart_in_turn(4, every=0.05, drain_seconds=0.1)
            await site.settle(20)
        finally:
            await site.stop()

    asyncio.run(scenario())
