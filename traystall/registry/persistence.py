"""Keep the registry's targets in a store, and take them from there at the start."""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import DiskFailed
from traystall.registry.models import TargetReport
from traystall.registry.service import RegistryService
from traystall.registry.store import TargetStore

# A remembered target counts as heard of this long ago, in seconds: gateways leave a target out
# that has been silent for some seconds, unless it is the only one.
REMEMBERED_AGE = 2.0
# A target that has said nothing for so long, in seconds, has probably ended.
_SILENT_SECONDS = 4.0
# At the least between two writes, in seconds.
_PAUSE_SECONDS = 0.5

logger = logging.getLogger(__name__)


class RegistryPersistence:
    """Write the ready targets of a registry down whenever they have changed."""

    def __init__(self, registry: RegistryService, store: TargetStore):
        self._registry = registry
        self._store = store

    async def restore(self) -> None:
        """Tell of the remembered targets, as long as they do not report themselves."""
        loop = asyncio.get_running_loop()
        for report in await loop.run_in_executor(None, self._store.load):
            self._registry.report(report, REMEMBERED_AGE)

    async def save_forever(self) -> None:
        """Write the targets down after each change; a disk that refuses is asked again."""
        remembered: list[TargetReport] = []
        while True:
            ready = self._ready()
            if ready != remembered and await self._save(ready):
                remembered = ready
            await asyncio.sleep(_PAUSE_SECONDS)

    def _ready(self) -> list[TargetReport]:
        """Return the reports of all ready targets without what changes with each heartbeat.

        A target that crashed says nothing: one that has been silent is not remembered.
        """
        since = clock.monotonic() - _SILENT_SECONDS
        rows = [r for r in self._registry.registry.rows() if r.is_ready and r.seen_at >= since]
        rows.sort(key=lambda row: row.identity)
        return [_lasting(row.report) for row in rows]

    async def _save(self, reports) -> bool:
        began = clock.monotonic()
        try:
            await asyncio.get_running_loop().run_in_executor(None, self._store.save, reports)
        except DiskFailed as error:
            logger.info("targets not remembered", extra={"why": str(error)})
            return False
        logger.debug("targets remembered", extra={"seconds": clock.monotonic() - began})
        return True


def _lasting(report):
    return TargetReport(
        identity=report.identity,
        pool=report.pool,
        address=report.address,
        data_centre=report.data_centre,
        version=report.version,
        slots=report.slots,
        started=report.started,
    )
