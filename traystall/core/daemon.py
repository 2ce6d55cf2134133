"""Run a daemon's services under aiomisc until a signal, a fatal error or the end of a drain."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

import aiomisc
import uvloop

from traystall.core.exceptions import StorageError

EXIT_FAILED = 1
EXIT_DISK = 3
_POOL_SIZE = 4
# Settings that may change without a signal are read this often, in seconds.
RELOAD_SECONDS = 2.0

logger = logging.getLogger(__name__)


class Background:
    """Hold the tasks that a daemon can't do without; `failed` ends it when one of them dies."""

    def __init__(self):
        self.failed: asyncio.Future = asyncio.get_running_loop().create_future()
        self._tasks: list[asyncio.Task] = []

    def start(self, coroutine) -> None:
        """Run a coroutine that must never end by itself."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)

    def stop(self) -> None:
        """Cancel every task."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task):
        if task.cancelled() or task.exception() is None or self.failed.done():
            return
        logger.critical("background task died", exc_info=task.exception())
        self.failed.set_exception(task.exception())


async def first_of(stopping: asyncio.Event, *failures: asyncio.Future) -> None:
    """Return when `stopping` is set; raise the first failure instead."""
    stop = asyncio.ensure_future(stopping.wait())
    await asyncio.wait({stop, *failures}, return_when=asyncio.FIRST_COMPLETED)
    for failure in failures:
        if failure.done():
            stop.cancel()
            failure.result()


def _reload(service):
    """Let a service read its settings again; one that can't do so goes on as it is."""
    reload = getattr(service, "reload", None)
    logger.info("reload", extra={"taken": reload is not None})
    if reload is not None:
        reload()


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
            loop.add_signal_handler(signal.SIGHUP, _reload, service)
            loop.run_until_complete(until(stopping))
    except StorageError as error:
        logger.critical("stopped", extra={"why": str(error)})
        return EXIT_DISK
    except Exception:
        # Whatever it was, the process must end so that its supervisor starts it afresh.
        logger.critical("stopped", exc_info=True)
        return EXIT_FAILED
    return 0
