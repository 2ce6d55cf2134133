"""Select the gateway that owns a task for all gateways: to batch pieces, or to place prompts.

Each gateway computes the owner of a key from its own directory by rendezvous hashing, without any
communication. Ownership is for efficiency only: two owners of a key, or none, cost some repeated
pieces and repeated prefill, but never a response. Ownership should rarely move, because the state
of an owner does not move with it. A gateway that has just started therefore does not take over, and
a gateway that is missing from one version of the directory is remembered for a while.
"""

from traystall.core import clock
from traystall.core.exceptions import RpcRefused, RpcTimeout
from traystall.systems.rendezvous import rendezvous_order
from traystall.tables.gateways import GatewayRow

# Error code with which a gateway that is about to stop refuses a request to an owner.
LEAVING = "leaving"
# A gateway that did not respond is excluded for this long.
_UNRESPONSIVE_SECONDS = 2.0
_LEAVING_SECONDS = 30.0
# A gateway owns no key until its uptime reaches this time, unless all gateways are younger.
_MIN_UPTIME_SECONDS = 8.0
# A gateway counts as large from this ratio of the largest nearby gateway's size on. Gateways that
# differ by less rank as equal, so that ownership moves only when a gateway joins or leaves.
_LARGE_SIZE_RATIO = 0.6
# A gateway that the directory no longer lists remains a candidate for this long.
_UNLISTED_SECONDS = 4.0


def placing_key(pool: str) -> str:
    """Return the ownership key for placing the prompts of a pool."""
    return f"place {pool}"


def batching_key(cell: str) -> str:
    """Return the ownership key for batching the pieces of a cell (a group of data centres)."""
    return f"batch {cell}" if cell else "batch"


def rank_owners(
    rows: list[GatewayRow], key: str, now: float, near: tuple[str, ...] = ()
) -> list[str]:
    """Return the identities of the gateways that own `key`, in order of preference.

    If any gateway is in the data centres `near`, the others are excluded. Large gateways go before
    small ones, since during a load peak an owner's work exceeds the capacity of a small gateway,
    which then responds to no request.
    """
    mature = [row for row in rows if now - row.started_at >= _MIN_UPTIME_SECONDS] or rows
    nearby = [row for row in mature if row.data_centre in near] or mature
    min_size = max((row.size for row in nearby), default=0.0) * _LARGE_SIZE_RATIO
    large = [row.identity for row in nearby if row.size >= min_size]
    small = [row.identity for row in nearby if row.size < min_size]
    return rendezvous_order(key, large) + rendezvous_order(key, small)


class OwnerSelector:
    """Select owners from the directory, and exclude gateways that did not respond."""

    def __init__(self, context):
        self._context = context
        # By identity, the directory row and the time at which the directory listed it last.
        self._known: dict[str, tuple[GatewayRow, float]] = {}
        self._excluded_until: dict[str, float] = {}

    def owner(self, key: str, near: tuple[str, ...] = ()) -> GatewayRow | None:
        """Return the directory row of the owner of `key`, or None if it is this gateway."""
        now = clock.monotonic()
        rows = self._candidates(now)
        order = rank_owners(rows, key, now, near)
        if not order or order[0] == self._context.identity:
            return None
        return self._known[order[0]][0]

    def on_error(self, identity: str, error: Exception) -> None:
        """Exclude a gateway for a while because it did not respond or is about to stop."""
        leaving = isinstance(error, RpcRefused) and error.code == LEAVING
        seconds = _LEAVING_SECONDS if leaving else _UNRESPONSIVE_SECONDS
        now = clock.monotonic()
        self._excluded_until[identity] = now + seconds
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
            stale = now - listed_at > _UNLISTED_SECONDS
            if stale or newest[row.instance].identity != identity:
                del self._known[identity]
        return [
            row
            for identity, (row, _) in self._known.items()
            if row.state == "serving"
            and self._excluded_until.get(identity, 0.0) <= now
            and not self._context.places.is_unreachable(row.data_centre, now)
        ]
