"""Find the one gateway that does something for all: batches pieces, places prompts.

Ownership is for efficiency only; two gateways that take themselves for the
owner, or none that does, cost some repeats and rereads, never an answer. It
should move seldom, because what an owner knows does not move with it: a gateway
that has just started does not take over, and one that a single directory does
not list is remembered for a while.
"""

from traystall.core import clock
from traystall.core.exceptions import RpcRefused, RpcTimeout
from traystall.systems.rendezvous import rendezvous_order
from traystall.tables.gateways import GatewayRow

# The code by which a gateway that is about to stop refuses to own anything.
LEAVING = "leaving"
# A gateway that did not answer is left out this long, in seconds.
_SUSPECT_SECONDS = 2.0
_LEAVING_SECONDS = 30.0
# A gateway owns nothing before it has run this long, unless none has.
_SETTLED_SECONDS = 8.0
# A gateway counts as large that can do so much of what the largest near it can: gateways that
# differ by less are alike, and what they own moves only as they come and go.
_LARGE_PART = 0.6
# A gateway that the directory no longer lists still counts this long.
_REMEMBERED_SECONDS = 4.0


def placing_key(pool: str) -> str:
    """Return the key of placing a pool's prompts."""
    return f"place {pool}"


def batching_key(cell: str) -> str:
    """Return the key of batching the pieces of a cell."""
    return f"batch {cell}" if cell else "batch"


def rank_owners(
    rows: list[GatewayRow], key: str, now: float, near: tuple[str, ...] = ()
) -> list[str]:
    """Return the identities of gateways in the order in which they own `key`.

    Where data centres are named as `near`, gateways inside them go first. Of these the large ones
    do: what one does for all takes a whole small one in a rush, and then nobody is answered.
    """
    settled = [row for row in rows if now - row.started_at >= _SETTLED_SECONDS] or rows
    near_ones = [row for row in settled if row.data_centre in near] or settled
    least = max((row.size for row in near_ones), default=0.0) * _LARGE_PART
    large = [row.identity for row in near_ones if row.size >= least]
    small = [row.identity for row in near_ones if row.size < least]
    return rendezvous_order(key, large) + rendezvous_order(key, small)


class OwnerSelector:
    """Agree with the other gateways, without talking, on who owns what."""

    def __init__(self, context):
        self._context = context
        self._known: dict[str, tuple[GatewayRow, float]] = {}
        self._left_out: dict[str, float] = {}

    def owner(self, key: str, near: tuple[str, ...] = ()) -> GatewayRow | None:
        """Return the directory row of the owner of `key`, or None if it is this gateway."""
        now = clock.monotonic()
        rows = self._candidates(now)
        order = rank_owners(rows, key, now, near)
        if not order or order[0] == self._context.identity:
            return None
        return self._known[order[0]][0]

    def on_error(self, identity: str, error: Exception) -> None:
        """Leave a gateway out for a while: it did not answer, or said that it stops."""
        leaving = isinstance(error, RpcRefused) and error.code == LEAVING
        seconds = _LEAVING_SECONDS if leaving else _SUSPECT_SECONDS
        now = clock.monotonic()
        self._left_out[identity] = now + seconds
        known = self._known.get(identity)
        if known is not None and isinstance(error, RpcTimeout):
            self._context.places.on_no_response(known[0].data_centre, identity, now)

    def _candidates(self, now) -> list[GatewayRow]:
        for row in self._context.follower.directory:
            self._known[row.identity] = (row, now)
        newest = {row.instance: row for row, _ in self._known.values()}
        for row, _ in self._known.values():
            if row.started_at > newest[row.instance].started_at:
                newest[row.instance] = row
        for identity, (row, listed_at) in list(self._known.items()):
            stale = now - listed_at > _REMEMBERED_SECONDS
            if stale or newest[row.instance].identity != identity:
                del self._known[identity]
        return [
            row
            for identity, (row, _) in self._known.items()
            if row.state == "serving"
            and self._left_out.get(identity, 0.0) <= now
            and not self._context.places.is_unreachable(row.data_centre, now)
        ]
