"""Run a daemon's services under aiomisc until a signal, a fatal error or the end of a drain."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

import aiomisc
import uvloop

from traystall.core.exceptions import StorageError

EXIT_DISK = 3
_POOL_SIZE = 4

logger = logging.getLogger(__name__)


def run(service: aiomisc.Service, until: Callable[[asyncio.Event], Awaitable[None]]) -> int:
    """Run `service` until `until` returns; it gets an event set by SIGTERM or SIGINT."""
    entrypoint = aiomisc.entrypoint(
        service, pool_size=_POOL_SIZE, log_config=False, loop_factory=uvloop.new_event_loop
    )
    try:
        with entrypoint as loop:
            stopping = asyncio.Event()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, stopping.set)
            loop.run_until_complete(until(stopping))
    except StorageError as error:
        logger.critical("stopped", extra={"why": str(error)})
        return EXIT_DISK
    return 0
