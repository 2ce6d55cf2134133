"""Delivery of the outcomes of runs to the leader, with retries until they are acknowledged."""

import asyncio
import logging
from collections.abc import Callable

from traystall.core.exceptions import RpcError
from traystall.rpc.gen.wire.ttypes import EndedRun, ReportRunsRequest
from traystall.rpc.leader import LeaderLink

# Limit of the ends queued for the leader, 300 KB at 150 bytes each. The oldest ones are dropped.
_MAX_PENDING_ENDS = 2000
# One message then has 30 KB, which take 50 ms on a link of 5 Mbit/s.
_MAX_ENDS_PER_MESSAGE = 200
_CALL_TIMEOUT_SECONDS = 2.0
_RETRY_SECONDS = 0.25

logger = logging.getLogger(__name__)


class RunReporter:
    """Queue reports and send them in order; they are idempotent, so a retry is harmless.

    `may_send` returns whether all control daemons in contact support these reports. A daemon of an
    earlier release would close the link, over which the gateway also receives its configuration.
    """

    def __init__(self, leader: LeaderLink, may_send: Callable[[], bool]):
        self._leader = leader
        self._may_send = may_send
        self._ended: list[EndedRun] = []
        self._served: set[bytes] = set()
        self._served_parts: set[bytes] = set()
        self._released: list[str] = []
        self._wake = asyncio.Event()

    def add_end(self, ended: EndedRun) -> None:
        """Queue the end of a target under a request."""
        self._ended.append(ended)
        if len(self._ended) > _MAX_PENDING_ENDS:
            del self._ended[0]
            logger.warning(
                "report queue is full; dropped the oldest target end",
                extra={"waiting": _MAX_PENDING_ENDS},
            )
        self._wake.set()

    def add_served(self, digest: bytes) -> None:
        """Queue that a request received a complete response."""
        self._served.add(digest)
        self._wake.set()

    def add_served_part(self, digest: bytes) -> None:
        """Queue that a target has written an event on a prompt part."""
        self._served_parts.add(digest)
        self._wake.set()

    def add_released(self, trial: str) -> None:
        """Queue that a trial finished without an end or a complete response."""
        self._released.append(trial)
        self._wake.set()

    def has_end_of(self, customer: str, route: str) -> bool:
        """Return whether an end under a request of this customer and route is queued."""
        return any(one.customer == customer and one.route == route for one in self._ended)

    def unreported_ends(self, digest: bytes) -> int:
        """Return the number of incarnations that ended under a request and are not reported yet."""
        return len({one.life for one in self._ended if one.digest == digest})

    def drop_ends(self, digest: bytes) -> None:
        """Drop the queued ends of a request that has since received a complete response."""
        self._ended = [one for one in self._ended if one.digest != digest]

    async def send_forever(self) -> None:
        """Send queued reports as soon as there are any."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._ended or self._served or self._released or self._served_parts:
                if not await self._send():
                    await asyncio.sleep(_RETRY_SECONDS)

    async def _send(self) -> bool:
        if not self._may_send():
            return False
        ended, served = self._ended[:_MAX_ENDS_PER_MESSAGE], list(self._served)
        released, served_parts = list(self._released), list(self._served_parts)
        request = ReportRunsRequest(
            ended=ended, served=served, released=released, served_parts=served_parts
        )
        try:
            await self._leader.call(request, _CALL_TIMEOUT_SECONDS)
        except RpcError as error:
            logger.info(
                "outcomes of runs not reported; retrying",
                extra={"ends": len(self._ended), "why": str(error)},
            )
            return False
        sent = set(map(id, ended))
        self._ended = [one for one in self._ended if id(one) not in sent]
        self._served.difference_update(served)
        self._served_parts.difference_update(served_parts)
        del self._released[: len(released)]
        return True
