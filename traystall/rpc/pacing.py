"""Transfer time of a message by its size."""

# The slowest supported link between control daemons: 2 Mbit/s, shared by two peers.
_SLOWEST_BYTES_PER_SECOND = 250_000


def transfer_seconds(size_bytes: int) -> float:
    """Return the transfer time of `size_bytes` on the slowest supported link."""
    return size_bytes / _SLOWEST_BYTES_PER_SECOND
