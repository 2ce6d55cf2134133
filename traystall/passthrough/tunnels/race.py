"""Open a connection in several ways, and keep the first that opens."""

import asyncio
from collections.abc import Awaitable, Callable

from traystall.passthrough.exceptions import ConnectFailed
from traystall.passthrough.exchange.connection import TargetConnection

Opener = Callable[[], Awaitable[TargetConnection]]


async def first_open(openers: list[Opener], head_start: float | None) -> TargetConnection:
    """Return the first connection that opens; raise ConnectFailed if none does.

    The error is that of an opener that was refused, or else of the first one. Each opener starts
    when the one before has failed, or after `head_start` seconds.
    """
    attempts: list[asyncio.Task[TargetConnection]] = []
    winner = None
    try:
        for opener in openers:
            attempts.append(asyncio.create_task(opener()))
            is_last = len(attempts) == len(openers)
            winner = await _next_success(attempts, head_start, is_last)
            if winner is not None:
                return winner
        errors = [attempt.exception() for attempt in attempts]
        raise next((error for error in errors if _is_refused(error)), errors[0])
    finally:
        for attempt in attempts:
            attempt.cancel()
            attempt.add_done_callback(lambda done: _close_loser(done, winner))


def _is_refused(error) -> bool:
    return isinstance(error, ConnectFailed) and error.refused


async def _next_success(attempts, head_start, is_last) -> TargetConnection | None:
    """Return the first connection that opens, or None once the next opener is due.

    If there is no next one, all attempts are waited for.
    """
    timeout = None if is_last else head_start
    pending = {attempt for attempt in attempts if not attempt.done()}
    while pending:
        done, pending = await asyncio.wait(
            pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        opened = [attempt for attempt in done if attempt.exception() is None]
        if opened:
            return opened[0].result()
        if not is_last and (not done or attempts[-1].done()):
            return None
    return None


def _close_loser(attempt, winner):
    """Close a connection that opened too late, possibly in the same turn of the event loop."""
    if attempt.cancelled() or attempt.exception() is not None:
        return
    if attempt.result() is not winner:
        attempt.result().close()
