"""Decide when the next call of a pool begins. Pure; times are monotonic seconds.

Load: pools at half of their rate whose targets are all at work all the time. The pieces of a call
end together, so the next stages of its requests come together, and whichever target is free takes
the first of them alone and is at work for a whole call; the others wait for the next one. Calls
that begin at even distances, as many in the time of one as there are targets, each take what has
come since the last: their sizes are alike, and nobody waits long for the next one.
"""

# The part of an even distance that calls keep: at the whole of it targets would stand idle
# whenever calls grow shorter, and less of what a crowd asks would be made.
_DISTANCE_PART = 0.8


def next_call_time(
    last_began: float, call_seconds: float, targets: int, waiting: int, batch: int
) -> float:
    """Return from when on the next call of a pool begins.

    The last one began at `last_began`; calls take `call_seconds` lately, `targets` can be called,
    and `waiting` pieces wait. A full call of `batch` pieces begins as soon as a target is free.
    """
    if waiting >= batch or targets < 2:
        return float("-inf")
    return last_began + _DISTANCE_PART * call_seconds / targets
