"""Lend the requests that a target takes to the gateways, one by one. Pure; monotonic seconds.

The lender deals out moments of sending at a steady distance, so that no span of time holds more
than the target takes, whatever the gateways did before.
"""

import bisect

import msgspec

# The part of a limit that its first lender deals out. A target may count more than a request at a
# time, such as the connection that it came on: twice as many still keep to what it takes.
FIRST_PART = 0.7
# The part that the second lender deals out, for gateways that don't reach the first: both at once
# stay within the limit.
SECOND_PART = 0.3
# What was not lent for a while may be lent at once, but no more than that of so many seconds.
_BURST_SECONDS = 0.1
# Gateways that asked within so many seconds are taken to want more.
_ASKERS_SECONDS = 2.0
# Lenders and their gateways ask so many times as often as there is something to lend.
_ASKS_PER_PERMIT = 2.0
# A gateway that got nothing asks again after so many seconds at the latest.
_MAX_SPREAD_SECONDS = 3.0


class Loan(msgspec.Struct, frozen=True):
    """Hold an answer to a gateway that asks for a permit; all in seconds.

    A permit may be used from `wait` on. Without one `wait` is when the next would be free, and
    `spread` over how long those who ask should come back.
    """

    is_granted: bool
    wait: float
    spread: float = 0.0


class LentTarget(msgspec.Struct):
    """Hold what was lent of one life of a target."""

    # The last moment that was dealt out, and those that were given back unused.
    last_at: float = float("-inf")
    returned: list[float] = []
    granted_count: int = 0
    askers: dict[str, float] = {}

    def grant(
        self, per_second: float, asker: str, patience: float, is_spare: bool, now: float
    ) -> Loan:
        """Return a permit that may be used within `patience` seconds, or when there is one.

        With `is_spare` it is for something that may as well be left out: only what nobody has
        wanted for a while is given for it.
        """
        self._note_asker(asker, now)
        interval = 1.0 / per_second
        next_at = self.last_at + interval
        if is_spare and now - next_at < interval:
            return Loan(False, interval, self._spread(per_second))
        slot = self._returned_slot(patience, now)
        if slot is None:
            base = max(next_at, now - _BURST_SECONDS)
            slot = max(now, base)
            if slot - now > patience:
                return Loan(False, slot - now, self._spread(per_second))
            self.last_at = base
        self.granted_count += 1
        return Loan(True, slot - now)

    def give_back(self, slot: float, now: float) -> None:
        """Take back a permit for a moment that is still to come; one for the past is lost."""
        # It seems a little later than it was lent by the time that its return took.
        slot = min(slot, self.last_at)
        if slot > now:
            bisect.insort(self.returned, slot)
            self.granted_count -= 1

    def _returned_slot(self, patience, now):
        while self.returned and self.returned[0] < now:
            self.returned.pop(0)
        if self.returned and self.returned[0] - now <= patience:
            return self.returned.pop(0)
        return None

    def _note_asker(self, asker, now):
        self.askers[asker] = now
        if len(self.askers) > 1:
            self.askers = {
                name: at for name, at in self.askers.items() if now - at < _ASKERS_SECONDS
            }

    def _spread(self, per_second):
        others = len(self.askers) - 1
        return min(_MAX_SPREAD_SECONDS, others / (_ASKS_PER_PERMIT * per_second))
