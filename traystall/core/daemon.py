"""Run a daemon's service under aiomisc until a signal, a fatal error or the end of a drain."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

import aiomisc
import uvloop

from traystall.core import allocator
from traystall.core.exceptions import StorageError

EXIT_FAILED = 1
EXIT_STORAGE_ERROR = 3
_THREAD_POOL_SIZE = 4
# Interval for re-reading settings that may change without a signal.
RELOAD_SECONDS = 2.0

logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Hold a daemon's essential tasks; `failed` gets the exception of the first that fails."""

    def __init__(self):
        self.failed: asyncio.Future = asyncio.get_running_loop().create_future()
        self._tasks: list[asyncio.Task] = []

    def start(self, coroutine) -> None:
        """Start a task for a coroutine that runs until the daemon stops."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def stop(self) -> None:
        """Cancel every task."""
        for task in self._tasks:
            task.cancel()

    def _on_task_done(self, task):
        if task.cancelled() or task.exception() is None or self.failed.done():
            return
        logger.critical("background task died", exc_info=task.exception())
        self.failed.set_exception(task.exception())


async def wait_for_stop_or_failure(stopping: asyncio.Event, *failures: asyncio.Future) -> None:
    """Return when `stopping` is set, or raise the exception of a failed future before that."""
    stop = asyncio.ensure_future(stopping.wait())
    await asyncio.wait({stop, *failures}, return_when=asyncio.FIRST_COMPLETED)
    for failure in failures:
        if failure.done():
            stop.cancel()
            failure.result()


def _reload(service):
    """Reload the settings of a service; a service without `reload` is left unchanged."""
    reload = getattr(service, "reload", None)
    logger.info("reload", extra={"taken": reload is not None})
    if reload is not None:
        reload()


def run(service: aiomisc.Service, until: Callable[[asyncio.Event], Awaitable[None]]) -> int:
    """Run `service` until `until(stopping)` returns; SIGTERM and SIGINT set `stopping`.

    Return the exit code of the process.
    """
    if not allocator.return_large_blocks():
        logger.info("freed memory may stay with the process")
    entrypoint = aiomisc.entrypoint(
        service, pool_size=_THREAD_POOL_SIZE, log_config=False, loop_factory=uvloop.new_event_loop
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
        return EXIT_STORAGE_ERROR
    except Exception:
        # The process exits on any exception so that its supervisor restarts it.
        logger.critical("stopped", exc_info=True)
        return EXIT_FAILED
    return 0
