"""Let a gateway's bulk work exceed its share of a target while the target has no queue.

Shares assume that all gateways have an equal load. A gateway with more work may
exceed its share while response times stay close to the fastest ones, which
shows that the target has no queue, and backs off once they grow. The excess
grows additively and shrinks by a factor, as in TCP congestion control. In pools
with quick work the shares are fixed: measurements there showed that the excess
cost quick work more than other work gained (docs/design/attainment.md).
"""

from traystall.tables.targets import TargetRow

# Response times within this multiple of the fastest ones show that the target has no queue.
IDLE_RATIO = 1.1
# Response times beyond this multiple show a queue at the target.
QUEUE_RATIO = 1.25
# Fraction of the excess that remains after a response that shows a queue.
EXCESS_DECREASE_FACTOR = 0.5


def allowance(row: TargetRow) -> int:
    """Return how many bulk attempts may be in flight at the target."""
    return row.share + int(row.excess_slots)


def on_duration(row: TargetRow, seconds: float, least: float | None, was_limited: bool) -> None:
    """Adjust the excess to one response time; `least` is the stage's optimistic time."""
    if not least or not row.may_exceed_share:
        return
    # A slow target is compared with its own usual time, not with that of its pool.
    ratio = seconds / (least * max(1.0, row.service_ratio))
    if ratio > QUEUE_RATIO:
        on_queue(row)
    elif ratio < IDLE_RATIO and was_limited:
        row.excess_slots = min(
            float(row.target.slots), row.excess_slots + 1 / max(1, allowance(row))
        )


def on_queue(row: TargetRow) -> None:
    """Reduce the excess at a target with a queue."""
    row.excess_slots *= EXCESS_DECREASE_FACTOR


def on_failure(row: TargetRow) -> None:
    """Reset the excess after a failure."""
    row.excess_slots = 0.0
