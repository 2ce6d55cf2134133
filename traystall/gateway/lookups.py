"""Look up the result of an idempotency key at targets that support it.

The protocol: a GET request for the target's declared `lookup` path with the key in the
Idempotency-Key header returns `{"known": true, "result": {...}}` or `{"known": false}`.
"""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import TargetError
from traystall.gateway.adapters.base import KEY_HEADER
from traystall.gateway.context import GatewayContext
from traystall.gateway.target_notices import apply_backoff, apply_rate_limit
from traystall.permits.exceptions import PermitDenied
from traystall.systems.residency import is_allowed
from traystall.tables.entities import Stage
from traystall.tables.requests import RequestRow

_TIMEOUT_SECONDS = 1.0


class ResultLookup:
    """Look up keys at the targets of a stage's pool."""

    def __init__(self, context: GatewayContext):
        self._context = context

    async def find(self, row: RequestRow, stage: Stage) -> dict | None:
        """Return the result of the row's key if an allowed target knows it, else None."""
        customer = self._context.tables.customer(row.customer)
        if customer is None:
            return None
        targets = [
            target
            for target in self._context.tables.pool(stage.pool)
            if target.lookup and is_allowed(customer, target.data_centre)
        ]
        answers = await asyncio.gather(*(self._query(target, row.key) for target in targets))
        return next((answer for answer in answers if answer is not None), None)

    async def _query(self, target, key):
        row = self._context.targets.get(target.name)
        if row is not None and row.availability.is_backing_off(clock.monotonic()):
            return None
        try:
            if row is not None:
                await self._context.take_spare_permit(row)
        except PermitDenied:
            return None
        sent_at = clock.monotonic()

        def on_head(status, headers):
            if row is not None:
                apply_backoff(row, status, headers)
                apply_rate_limit(
                    self._context.permits, row, status, headers, sent_at, is_work=False
                )

        url = f"http://{target.address}{target.lookup}"
        try:
            document = await self._context.http.get_json(
                url, _TIMEOUT_SECONDS, {KEY_HEADER: key}, on_head
            )
        except TargetError:
            return None
        result = document.get("result")
        return result if document.get("known") is True and isinstance(result, dict) else None
