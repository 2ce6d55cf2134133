"""Lease the places of brittle targets, so that all gateways together fill no more than there are.

A brittle target ends when it rejects too many requests for lack of room. A lender therefore leases
each place to one request at a time. Performs no I/O; times are monotonic seconds.
"""

import msgspec

# A lease that ended before it was requested is refused for this long.
_RETURNED_EARLY_SECONDS = 5.0
# Share of the places that the second lender leases to gateways that can't reach the first one.
SECOND_LENDER_SHARE = 0.3


def places_of_second_lender(places: int) -> int:
    """Return how many places the second lender may lease; one, so that work does not stop."""
    return max(1, int(places * SECOND_LENDER_SHARE))


class PlaceTable(msgspec.Struct):
    """The leased places of one incarnation of a target.

    `held` has the end of each lease by its name. A holder that ends without a word keeps its place
    until then. `returned_early` has the leases that ended before they were requested: the holder
    stopped waiting for a lender that was slow.
    """

    held: dict[str, float] = {}
    returned_early: dict[str, float] = {}

    def lease(self, name: str, places: int, seconds: float, now: float) -> bool:
        """Lease one of `places` for up to `seconds`; return whether one was free."""
        _remove_expired(self.held, now)
        _remove_expired(self.returned_early, now)
        if name in self.returned_early:
            return False
        if name not in self.held and len(self.held) >= places:
            return False
        self.held[name] = now + seconds
        return True

    def release(self, name: str, now: float) -> None:
        """End a lease."""
        if self.held.pop(name, None) is None:
            _remove_expired(self.returned_early, now)
            self.returned_early[name] = now + _RETURNED_EARLY_SECONDS


def _remove_expired(leases, now):
    for name, until in list(leases.items()):
        if until <= now:
            del leases[name]
