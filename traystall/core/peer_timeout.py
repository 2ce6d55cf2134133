"""Limit the wait for a peer by time in which this process could have read what the peer sent.

A timer that is due while the event loop is held up fires before the loop reads the sockets. The
peer may have replied long before.
"""

import asyncio

from traystall.core import clock

# A timer that fires later than this shows that the process was held up.
_MAX_TIMER_DELAY_SECONDS = 0.05
# Iterations of the event loop in which bytes that have arrived reach the task that awaits them.
_READ_ITERATIONS = 6


async def read_arrived_bytes() -> None:
    """Return after the event loop has read what had arrived on all sockets."""
    for _ in range(_READ_ITERATIONS):
        await asyncio.sleep(0)


class PeerTimeout:
    """Raise TimeoutError in the body of an `async with` after `seconds`, like `asyncio.timeout`.

    If the process was held up when the time was over, the time that it was late is added once, but
    not more than `seconds`. What has arrived by then is read first.
    """

    def __init__(self, seconds: float):
        self._seconds = max(0.0, seconds)
        self._limit = asyncio.timeout(None)
        self._due = 0.0
        self._was_extended = False
        self._iterations_left = _READ_ITERATIONS
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self):
        await self._limit.__aenter__()
        self._start_timer(self._seconds)
        return self

    async def __aexit__(self, kind, error, traceback):
        self._handle.cancel()
        return await self._limit.__aexit__(kind, error, traceback)

    def lift(self) -> None:
        """End the limit; the body may take any time from now on."""
        self._handle.cancel()
        self._limit.reschedule(None)

    def _start_timer(self, seconds):
        self._due = clock.monotonic() + seconds
        self._handle = asyncio.get_running_loop().call_later(seconds, self._on_due)

    def _on_due(self):
        late = clock.monotonic() - self._due
        if late > _MAX_TIMER_DELAY_SECONDS and not self._was_extended:
            self._was_extended = True
            self._start_timer(min(late, self._seconds))
            return
        self._read_first()

    def _read_first(self):
        loop = asyncio.get_running_loop()
        if self._iterations_left:
            self._iterations_left -= 1
            self._handle = loop.call_soon(self._read_first)
            return
        self._limit.reschedule(loop.time())
