"""The directory costs a gateway what changed in it, not what it holds."""

import asyncio

from benchmarks.directory import measure

# A restart is told as two rows of about 140 bytes (it drains; its new life), one identity that is
# dropped and the frames of up to three replies.
_BYTES_A_RESTART = 1_000


def test_rolling_restart_costs_a_gateway_the_rows_that_change():
    """Sent whole at each change, 195 rows took 26 KB a restart from each gateway's link."""
    figures = asyncio.run(measure(gateways=195, restarts=8))
    assert 0 < figures["directory bytes a restart"] < _BYTES_A_RESTART, figures
