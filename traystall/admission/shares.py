"""Divide crowded pools between kinds of requests, and a kind's part between customers. Pure.

Load: several kinds meet at pools that make less than all of them ask for. A kind that may wait
long fills the queue, and one that may not finds no place behind it; a customer who asks often
finds place more often than one who asks once. Here every kind that meets at the pool that binds
gets the same part of what it asks for, and inside a kind a customer gets what it asks for up to a
level that is the same for all. So nobody is starved, no kind is served a smaller part than another
one at its own bottleneck, and nothing that a pool makes is left unused.
"""

from collections.abc import Mapping

import msgspec

# Parts closer than this to the whole are the whole.
_WHOLE = 1.0 - 1e-9


class KindPart(msgspec.Struct, frozen=True):
    """Say which part of a kind is served, and which pool binds it; none if nothing does."""

    part: float = 1.0
    pool: str = ""


def parts_of_kinds(
    requested: Mapping[str, Mapping[str, float]], rates: Mapping[str, float]
) -> dict[str, KindPart]:
    """Return the part of each kind that the pools can serve.

    `asked` holds what each kind asks of each pool, `rates` what each pool makes, both in
    pieces a second; a pool that is not named makes any number. A request asks all of its
    pools or none: what a kind doesn't get at one pool it doesn't ask of the others, and
    they serve more of those that meet there.
    """
    found: dict[str, KindPart] = {}
    left = dict(rates)
    open_kinds = {kind for kind in requested if any(requested[kind].values())}
    while open_kinds:
        level, pool = _scarcest(requested, left, open_kinds)
        if level >= _WHOLE:
            break
        for kind in [kind for kind in open_kinds if requested[kind].get(pool, 0.0) > 0.0]:
            found[kind] = KindPart(level, pool)
            open_kinds.discard(kind)
            for name, rate in requested[kind].items():
                if name in left:
                    left[name] = max(0.0, left[name] - level * rate)
    return {kind: found.get(kind, KindPart()) for kind in requested}


def parts_of_customers(requested: Mapping[str, float], rate: float) -> dict[str, float]:
    """Return the part of what each customer asks that is served, `rate` in all.

    Who asks little gets all of it; what that leaves goes to the others alike.
    """
    left, count = max(0.0, rate), len(requested)
    parts: dict[str, float] = {}
    for customer, wanted in sorted(requested.items(), key=lambda item: (item[1], item[0])):
        given = min(wanted, left / count)
        parts[customer] = given / wanted if wanted > 0.0 else 1.0
        left -= given
        count -= 1
    return parts


def _scarcest(requested, left, open_kinds) -> tuple[float, str]:
    """Return the smallest part that a pool can serve of those kinds, and its name."""
    lowest, found = 1.0, ""
    for pool in sorted(left):
        wanted = sum(requested[kind].get(pool, 0.0) for kind in open_kinds)
        if wanted > 0.0 and left[pool] / wanted < lowest:
            lowest, found = left[pool] / wanted, pool
    return lowest, found
