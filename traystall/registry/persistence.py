"""Persistence of the registry's targets: saved after changes, restored at the start."""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import DiskFailed
from traystall.registry.models import TargetReport
from traystall.registry.service import RegistryService
from traystall.registry.store import TargetStore

# Age given to the last report of a restored target. Gateways skip a target that has been silent for
# some seconds, unless it is the only one.
RESTORED_AGE_SECONDS = 2.0
# A target without a report for this time has probably ended.
_SILENT_SECONDS = 4.0
# Shortest time between two writes.
_SAVE_INTERVAL_SECONDS = 0.5

logger = logging.getLogger(__name__)


class RegistryPersistence:
    """Save the ready targets of a registry whenever they have changed."""

    def __init__(self, registry: RegistryService, store: TargetStore):
        self._registry = registry
        self._store = store

    async def restore(self) -> None:
        """Add the stored targets to the registry, where their own reports replace them."""
        loop = asyncio.get_running_loop()
        for report in await loop.run_in_executor(None, self._store.load):
            self._registry.report(report, RESTORED_AGE_SECONDS)

    async def save_forever(self) -> None:
        """Save the targets after each change, and retry if the disk fails."""
        saved: list[TargetReport] = []
        while True:
            ready = self._ready_reports()
            if ready != saved and await self._save(ready):
                saved = ready
            await asyncio.sleep(_SAVE_INTERVAL_SECONDS)

    def _ready_reports(self) -> list[TargetReport]:
        """Return the reports of all ready targets without the fields that each report changes.

        A crashed target reports nothing any more, so targets that have been silent are left out.
        """
        since = clock.monotonic() - _SILENT_SECONDS
        rows = [r for r in self._registry.registry.rows() if r.is_ready and r.seen_at >= since]
        rows.sort(key=lambda row: row.identity)
        return [_without_heartbeat_fields(row.report) for row in rows]

    async def _save(self, reports) -> bool:
        began = clock.monotonic()
        try:
            await asyncio.get_running_loop().run_in_executor(None, self._store.save, reports)
        except DiskFailed as error:
            logger.info("targets not saved; retrying", extra={"why": str(error)})
            return False
        logger.debug("targets saved", extra={"seconds": clock.monotonic() - began})
        return True


def _without_heartbeat_fields(report):
    return TargetReport(
        identity=report.identity,
        pool=report.pool,
        address=report.address,
        data_centre=report.data_centre,
        version=report.version,
        slots=report.slots,
        started=report.started,
    )
