"""Learn which targets are leaving: the platform's list and the targets' own word."""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import TargetError
from traystall.gateway.context import GatewayContext
from traystall.gateway.news import note_asked, note_limit, note_presence
from traystall.permits.exceptions import PermitDenied
from traystall.systems.membership import PresenceReport
from traystall.systems.probe_assignment import assigned_targets

_ROUND_SECONDS = 1.0
_ASK_SECONDS = 0.8

logger = logging.getLogger(__name__)


class PresenceWatcher:
    """Ask the platform's list, and each target of this data centre, once a round."""

    def __init__(self, context: GatewayContext):
        self._context = context

    async def watch_forever(self) -> None:
        """Take in reports until cancelled."""
        while True:
            await asyncio.gather(self._read_list(), *self._ask_targets())
            self._context.tick()
            await asyncio.sleep(_ROUND_SECONDS)

    async def _read_list(self):
        url = self._context.settings.platform_list
        if not url:
            return
        try:
            document = await self._context.http.get_json(url, _ASK_SECONDS)
        except TargetError as error:
            logger.warning("platform list not read", extra={"why": str(error)})
            return
        for item in document.get("instances", []):
            self._take(item)

    def _take(self, item):
        row = self._context.targets.get(str(item.get("name", "")))
        if row is not None:
            report = PresenceReport(
                row.target.name, item.get("state") == "leaving", str(item.get("incarnation", ""))
            )
            note_presence(row, report)

    def _ask_targets(self):
        context = self._context
        here = context.data_centre
        rows = [row for row in context.targets.all() if row.target.data_centre == here]
        gateways = [g.identity for g in context.follower.directory if g.data_centre == here]
        names = assigned_targets([row.target.name for row in rows], gateways, context.identity)
        now = clock.monotonic()
        availability = [row for row in rows if not row.availability.is_backing_off(now)]
        return [self._ask(row) for row in availability if row.target.name in names]

    async def _ask(self, row):
        context = self._context
        try:
            await context.spare_permit(row)
        except PermitDenied:
            return
        sent_at = clock.monotonic()

        def on_head(status, headers):
            note_asked(row, status, headers)
            note_limit(context.permits, row, status, headers, sent_at, is_work=False)

        try:
            document = await self._context.http.get_json(
                f"http://{row.target.address}/v1/state",
                _ASK_SECONDS,
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
        note_presence(row, report)
        ready = document.get("ready")
        if isinstance(ready, list):
            names = (item.get("name", "") for item in ready if isinstance(item, dict))
            row.models = frozenset(names)
