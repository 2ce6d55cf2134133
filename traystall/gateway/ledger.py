"""Client of the ledger: claim, settle and release keyed work at the control group.

A claim reserves an idempotency key before its work runs, so that the work runs at most once.
"""

import asyncio
import logging

from traystall.core.exceptions import GatewayError
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    ClaimReply,
    ClaimRequest,
    ReleaseRequest,
    SettleRequest,
)
from traystall.rpc.leader import LeaderLink, LeaderUnavailable

_RELEASE_TIMEOUT_SECONDS = 60.0

logger = logging.getLogger(__name__)


class LedgerUnavailable(GatewayError):
    """The ledger did not answer; `in_doubt` tells whether the command may be committed."""

    def __init__(self, in_doubt: bool):
        self.in_doubt = in_doubt
        super().__init__("The ledger did not answer in time.")


class LedgerClient:
    """Send ledger commands to the leader of the control group."""

    def __init__(self, links: LinkPool, controls: list[str]):
        self._leader = LeaderLink(links, controls)
        self._tasks: set[asyncio.Task] = set()

    async def claim(self, request: ClaimRequest, seconds: float) -> ClaimReply:
        """Return the reply to a claim; raise LedgerUnavailable if none arrives in time."""
        return await self._call(request, seconds)

    async def settle(self, request: SettleRequest, seconds: float) -> None:
        """Record an outcome; raise LedgerUnavailable if it is not confirmed in time."""
        await self._call(request, seconds)

    def release_later(self, request: ReleaseRequest) -> None:
        """Release a claim in the background, with retries until a timeout."""
        task = asyncio.create_task(self._release(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait until all releases have succeeded or timed out."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _release(self, request):
        try:
            await self._call(request, _RELEASE_TIMEOUT_SECONDS)
        except LedgerUnavailable:
            logger.warning("claim not released", extra={"claim": request.claim_id})

    async def _call(self, request, seconds):
        """Call the leader; retries are safe because commands carry their claim id."""
        try:
            return await self._leader.call(request, seconds)
        except LeaderUnavailable as error:
            raise LedgerUnavailable(error.in_doubt) from error
