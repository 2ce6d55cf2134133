"""Report when the process could not run for a while, as on a starved or suspended machine.

After such a time a daemon has not read what its peers sent meanwhile, so that they seem silent.
"""

import asyncio
import logging

from traystall.core import clock, metrics

_CHECK_INTERVAL_SECONDS = 0.2
# Shorter delays of the event loop are common under load.
_MIN_HOLD_UP_SECONDS = 0.1

logger = logging.getLogger(__name__)


async def report_forever() -> None:
    """Log each time by which the event loop was late, and add it to a metric."""
    while True:
        due = clock.monotonic() + _CHECK_INTERVAL_SECONDS
        await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
        late = clock.monotonic() - due
        if late >= _MIN_HOLD_UP_SECONDS:
            metrics.held_up_seconds_total.add({}, late)
            logger.warning("process was held up", extra={"seconds": round(late, 3)})
