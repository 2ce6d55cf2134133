"""Ask targets that declare it what became of a key.

The protocol: GET on the target's declared `lookup` path with the key in the
Idempotency-Key header answers `{"known": true, "result": {...}}` or
`{"known": false}`.
"""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import TargetError
from traystall.gateway.adapters.base import KEY_HEADER
from traystall.gateway.context import GatewayContext
from traystall.gateway.news import note_asked, note_limit
from traystall.permits.exceptions import PermitDenied
from traystall.systems.residency import is_allowed
from traystall.tables.entities import Stage
from traystall.tables.requests import RequestRow

_ASK_SECONDS = 1.0


class LookUps:
    """Find the result of a key at the targets of a stage's pool."""

    def __init__(self, context: GatewayContext):
        self._context = context

    async def find(self, row: RequestRow, stage: Stage) -> dict | None:
        """Return the key's result if any allowed target knows it, else None."""
        customer = self._context.tables.customer(row.customer)
        if customer is None:
            return None
        targets = [
            target
            for target in self._context.tables.pool(stage.pool)
            if target.lookup and is_allowed(customer, target.data_centre)
        ]
        answers = await asyncio.gather(*(self._ask(target, row.key) for target in targets))
        return next((answer for answer in answers if answer is not None), None)

    async def _ask(self, target, key):
        row = self._context.targets.get(target.name)
        if row is not None and row.availability.is_backing_off(clock.monotonic()):
            return None
        try:
            if row is not None:
                await self._context.spare_permit(row)
        except PermitDenied:
            return None
        sent_at = clock.monotonic()

        def on_head(status, headers):
            if row is not None:
                note_asked(row, status, headers)
                note_limit(self._context.permits, row, status, headers, sent_at, is_work=False)

        url = f"http://{target.address}{target.lookup}"
        try:
            document = await self._context.http.get_json(
                url, _ASK_SECONDS, {KEY_HEADER: key}, on_head
            )
        except TargetError:
            return None
        result = document.get("result")
        return result if document.get("known") is True and isinstance(result, dict) else None
