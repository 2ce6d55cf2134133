"""Hold the pieces that admitted requests are going to send to a pool, and when.

The module does no I/O; times are monotonic seconds. Pieces are grouped by priority, patience (how
long they may wait) and short time buckets, so that the cost of a forecast does not grow with the
number of active requests.
"""

import math

import msgspec

# All pieces of one bucket count as arriving at its start. The bucket is a fifth of the shortest
# calls (0.15 s).
BUCKET_SECONDS = 0.03
# Pieces with the same patience, rounded down to a step, are grouped. A few routes meet at a pool,
# each with about one patience at each of its stages.
PATIENCE_STEP_SECONDS = 0.1


class ExpectedPieces(msgspec.Struct, frozen=True):
    """Describe pieces of a priority expected in a bucket; `patience` is a number of steps."""

    priority: int
    bucket: int
    pieces: int
    patience: int = 0

    def due(self) -> float:
        """Return the time at which the pieces should start at the latest, in seconds."""
        return self.bucket * BUCKET_SECONDS + self.patience * PATIENCE_STEP_SECONDS


class DemandTimeline:
    """Hold the pieces expected at one pool."""

    def __init__(self):
        # The number of expected pieces by priority and patience, then by bucket.
        self._pieces: dict[tuple[int, int], dict[int, int]] = {}

    def expect(
        self, priority: int, at: float, pieces: int, patience: float = 0.0
    ) -> ExpectedPieces:
        """Add pieces that arrive at about `at`; return the entry that `remove` accepts.

        `patience` is how long the pieces may wait after their arrival, in seconds.
        """
        steps = max(0, math.floor(patience / PATIENCE_STEP_SECONDS))
        expected = ExpectedPieces(priority, int(at / BUCKET_SECONDS), pieces, steps)
        buckets = self._pieces.setdefault((priority, steps), {})
        buckets[expected.bucket] = buckets.get(expected.bucket, 0) + pieces
        return expected

    def remove(self, expected: ExpectedPieces) -> None:
        """Remove pieces that have arrived or are never going to arrive."""
        key = (expected.priority, expected.patience)
        buckets = self._pieces[key]
        left = buckets[expected.bucket] - expected.pieces
        if left:
            buckets[expected.bucket] = left
        else:
            del buckets[expected.bucket]
            if not buckets:
                del self._pieces[key]

    def total(self, priority: int) -> int:
        """Return the number of expected pieces of a priority and of more urgent ones."""
        found = (buckets for (other, _), buckets in self._pieces.items() if other <= priority)
        return sum(sum(buckets.values()) for buckets in found)

    def backlog(
        self,
        priority: int,
        waiting: int,
        rate: float,
        now: float,
        at: float,
        due: float = math.inf,
    ) -> float:
        """Return how many pieces go before a piece of `priority` that arrives at `at`.

        `waiting` pieces are in the queue now and `rate` pieces are served per second; capacity is
        lost while the queue is empty. Overdue pieces count as arriving now. Pieces of the same
        priority count only if they should start before `due`.
        """
        arrivals: dict[int, int] = {}
        last = int(at / BUCKET_SECONDS)
        for (other, patience), buckets in self._pieces.items():
            if other > priority:
                continue
            if other == priority and due < math.inf:
                latest = (due - patience * PATIENCE_STEP_SECONDS) / BUCKET_SECONDS
            else:
                latest = math.inf
            for bucket, pieces in buckets.items():
                if bucket <= last and bucket <= latest:
                    arrivals[bucket] = arrivals.get(bucket, 0) + pieces
        left = float(waiting)
        time = now
        for bucket in sorted(arrivals):
            arrives = max(now, bucket * BUCKET_SECONDS)
            left = max(0.0, left - rate * (arrives - time)) + arrivals[bucket]
            time = arrives
        return max(0.0, left - rate * (max(now, at) - time))
