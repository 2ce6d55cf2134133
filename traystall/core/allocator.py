"""Make the C library return the memory of large buffers to the system as soon as they are freed."""

import ctypes

_M_MMAP_THRESHOLD = -3
# Larger blocks are mapped one by one. By default the limit rises with the largest block that was
# freed, and freed bodies of some megabytes then stay with the process.
_MMAP_THRESHOLD_BYTES = 128 * 1024


def return_large_blocks() -> bool:
    """Fix the size from which blocks are mapped; return whether the C library can do that."""
    try:
        return bool(ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES))
    except (OSError, AttributeError):
        return False  # Another C library than glibc.
