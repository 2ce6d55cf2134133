"""Fetch a large configuration in chunks: one source at a time, and nothing twice."""

import asyncio
import logging
from collections.abc import Callable

from traystall.catalog.transfers import ChunkPace, IncomingCopy, RevisionCopy
from traystall.core import clock
from traystall.core.exceptions import DeltaMismatch, RpcError
from traystall.core.logs import decision
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    GatewayRecord,
    TransferRequest,
    WatchReply,
)

# After so many chunks in a row that did not come, whoever watches turns to another source.
_MAX_FAILURES = 3
# A source that fails at once is not asked again at once: the least pause, in seconds.
_FAILURE_PAUSE = 0.05

logger = logging.getLogger(__name__)


class CopyFetcher:
    """Fetch what sources offer; at most one transfer runs, and what has arrived is kept.

    Several transfers at once fill a narrow link with copies of the same bytes, each of them too
    late: on 5 Mbit/s, three copies of 314 KB take 1.5 s, as long as a time-out, and had no end.

    `describe` returns the record of this gateway. It goes with each chunk's request, because no
    watch goes out meanwhile: a transfer that takes longer than a silent gateway is kept in the
    directory would take this one out of it.
    """

    def __init__(self, links: LinkPool, describe: Callable[[], GatewayRecord]):
        self._links = links
        self._describe = describe
        self._lock = asyncio.Lock()
        self._sources: list[str] = []
        self._incoming: IncomingCopy | None = None
        self._pace = ChunkPace()
        # The number of the revision that is being fetched; 0 if none is.
        self.number = 0

    async def fetch(self, address: str, reply: WatchReply) -> RevisionCopy | None:
        """Return what `reply` from `address` offers, or None if it could not be had.

        While another transfer runs, `address` becomes a further source of that one: this call
        then returns None once it has ended, and the caller watches again.
        """
        if self._lock.locked():
            if address not in self._sources:
                self._sources.append(address)
            async with self._lock:
                return None
        async with self._lock:
            self._sources = [address]
            self.number = reply.number
            try:
                return await self._fetch(reply)
            finally:
                self.number = 0

    async def _fetch(self, reply):
        offer = reply.offer
        if self._incoming is None or self._incoming.digest != offer.digest:
            self._incoming = IncomingCopy(offer.digest, offer.size)
            self._pace = ChunkPace()
        began, held = clock.monotonic(), self._incoming.offset
        request = TransferRequest(base=reply.base or b"", result=reply.digest, digest=offer.digest)
        failures = await self._pull(request)
        whole = self._incoming.is_whole
        decision(
            "transfer",
            number=reply.number,
            whole=whole,
            bytes=self._incoming.offset - held,
            size=offer.size,
            seconds=round(clock.monotonic() - began, 3),
            failures=failures,
        )
        return self._finish() if whole else None

    async def _pull(self, request) -> int:
        """Ask for one chunk after another; return how many did not come."""
        failures = in_a_row = 0
        while not self._incoming.is_whole and self._sources and in_a_row < _MAX_FAILURES:
            try:
                await self._pull_chunk(request)
                in_a_row = 0
            except RpcError as error:
                logger.info(
                    "chunk not fetched", extra={"peer": self._sources[0], "why": str(error)}
                )
                failures += 1
                in_a_row += 1
                self._pace.on_failure()
                # Another source goes on where this one stopped.
                self._sources.append(self._sources.pop(0))
                await asyncio.sleep(_FAILURE_PAUSE)
        return failures

    async def _pull_chunk(self, request):
        """Take the next chunk from the first source, which is left out if it has another revision.

        Raise RpcError if no chunk comes in time.
        """
        address = self._sources[0]
        request.gateway = self._describe()
        request.offset = self._incoming.offset
        request.length = self._pace.bytes
        began = clock.monotonic()
        reply = await self._links.link(address).call(request, self._pace.seconds)
        if reply.known and self._incoming.add(request.offset, reply.data or b""):
            self._pace.on_chunk(clock.monotonic() - began)
            return
        logger.info("source has another revision", extra={"peer": address})
        self._sources.pop(0)

    def _finish(self):
        """Return the whole copy, or None if its bytes are damaged: it is then fetched anew."""
        incoming, self._incoming = self._incoming, None
        try:
            return incoming.unpack()
        except DeltaMismatch as error:
            logger.warning("copy refused", extra={"why": str(error)})
            return None
