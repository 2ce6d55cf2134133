"""Lease the places of brittle targets, so that all gateways together fill no more than there are.

A brittle target ends when it rejects too many requests for lack of room. A lender therefore leases
each place to one request at a time. Performs no I/O; times are monotonic seconds.
"""

import msgspec

# Share of the places that the second lender leases to gateways that can't reach the first one.
SECOND_LENDER_SHARE = 0.3


def places_of_second_lender(places: int) -> int:
    """Return how many places the second lender may lease; one, so that work does not stop."""
    return max(1, int(places * SECOND_LENDER_SHARE))


class PlaceTable(msgspec.Struct):
    """The leased places of one incarnation of a target.

    `held` has the end of each lease by its name. A holder that ends without a word keeps its place
    until then.
    """

    held: dict[str, float] = {}

    def lease(self, name: str, places: int, seconds: float, now: float) -> bool:
        """Lease one of `places` for up to `seconds`; return whether one was free."""
        for other, until in list(self.held.items()):
            if until <= now:
                del self.held[other]
        if name not in self.held and len(self.held) >= places:
            return False
        self.held[name] = now + seconds
        return True

    def release(self, name: str) -> None:
        """End a lease; one that has expired is unknown."""
        self.held.pop(name, None)
