"""Claim, settle and release keyed work at the control group."""

import asyncio
import logging

from traystall.core import clock
from traystall.core.exceptions import GatewayError, RpcError, RpcRefused
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    ClaimReply,
    ClaimRequest,
    ReleaseRequest,
    SettleRequest,
)

_CALL_SECONDS = 3.0
_RETRY_SECONDS = 0.1
_RELEASE_SECONDS = 60.0

logger = logging.getLogger(__name__)


class LedgerUnavailable(GatewayError):
    """Report that no answer came; `in_doubt` says whether the command may be committed."""

    def __init__(self, in_doubt: bool):
        self.in_doubt = in_doubt
        super().__init__("The ledger did not answer in time.")


class LedgerClient:
    """Find the leader among the control daemons and send it commands."""

    def __init__(self, links: LinkPool, controls: list[str]):
        self._links = links
        self._controls = controls
        self._leader = controls[0]
        self._tasks: set[asyncio.Task] = set()

    async def claim(self, request: ClaimRequest, seconds: float) -> ClaimReply:
        """Return the answer to a claim; raise LedgerUnavailable if none comes in time."""
        return await self._call(request, seconds)

    async def settle(self, request: SettleRequest, seconds: float) -> None:
        """Record an outcome; raise LedgerUnavailable if that can't be confirmed in time."""
        await self._call(request, seconds)

    def release_later(self, request: ReleaseRequest) -> None:
        """Give a claim back in the background, trying for a while."""
        task = asyncio.create_task(self._release(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Return once every release has been tried to its end."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _release(self, request):
        try:
            await self._call(request, _RELEASE_SECONDS)
        except LedgerUnavailable:
            logger.warning("claim not released", extra={"claim": request.claim_id})

    async def _call(self, request, seconds):
        """Try control daemons in turn; repeating is safe because commands carry their claim id."""
        deadline = clock.monotonic() + seconds
        in_doubt = False
        address = self._leader
        while (left := deadline - clock.monotonic()) > 0:
            try:
                reply = await self._links.link(address).call(request, min(left, _CALL_SECONDS))
                self._leader = address
                return reply
            except RpcRefused as error:
                in_doubt = in_doubt or error.code not in ("not-leader", "refused-link")
                hint = error.detail if error.code == "not-leader" else ""
                address = hint or self._after(address)
            except RpcError:
                in_doubt = True
                address = self._after(address)
            await asyncio.sleep(min(_RETRY_SECONDS, max(0.0, deadline - clock.monotonic())))
        raise LedgerUnavailable(in_doubt)

    def _after(self, address):
        if address not in self._controls:
            return self._controls[0]
        position = self._controls.index(address)
        return self._controls[(position + 1) % len(self._controls)]
