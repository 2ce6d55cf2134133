"""Grant permits for single requests to a rate-limited target. Pure; times are monotonic seconds.

The lender assigns send times at a constant interval, so that no period contains more requests
than the target's limit, regardless of the gateways' earlier use.
"""

import bisect

import msgspec

# The share of a limit that its first lender grants. A target may count a request's connection as
# well, and twice this share still stays within the tolerance of 1.5 times the limit.
FIRST_LENDER_SHARE = 0.7
# The share that the second lender grants to gateways that can't reach the first. Both shares
# together don't exceed the limit.
SECOND_LENDER_SHARE = 0.3
# Unused capacity accumulates for up to this many seconds and may then be granted in a burst.
_BURST_SECONDS = 0.1
# A gateway that requested a permit within this many seconds counts as an active requester.
_REQUESTER_LIFETIME_SECONDS = 2.0
# The requesters together retry this many times for each permit that becomes available.
_REQUESTS_PER_PERMIT = 2.0
# Upper bound of the retry spread of a gateway without a permit.
_MAX_SPREAD_SECONDS = 3.0


class PermitGrant(msgspec.Struct, frozen=True):
    """The reply to a permit request; all times in seconds.

    A granted permit is valid after `wait`. Without a grant, `wait` is the time until the next
    permit and `spread` the period over which the requesters should spread their retries.
    """

    is_granted: bool
    wait: float
    spread: float = 0.0


class PermitSchedule(msgspec.Struct):
    """The permits that were granted for one incarnation of a target."""

    # The last assigned send time, and the assigned times that were returned unused.
    last_send_at: float = float("-inf")
    returned_times: list[float] = []
    granted_count: int = 0
    requesters: dict[str, float] = {}

    def grant(
        self, per_second: float, requester: str, patience: float, is_spare: bool, now: float
    ) -> PermitGrant:
        """Grant a permit that is valid within `patience` seconds, or return the time until one.

        With `is_spare` the permit is for optional work, which only gets capacity that has been
        unused for a while.
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
        self.granted_count += 1
        return PermitGrant(True, send_at - now)

    def give_back(self, send_at: float, now: float) -> None:
        """Return an unused permit whose send time is in the future; an expired one is lost."""
        # The send time is recomputed from the remaining time and is late by the message's delay.
        send_at = min(send_at, self.last_send_at)
        if send_at > now:
            bisect.insort(self.returned_times, send_at)
            self.granted_count -= 1

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
