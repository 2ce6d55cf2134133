"""Let a gateway's bulk work exceed its share of a target while the target keeps up.

Shares assume that all gateways have work alike. Where one has more, it may go
beyond its share as long as answers take hardly longer than the fastest ones,
which shows that nothing queues at the target; it steps back once they do. In
pools with quick work the shares stand: measured there, the excess cost quick
work more than it gave the rest (docs/design/attainment.md).
"""

from traystall.tables.targets import TargetRow

# Answers within this multiple of the fastest ones show that the target has room.
ROOM_RATIO = 1.1
# Answers beyond this multiple show a queue at the target.
QUEUE_RATIO = 1.25
# What is left of the excess after an answer that shows a queue.
STEP_BACK = 0.5


def allowance(row: TargetRow) -> int:
    """Return how many bulk attempts may be in flight at the target."""
    return row.share + int(row.extra)


def on_duration(row: TargetRow, seconds: float, least: float | None, was_limited: bool) -> None:
    """Take in one answer's time; `least` is the fastest usual time of the same stage."""
    if not least or not row.may_exceed_share:
        return
    # A target that is slow in itself is judged by its own pace, not by its pool's.
    ratio = seconds / (least * max(1.0, row.service_ratio))
    if ratio > QUEUE_RATIO:
        on_queue(row)
    elif ratio < ROOM_RATIO and was_limited:
        row.extra = min(float(row.target.slots), row.extra + 1 / max(1, allowance(row)))


def on_queue(row: TargetRow) -> None:
    """Step back from a target at which work queues."""
    row.extra *= STEP_BACK


def on_failure(row: TargetRow) -> None:
    """Give up what exceeds the share after a failure."""
    row.extra = 0.0
