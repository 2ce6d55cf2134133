"""Begin with what the gateway that batched before has told. Pure; times are monotonic seconds.

Load: the gateway that batches is lost in the middle of a rush. The next one finds empty queues and
would let everybody in, until the requests that have begun have noticed and ask it for their next
stages, all at once. Those who ask pass on how long the queues were when they were last told.
"""

import math

from traystall.passthrough.admission.forecast import PoolLoad

# A gateway that batches is missed, and asked in another's place, within about this long, in
# seconds: from then on what waits is in the queues themselves.
_MISSED_SECONDS = 0.6
# What was told longer ago says nothing, in seconds.
_OLD_SECONDS = 2.0


class Handover:
    """Hold how long queues were elsewhere, for a gateway that has just taken over."""

    def __init__(self):
        self._began = None
        self._waits: dict[str, float] = {}

    def told(self, waits: dict[str, float], age: float, now: float) -> None:
        """Take in waits by pool, in seconds, that were told `age` seconds ago."""
        if self._began is None:
            self._began = now
        if now - self._began > _MISSED_SECONDS or not 0.0 <= age <= _OLD_SECONDS:
            return
        for pool, wait in waits.items():
            if not 0.0 <= wait < math.inf:
                continue  # A pool had no targets there; that shows here, too.
            self._waits[pool] = max(wait, self._waits.get(pool, 0.0))

    def add_to(self, loads: dict[str, PoolLoad], now: float) -> dict[str, PoolLoad]:
        """Return the loads of pools with what is not in their queues yet."""
        if self._began is None:
            self._began = now
        if not self._waits:
            return loads
        if now - self._began > _MISSED_SECONDS:
            self._waits = {}
            return loads
        return {pool: self._with(load, self._waits.get(pool, 0.0)) for pool, load in loads.items()}

    def _with(self, load, wait):
        ahead = round(wait * load.rate)
        if not ahead:
            return load

        def waiting(priority, due):
            return max(ahead, load.waiting(priority, due))

        return PoolLoad(waiting, load.rate, load.call_seconds)
