"""Start the admission of a new batcher from the queue waits that its predecessor reported.

The module does no I/O; times are monotonic seconds. Example: the gateway that batches fails during
a load peak. Its successor has empty queues and would admit every request, until the requests that
the predecessor admitted notice the failure and send the pieces of their next stages, all at once.
Gateways that call the successor therefore pass on the queue waits that they received last.
"""

import math

from traystall.passthrough.admission.forecast import PoolLoad

# Time until all gateways have detected the failure of a batcher and call its successor. From then
# on the queues themselves show the waiting work.
_TAKEOVER_SECONDS = 0.6
# Waits reported longer ago than this are ignored.
_MAX_AGE_SECONDS = 2.0


class Handover:
    """Hold the queue waits of the previous batcher for a gateway that has just taken over."""

    def __init__(self):
        self._began = None
        self._waits: dict[str, float] = {}

    def add_waits(self, waits: dict[str, float], age: float, now: float) -> None:
        """Merge waits by pool, in seconds, that a peer received `age` seconds ago."""
        if self._began is None:
            self._began = now
        if now - self._began > _TAKEOVER_SECONDS or not 0.0 <= age <= _MAX_AGE_SECONDS:
            return
        for pool, wait in waits.items():
            if not 0.0 <= wait < math.inf:
                continue  # The pool had no targets there, which the load shows here as well.
            self._waits[pool] = max(wait, self._waits.get(pool, 0.0))

    def add_to(self, loads: dict[str, PoolLoad], now: float) -> dict[str, PoolLoad]:
        """Return the loads of pools, with the work that has not reached their queues yet."""
        if self._began is None:
            self._began = now
        if not self._waits:
            return loads
        if now - self._began > _TAKEOVER_SECONDS:
            self._waits = {}
            return loads
        return {
            pool: self._with_wait(load, self._waits.get(pool, 0.0)) for pool, load in loads.items()
        }

    def _with_wait(self, load, wait):
        """Return a load whose queue holds at least the pieces served within `wait` seconds."""
        ahead = round(wait * load.rate)
        if not ahead:
            return load

        def waiting(priority, due):
            return max(ahead, load.waiting(priority, due))

        return PoolLoad(waiting, load.rate, load.call_seconds)
