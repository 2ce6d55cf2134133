"""When requests that have begun will ask a pool for pieces. Pure; times are monotonic seconds.

Demand is kept by urgency, patience and short spans of time, so that what a forecast costs
does not grow with the requests under way.
"""

import math

import msgspec

# Demand that comes within one span counts as coming at its beginning: a fifth of the shortest
# calls (0.15 s).
SPAN_SECONDS = 0.03
# Pieces that may wait alike are kept together, in steps of so many seconds: a few kinds of
# requests meet at a pool, each with about one patience at each of its stages.
PATIENCE_STEP_SECONDS = 0.1


class Expected(msgspec.Struct, frozen=True):
    """Expect so many pieces of an urgency in a span; they may wait so many steps."""

    priority: int
    span: int
    pieces: int
    patience: int = 0

    def due(self) -> float:
        """Return when the pieces should begin at the latest, in seconds."""
        return self.span * SPAN_SECONDS + self.patience * PATIENCE_STEP_SECONDS


class DemandTimeline:
    """Hold what is expected at one pool."""

    def __init__(self):
        # By urgency and patience, then by span, the pieces that are expected.
        self._pieces: dict[tuple[int, int], dict[int, int]] = {}

    def expect(self, priority: int, at: float, pieces: int, patience: float = 0.0) -> Expected:
        """Count pieces that will be asked for at about `at`; return what takes them back.

        `patience` is how long they may wait then, in seconds.
        """
        steps = max(0, math.floor(patience / PATIENCE_STEP_SECONDS))
        expected = Expected(priority, int(at / SPAN_SECONDS), pieces, steps)
        spans = self._pieces.setdefault((priority, steps), {})
        spans[expected.span] = spans.get(expected.span, 0) + pieces
        return expected

    def take_back(self, expected: Expected) -> None:
        """Count pieces no longer: they were asked for, or never will be."""
        key = (expected.priority, expected.patience)
        spans = self._pieces[key]
        left = spans[expected.span] - expected.pieces
        if left:
            spans[expected.span] = left
        else:
            del spans[expected.span]
            if not spans:
                del self._pieces[key]

    def total(self, priority: int) -> int:
        """Return all pieces that are expected of an urgency and of more urgent ones."""
        found = (spans for (other, _), spans in self._pieces.items() if other <= priority)
        return sum(sum(spans.values()) for spans in found)

    def backlog(
        self,
        priority: int,
        waiting: int,
        rate: float,
        now: float,
        at: float,
        due: float = math.inf,
    ) -> float:
        """Return how many pieces go before one of `priority` that is asked for at `at`.

        `waiting` stand in the queue now; `rate` are served a second, and what is
        served while nothing waits is lost. What is overdue is taken to come now. Of
        what is as urgent, only that counts which should begin until `due`.
        """
        arrivals: dict[int, int] = {}
        last = int(at / SPAN_SECONDS)
        for (other, patience), spans in self._pieces.items():
            if other > priority:
                continue
            if other == priority and due < math.inf:
                latest = (due - patience * PATIENCE_STEP_SECONDS) / SPAN_SECONDS
            else:
                latest = math.inf
            for span, pieces in spans.items():
                if span <= last and span <= latest:
                    arrivals[span] = arrivals.get(span, 0) + pieces
        left = float(waiting)
        time = now
        for span in sorted(arrivals):
            comes = max(now, span * SPAN_SECONDS)
            left = max(0.0, left - rate * (comes - time)) + arrivals[span]
            time = comes
        return max(0.0, left - rate * (max(now, at) - time))
