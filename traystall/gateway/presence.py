"""Watch the state of targets: poll the platform's list and the targets themselves.

Both tell which targets are leaving, that is, are about to stop and must get no new work.
"""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import TargetError
from traystall.gateway.context import GatewayContext
from traystall.gateway.target_notices import apply_backoff, apply_presence, apply_rate_limit
from traystall.permits.exceptions import PermitDenied
from traystall.systems.membership import PresenceReport
from traystall.systems.probe_assignment import assigned_targets

_POLL_INTERVAL_SECONDS = 1.0
_TIMEOUT_SECONDS = 0.8

logger = logging.getLogger(__name__)


class PresenceWatcher:
    """Poll the platform's list and this gateway's targets in its data centre periodically."""

    def __init__(self, context: GatewayContext):
        self._context = context

    async def watch_forever(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.gather(self._read_list(), *self._probe_targets())
            self._context.tick()
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _read_list(self):
        url = self._context.settings.platform_list
        if not url:
            return
        try:
            document = await self._context.http.get_json(url, _TIMEOUT_SECONDS)
        except TargetError as error:
            logger.warning("platform list not read", extra={"why": str(error)})
            return
        for item in document.get("instances", []):
            self._apply_item(item)

    def _apply_item(self, item):
        row = self._context.targets.get(str(item.get("name", "")))
        if row is not None:
            report = PresenceReport(
                row.target.name, item.get("state") == "leaving", str(item.get("incarnation", ""))
            )
            apply_presence(row, report)

    def _probe_targets(self):
        context = self._context
        here = context.data_centre
        rows = [row for row in context.targets.all() if row.target.data_centre == here]
        gateways = [g.identity for g in context.follower.directory if g.data_centre == here]
        names = assigned_targets([row.target.name for row in rows], gateways, context.identity)
        now = clock.monotonic()
        probed = [row for row in rows if not row.availability.is_backing_off(now)]
        return [self._probe(row) for row in probed if row.target.name in names]

    async def _probe(self, row):
        context = self._context
        try:
            await context.take_spare_permit(row)
        except PermitDenied:
            return
        sent_at = clock.monotonic()

        def on_head(status, headers):
            row.heard_at = clock.monotonic()
            apply_backoff(row, status, headers)
            apply_rate_limit(context.permits, row, status, headers, sent_at, is_work=False)

        try:
            document = await self._context.http.get_json(
                f"http://{row.target.address}/v1/state",
                _TIMEOUT_SECONDS,
                on_head=on_head,
            )
        except TargetError:
            return
        report = PresenceReport(
            row.target.name,
            document.get("state") == "leaving",
            str(document.get("incarnation", "")),
            first_hand=True,
        )
        apply_presence(row, report)
        ready = document.get("ready")
        if isinstance(ready, list):
            names = (item.get("name", "") for item in ready if isinstance(item, dict))
            row.models = frozenset(names)
