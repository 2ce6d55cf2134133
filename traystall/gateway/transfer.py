"""Fetch a large configuration in chunks, from one source at a time, without repeating chunks."""

import asyncio
import logging
from collections.abc import Callable

from traystall.catalog.transfers import ChunkSizer, IncomingCopy, RevisionCopy
from traystall.core import clock
from traystall.core.exceptions import DeltaMismatch, RpcError
from traystall.core.logs import decision
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import (
    GatewayRecord,
    TransferRequest,
    WatchReply,
)

# A transfer ends after this many consecutive failures; the watch then uses another source.
_MAX_FAILURES = 3
# Pause after a failure, so that a source that fails immediately is not asked in a tight loop.
_FAILURE_PAUSE_SECONDS = 0.05

logger = logging.getLogger(__name__)


class CopyFetcher:
    """Fetch offered revisions; at most one transfer runs, and received chunks are kept.

    Concurrent transfers fill a narrow link with copies of the same bytes, which all arrive too
    late: on 5 Mbit/s, three copies of 314 KB take 1.5 s, which is as long as the timeout, so the
    transfers were repeated without end.

    `describe` returns the record of this gateway. Every chunk request carries it, because no watch
    is sent during a transfer: a long transfer would remove this gateway from the directory, which
    drops gateways that are silent for too long.
    """

    def __init__(self, links: LinkPool, describe: Callable[[], GatewayRecord]):
        self._links = links
        self._describe = describe
        self._lock = asyncio.Lock()
        self._sources: list[str] = []
        self._incoming: IncomingCopy | None = None
        self._pace = ChunkSizer()
        # Number of the revision that is being fetched; 0 if there is none.
        self.number = 0

    async def fetch(self, address: str, reply: WatchReply) -> RevisionCopy | None:
        """Return the revision that `reply` from `address` offers, or None if the transfer failed.

        While another transfer runs, `address` is added to its sources. The call then waits until
        that transfer has ended and returns None, and the caller watches again.
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
            self._pace = ChunkSizer()
        started, initial_offset = clock.monotonic(), self._incoming.offset
        request = TransferRequest(base=reply.base or b"", result=reply.digest, digest=offer.digest)
        failures = await self._pull(request)
        is_complete = self._incoming.is_complete
        decision(
            "transfer",
            number=reply.number,
            whole=is_complete,
            bytes=self._incoming.offset - initial_offset,
            size=offer.size,
            seconds=round(clock.monotonic() - started, 3),
            failures=failures,
        )
        return self._finish() if is_complete else None

    async def _pull(self, request) -> int:
        """Fetch one chunk after another; return the number of failures."""
        failures = consecutive = 0
        while not self._incoming.is_complete and self._sources and consecutive < _MAX_FAILURES:
            try:
                await self._pull_chunk(request)
                consecutive = 0
            except RpcError as error:
                logger.info(
                    "chunk not fetched", extra={"peer": self._sources[0], "why": str(error)}
                )
                failures += 1
                consecutive += 1
                self._pace.on_failure()
                # The next source continues where this one stopped.
                self._sources.append(self._sources.pop(0))
                await asyncio.sleep(_FAILURE_PAUSE_SECONDS)
        return failures

    async def _pull_chunk(self, request):
        """Fetch the next chunk from the first source; remove the source if it has another revision.

        Raise RpcError if no chunk arrives in time.
        """
        address = self._sources[0]
        request.gateway = self._describe()
        request.offset = self._incoming.offset
        request.length = self._pace.bytes
        started = clock.monotonic()
        reply = await self._links.link(address).call(request, self._pace.seconds)
        if reply.known and self._incoming.add(request.offset, reply.data or b""):
            self._pace.on_chunk(clock.monotonic() - started)
            return
        logger.info("source has another revision", extra={"peer": address})
        self._sources.pop(0)

    def _finish(self):
        """Return the complete copy, or None if its bytes are damaged and must be fetched again."""
        incoming, self._incoming = self._incoming, None
        try:
            return incoming.unpack()
        except DeltaMismatch as error:
            logger.warning("copy refused", extra={"why": str(error)})
            return None
