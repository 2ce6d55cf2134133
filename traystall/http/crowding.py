"""Decide which connections to close when there are too many. Pure."""

import heapq
import math
from collections.abc import Iterable
from typing import Protocol

from traystall.http.limits import Stage

# Ratio of all connections that are closed at once, so that they are not searched for each new one.
_CLOSED_RATIO = 1 / 64


class Candidate(Protocol):
    """A connection, what it waits for, and when its client moved last (monotonic seconds)."""

    stage: Stage
    moved_at: float


def choose_resting(connections: Iterable[Candidate], limit: float) -> list[Candidate]:
    """Return the connections to close so that there is room below `limit`.

    They are those whose clients have not moved for the longest time. A connection whose request is
    being handled is not among them.
    """
    resting = [connection for connection in connections if connection.stage is not Stage.HANDLER]
    count = math.ceil(limit * _CLOSED_RATIO) if math.isfinite(limit) else 1
    return heapq.nsmallest(count, resting, key=lambda connection: connection.moved_at)
