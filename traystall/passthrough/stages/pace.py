"""Space the calls of a pool evenly. Pure; times are monotonic seconds.

Without pacing, a pool at half of its capacity can have all its targets busy all the time. The
pieces of a call complete together, so the next stages of their requests arrive together. The first
free target takes the first of these pieces alone and is busy for a whole call, and the other pieces
wait for the next target. With evenly spaced calls, as many per call duration as there are targets,
each call takes the pieces that arrived since the previous one. The batches are of similar size and
no piece waits long.
"""

# The ratio of an even spacing that calls keep. With the full spacing, targets would be idle
# whenever calls become shorter, and the pool's throughput under overload would drop.
_SPACING_RATIO = 0.8


def next_call_time(
    last_began: float, call_seconds: float, targets: int, waiting: int, batch: int
) -> float:
    """Return the earliest start of the next call of a pool.

    The previous call started at `last_began`. Calls currently take `call_seconds`, `targets` can be
    called, and `waiting` pieces wait. A full call of `batch` pieces starts without delay.
    """
    if waiting >= batch or targets < 2:
        return float("-inf")
    return last_began + _SPACING_RATIO * call_seconds / targets
