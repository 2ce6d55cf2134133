"""Replicate stream origins to their holders, and find the origin of a stream that is continued."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError, RpcRefused
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire import ttypes
from traystall.streams.holders import HolderRanking, group_of
from traystall.streams.models import StreamOrigin
from traystall.streams.table import StreamTable
from traystall.streams.wire import from_wire, to_wire
from traystall.tables.gateways import GatewayRow

# One message then has 30 KB, which take 50 ms on a link of 5 Mbit/s.
_MAX_ORIGINS_PER_MESSAGE = 500
# Origins that wait for one gateway; the oldest ones are dropped.
_MAX_PENDING = 5000
_SEND_TIMEOUT_SECONDS = 1.0
_RETRY_SECONDS = 0.25
# A holder that does not answer for this time counts as unreachable. The caller waits meanwhile.
_FIND_TIMEOUT_SECONDS = 0.25
# Difference between the times at which two gateways take the same target to have reported.
_REPORT_MARGIN_SECONDS = 0.2
# Interval between checks for gateways that have just started.
_REVIEW_INTERVAL_SECONDS = 0.25
_EXPIRY_INTERVAL_SECONDS = 5.0

logger = logging.getLogger(__name__)


class StreamLookup(msgspec.Struct, frozen=True):
    """What the holders know of a stream.

    `only_versions` holds, for holders without the origin, the version of all targets that each has
    known in the pools of the stream for the time in question.
    """

    origin: StreamOrigin | None = None
    only_versions: frozenset[str] = frozenset()


class StreamOrigins:
    """The stream origins of one gateway; `rows()` returns the directory of gateways.

    `only_version(pools, seconds)` returns the software version of all targets that were known in
    some pools in the last `seconds`, or None if there were several or it is not certain.
    """

    def __init__(
        self,
        identity: str,
        data_centre: str,
        rows: Callable[[], list[GatewayRow]],
        only_version: Callable[[list[str], float], str | None],
    ):
        self.links: LinkPool | None = None
        self._identity = identity
        self._data_centre = data_centre
        self._rows = rows
        self._only_version = only_version
        self._table = StreamTable()
        self._ranking = HolderRanking()
        # Origins to send, by the address of their holder.
        self._pending: dict[str, dict[bytes, StreamOrigin]] = {}
        self._senders: dict[str, asyncio.Task] = {}
        # Identities of the listed gateways that have received what they should hold.
        self._updated: set[str] = set()

    def __len__(self):
        return len(self._table)

    def get(self, digest: bytes) -> StreamOrigin | None:
        """Return the origin of a stream if this gateway holds it."""
        return self._table.get(digest, clock.monotonic())

    def record(self, origin: StreamOrigin) -> None:
        """Keep an origin here and send it to its holders."""
        origin = self._table.put(origin)
        self._ranking.update(self._rows())
        for row in self._ranking.holders(group_of(origin.digest), self._data_centre):
            self._enqueue(row, origin)

    async def find(self, digest: bytes, pools: list[str], seconds: float) -> StreamLookup:
        """Ask the holders of a stream; return at the first origin, or when all have answered.

        `pools` are the pools of the stream's route; `seconds` is how long ago it may have begun.
        """
        self._ranking.update(self._rows())
        request = ttypes.FindStreamRequest(digest=digest, pools=pools, seconds=seconds)
        rows = self._ranking.candidates(group_of(digest))
        calls = [
            asyncio.create_task(self._ask(row, request))
            for row in rows
            if row.identity != self._identity
        ]
        only_versions = set()
        try:
            for call in asyncio.as_completed(calls):
                reply = await call
                if reply is None:
                    continue
                if reply.origin is not None:
                    origin = from_wire(reply.origin, clock.monotonic())
                    return StreamLookup(self._table.put(origin))
                if reply.only_version is not None:
                    only_versions.add(reply.only_version)
        finally:
            for call in calls:
                call.cancel()
        return StreamLookup(only_versions=frozenset(only_versions))

    def on_received(self, request: ttypes.StreamOriginsRequest) -> ttypes.StreamOriginsReply:
        """Keep the origins that another gateway has sent."""
        now = clock.monotonic()
        for record in request.origins:
            self._table.put(from_wire(record, now))
        return ttypes.StreamOriginsReply(taken=len(request.origins))

    def on_target_replaced(self, life: str, last_seen_at: float) -> None:
        """Handle that a target has started again with another version.

        Until its report arrived, the new incarnation may have answered in place of the earlier one,
        which last reported at `last_seen_at`.
        """
        self._table.doubt(life, last_seen_at - _REPORT_MARGIN_SECONDS)

    def answer_find(self, request: ttypes.FindStreamRequest) -> ttypes.FindStreamReply:
        """Return what this gateway knows of a stream."""
        origin = self.get(request.digest)
        if origin is not None:
            return ttypes.FindStreamReply(origin=to_wire(origin, clock.monotonic()))
        only = self._only_version(request.pools or [], request.seconds or 0.0)
        return ttypes.FindStreamReply(only_version=only)

    async def run_forever(self) -> None:
        """Send gateways that have started what they should hold, and remove expired origins."""
        next_expiry_at = clock.monotonic()
        try:
            while True:
                await asyncio.sleep(_REVIEW_INTERVAL_SECONDS)
                await self._update_new_gateways()
                now = clock.monotonic()
                if now >= next_expiry_at:
                    next_expiry_at = now + _EXPIRY_INTERVAL_SECONDS
                    self._table.remove_expired(now)
                    metrics.stream_origins.set({}, len(self._table))
        finally:
            self.close()

    def close(self) -> None:
        """Stop sending."""
        for task in self._senders.values():
            task.cancel()

    async def _update_new_gateways(self):
        rows = [row for row in self._rows() if row.keeps_streams]
        started = [
            row
            for row in rows
            if row.identity not in self._updated and row.identity != self._identity
        ]
        self._updated = {row.identity for row in rows}
        if not started or not len(self._table):
            return
        self._ranking.update(rows)
        for group, origins in self._live_by_group().items():
            for row in started:
                if self._ranking.may_hold(group, row.identity):
                    for origin in origins:
                        self._enqueue(row, origin)
            # The ranking of many gateways takes time that requests need meanwhile.
            await asyncio.sleep(0)

    def _live_by_group(self) -> dict[int, list[StreamOrigin]]:
        groups: dict[int, list[StreamOrigin]] = {}
        for origin in self._table.live(clock.monotonic()):
            groups.setdefault(group_of(origin.digest), []).append(origin)
        return groups

    def _enqueue(self, row, origin):
        if row.identity == self._identity:
            return
        pending = self._pending.setdefault(row.rpc_address, {})
        pending[origin.digest] = origin
        if len(pending) > _MAX_PENDING:
            pending.pop(next(iter(pending)))
            logger.warning("dropped a stream origin", extra={"peer": row.identity})
        if row.rpc_address not in self._senders:
            task = asyncio.create_task(self._send_pending(row.rpc_address))
            self._senders[row.rpc_address] = task
            task.add_done_callback(lambda _: self._senders.pop(row.rpc_address, None))

    async def _send_pending(self, address):
        """Send what waits for one gateway until nothing is left or it has left the directory."""
        pending = self._pending[address]
        while pending:
            now = clock.monotonic()
            batch = [pending.pop(key) for key in list(pending)[:_MAX_ORIGINS_PER_MESSAGE]]
            batch = [origin for origin in batch if origin.expires_at > now]
            if not await self._send(address, batch):
                for origin in batch:
                    pending.setdefault(origin.digest, origin)
                if all(row.rpc_address != address for row in self._rows()):
                    pending.clear()
                    return
                await asyncio.sleep(_RETRY_SECONDS)

    async def _send(self, address, origins) -> bool:
        """Send origins; return False if they should be sent again."""
        now = clock.monotonic()
        records = [to_wire(origin, now) for origin in origins]
        request = ttypes.StreamOriginsRequest(sender=self._identity, origins=records)
        try:
            await self.links.link(address).call(request, _SEND_TIMEOUT_SECONDS)
        except RpcRefused as error:
            logger.warning("stream origins refused", extra={"peer": address, "why": str(error)})
        except RpcError as error:
            logger.info("stream origins not sent", extra={"peer": address, "why": str(error)})
            return False
        return True

    async def _ask(self, row, request) -> ttypes.FindStreamReply | None:
        try:
            return await self.links.link(row.rpc_address).call(request, _FIND_TIMEOUT_SECONDS)
        except RpcError as error:
            logger.info("holder not reached", extra={"peer": row.identity, "why": str(error)})
            return None
