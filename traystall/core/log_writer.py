"""Write log lines without blocking the daemon.

A background thread writes the lines in batches, so a pipe that nobody reads blocks
only that thread. Lines that exceed the memory limit or the rate limit of their
message are dropped and counted, and the counts are logged with the next batch.
"""

import contextlib
import logging
import os
import threading
from collections import Counter, deque

import msgspec

from traystall.core import clock

# Upper bound on the formatted lines that wait for the writer thread.
MAX_PENDING_BYTES = 1024 * 1024
# Rate limit for the lines of one message.
MAX_LINES_PER_SECOND = 500
# How long the writer thread collects lines before it writes a batch.
_BATCH_INTERVAL_SECONDS = 0.05
# How long a flush waits for the writer thread, also at the end of the process.
_FLUSH_TIMEOUT_SECONDS = 0.5
DROPPED_LINES_EVENT = "log-lines-left-out"


class LogRateLimiter:
    """Limit the lines of each message per second. Pure; times are monotonic seconds."""

    def __init__(self, lines_per_second: int = MAX_LINES_PER_SECOND):
        self._limit = lines_per_second
        self._second = float("-inf")
        self._written: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    def allows(self, message: str, now: float) -> bool:
        """Count a line of a message; return whether it is within the rate limit."""
        if now - self._second >= 1.0:
            self._second = now
            self._written.clear()
        self._written[message] += 1
        if self._written[message] <= self._limit:
            return True
        self.count_dropped(message)
        return False

    def count_dropped(self, message: str) -> None:
        """Count a line that was dropped."""
        self._dropped[message] += 1

    def take_dropped_counts(self) -> dict[str, int]:
        """Return how many lines of each message were dropped since the last call."""
        found = dict(self._dropped)
        self._dropped.clear()
        return found


class _PendingLine(msgspec.Struct):
    """Hold one line that is queued for the writer thread."""

    message: str
    data: bytes


class BackgroundHandler(logging.Handler):
    """Format records in the calling thread and write them in a background thread."""

    def __init__(self, descriptor: int, budget: LogRateLimiter | None = None):
        super().__init__()
        self._descriptor = descriptor
        self._budget = budget or LogRateLimiter()
        self._pending: deque[_PendingLine] = deque()
        self._pending_bytes = 0
        self._lock = threading.Lock()
        self._has_pending = threading.Event()
        self._all_written = threading.Event()
        self._all_written.set()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._write_forever, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped; never block on the descriptor."""
        with self._lock:
            if not self._budget.allows(record.getMessage(), clock.monotonic()):
                return
        try:
            line = _PendingLine(record.getMessage(), self.format(record).encode() + b"\n")
        except (TypeError, ValueError):
            self.handleError(record)
            return
        with self._lock:
            if self._pending_bytes + len(line.data) > MAX_PENDING_BYTES:
                self._budget.count_dropped(line.message)
                return
            self._pending.append(line)
            self._pending_bytes += len(line.data)
        if not self._has_pending.is_set():
            self._all_written.clear()
            self._has_pending.set()

    def flush(self) -> None:
        """Wait until the queued lines are written, for a limited time."""
        self._closing.set()
        self._all_written.wait(_FLUSH_TIMEOUT_SECONDS)
        self._closing.clear()

    def close(self) -> None:
        """Flush the queued lines; give up after the flush timeout if nobody reads them."""
        self.flush()
        super().close()

    def _write_forever(self):
        while True:
            self._has_pending.wait()
            self._closing.wait(_BATCH_INTERVAL_SECONDS)
            self._has_pending.clear()
            data = self._take_batch()
            # A closed pipe must not end the daemon.
            with contextlib.suppress(OSError):
                _write_all(self._descriptor, data)
            if not self._has_pending.is_set():
                self._all_written.set()

    def _take_batch(self) -> bytes:
        with self._lock:
            lines = list(self._pending)
            self._pending.clear()
            self._pending_bytes = 0
            dropped = self._budget.take_dropped_counts()
        if dropped:
            lines.append(_PendingLine(DROPPED_LINES_EVENT, self._format_dropped_counts(dropped)))
        return b"".join(line.data for line in lines)

    def _format_dropped_counts(self, counts) -> bytes:
        record = logging.LogRecord(__name__, logging.WARNING, "", 0, DROPPED_LINES_EVENT, (), None)
        record.counts = counts
        return self.format(record).encode() + b"\n"


def _write_all(descriptor, data):
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
