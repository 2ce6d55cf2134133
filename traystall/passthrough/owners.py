"""Find the one gateway that does something for all: gathers a pool's pieces, places its prompts.

Ownership is for efficiency only; two gateways that take themselves for the
owner, or none that does, cost some repeats and rereads, never an answer.
"""

from traystall.core import clock
from traystall.passthrough.board import rendezvous_order

_SUSPECT_SECONDS = 2.0


def gathering_key(pool: str) -> str:
    """Return the key of gathering a pool's pieces."""
    return f"gather {pool}"


def placing_key(pool: str) -> str:
    """Return the key of placing a pool's prompts."""
    return f"place {pool}"


class Owners:
    """Agree with the other gateways, without talking, on who owns what."""

    def __init__(self, context):
        self._context = context
        self._suspects: dict[str, float] = {}

    def owner(self, key: str):
        """Return the directory row of the owner of `key`, or None if it is this gateway."""
        now = clock.monotonic()
        own = self._context.identity
        rows = {
            row.identity: row
            for row in self._context.follower.directory
            if row.state == "serving" and self._suspects.get(row.identity, 0.0) <= now
        }
        names = [*sorted(rows.keys() - {own}), own]
        first = rendezvous_order(key, names)[0]
        return None if first == own else rows[first]

    def suspect(self, identity: str) -> None:
        """Leave a gateway out for a while: it did not answer."""
        self._suspects[identity] = clock.monotonic() + _SUSPECT_SECONDS
