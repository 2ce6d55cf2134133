"""How long a message may take on its link by its size alone."""

# The narrowest link between control daemons that is served, shared by two peers: 2 Mbit/s.
_SLOWEST_BYTES_PER_SECOND = 250_000


def transfer_seconds(size_bytes: int) -> float:
    """Return how long so many bytes take on the narrowest link that is served."""
    return size_bytes / _SLOWEST_BYTES_PER_SECOND
