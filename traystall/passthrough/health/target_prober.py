"""Ask targets for a sign of life, and ask silent ones again until they give one."""

import asyncio
import logging
from enum import Enum, auto

from traystall.core import clock
from traystall.core.logs import decision
from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.exceptions import ConnectFailed, ExchangeError
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.stages.piece_calls import request_bytes

_TIMEOUT_SECONDS = 0.3
# A result is used for this long, since many requests at one target ask at the same moment.
_RESULT_SECONDS = 0.25
# Interval at which a target that was left because it was silent is asked again.
_RETRY_SECONDS = 0.4
# A kept connection may be one of those that do not answer any more.
_MAX_IDLE_SECONDS = 1.0

logger = logging.getLogger(__name__)


class Sign(Enum):
    """What a target gave when it was asked.

    UNKNOWN: it was not asked, because it has no free connection or has asked for rest.
    """

    ANSWERED = auto()
    SILENT = auto()
    UNREACHABLE = auto()
    UNKNOWN = auto()


class TargetProber:
    """Probe the targets of one gateway."""

    def __init__(self, context):
        self._context = context
        # Running probes, and the last result with its time, by incarnation.
        self._running: dict[str, asyncio.Task[Sign]] = {}
        self._results: dict[str, tuple[Sign, float]] = {}
        self._revivals: dict[str, asyncio.Task] = {}

    async def probe(self, view: TargetView) -> Sign:
        """Return whether a target answers, from a result that is at most a moment old."""
        life = view.report.life
        sign, at = self._results.get(life, (Sign.UNKNOWN, float("-inf")))
        if clock.monotonic() - at <= _RESULT_SECONDS:
            return sign
        task = self._running.get(life)
        if task is None:
            task = self._running[life] = asyncio.create_task(self._probe(view))
            task.add_done_callback(lambda _: self._running.pop(life, None))
        return await asyncio.shield(task)

    def mark_silent(self, view: TargetView) -> None:
        """Let requests prefer other targets until this one is heard again."""
        view.is_silent = True
        life = view.report.life
        if life not in self._revivals:
            decision("target-silent", target=life, pool=view.report.pool)
            self._revivals[life] = asyncio.create_task(self._revive(view, life))

    def close(self) -> None:
        """Cancel all probes."""
        for task in (*self._running.values(), *self._revivals.values()):
            task.cancel()

    async def _revive(self, view, life):
        """Probe a silent target until it is heard or has left the board."""
        try:
            while view.is_silent and self._context.board.view(view.identity) is view:
                await self.probe(view)
                if view.is_silent:
                    await asyncio.sleep(_RETRY_SECONDS)
        finally:
            # In the same step as the last look, so that the next silence starts a new one.
            del self._revivals[life]
        decision("target-heard", target=life, pool=view.report.pool)

    async def _probe(self, view) -> Sign:
        asked_at = clock.monotonic()
        sign = await self._exchange(view)
        if view.heard_at >= asked_at:
            sign = Sign.ANSWERED
        life = view.report.life
        self._results[life] = (sign, clock.monotonic())
        for other in self._results.keys() - self._context.board.lives():
            del self._results[other]
        decision("target-probed", target=life, sign=sign.name.lower())
        if sign in (Sign.SILENT, Sign.UNREACHABLE):
            self.mark_silent(view)
        return sign

    async def _exchange(self, view) -> Sign:
        if not view.connections.has_free_connection():
            return Sign.UNKNOWN
        context = self._context
        headers = {context.names.expected_incarnation: view.identity}
        call = request_bytes(context.stage_dialect.report(), view.report.address, headers)
        attempt = Attempt(view, context.names, None, is_work=False)
        try:
            async with PeerTimeout(_TIMEOUT_SECONDS), attempt:
                await attempt.open(_MAX_IDLE_SECONDS)
                attempt.send(call)
                await attempt.read_response()
        except ConnectFailed as error:
            return Sign.UNREACHABLE if error.silent or error.refused else Sign.UNKNOWN
        except (ExchangeError, TimeoutError) as error:
            logger.debug("target not heard", extra={"target": view.identity, "why": str(error)})
            return Sign.SILENT if attempt.was_sent else Sign.UNKNOWN
        return Sign.ANSWERED
