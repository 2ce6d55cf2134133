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
_REQUESTER_LIFETIME_SECONDS = 2.0
# Lenders and their gateways ask so many times as often as there is something to lend.
_REQUESTS_PER_PERMIT = 2.0
# A gateway that got nothing asks again after so many seconds at the latest.
_MAX_SPREAD_SECONDS = 3.0


class PermitGrant(msgspec.Struct, frozen=True):
    """Hold an answer to a gateway that asks for a permit; all in seconds.

    A permit may be used from `wait` on. Without one `wait` is when the next would be free, and
    `spread` over how long those who ask should come back.
    """

    is_granted: bool
    wait: float
    spread: float = 0.0


class PermitSchedule(msgspec.Struct):
    """Hold what was lent of one life of a target."""

    # The last moment that was dealt out, and those that were given back unused.
    last_send_at: float = float("-inf")
    returned_times: list[float] = []
    lent: int = 0
    requesters: dict[str, float] = {}

    def lend(
        self, per_second: float, requester: str, patience: float, is_spare: bool, now: float
    ) -> PermitGrant:
        """Return a permit that may be used within `patience` seconds, or when there is one.

        With `is_spare` it is for something that may as well be left out: only what nobody has
        wanted for a while is given for it.
        """
        self._record_requester(requester, now)
        interval = 1.0 / per_second
        next_send_at = self.last_send_at + interval
        if is_spare and now - next_send_at < interval:
            return PermitGrant(False, interval, self._spread(per_second))
        send_at = self._take_returned_time(patience, now)
        if send_at is None:
            base = max(next_send_at, now - _BURST_SECONDS)
            send_at = max(now, base)
            if send_at - now > patience:
                return PermitGrant(False, send_at - now, self._spread(per_second))
            self.last_send_at = base
        self.lent += 1
        return PermitGrant(True, send_at - now)

    def give_back(self, send_at: float, now: float) -> None:
        """Take back a permit for a moment that is still to come; one for the past is lost."""
        # It seems a little later than it was lent by the time that its return took.
        send_at = min(send_at, self.last_send_at)
        if send_at > now:
            bisect.insort(self.returned_times, send_at)
            self.lent -= 1

    def _take_returned_time(self, patience, now):
        while self.returned_times and self.returned_times[0] < now:
            self.returned_times.pop(0)
        if self.returned_times and self.returned_times[0] - now <= patience:
            return self.returned_times.pop(0)
        return None

    def _record_requester(self, requester, now):
        self.requesters[requester] = now
        if len(self.requesters) > 1:
            self.requesters = {
                name: at
                for name, at in self.requesters.items()
                if now - at < _REQUESTER_LIFETIME_SECONDS
            }

    def _spread(self, per_second):
        others = len(self.requesters) - 1
        return min(_MAX_SPREAD_SECONDS, others / (_REQUESTS_PER_PERMIT * per_second))
