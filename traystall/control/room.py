"""Decide how long the log may grow, and whether the disk has room for a change. All is pure."""

import msgspec

# The log takes at least this much before a snapshot replaces it.
MIN_LOG_BYTES = 4 * 1024 * 1024
# The log takes at most this part of the disk, however large the snapshot is.
_MAX_LOG_PART = 16
# Room for terms, votes, changes of members and stored targets.
_MARGIN_BYTES = 1024 * 1024
# Bytes of changes that may wait for a majority; a single larger change may wait alone.
MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024


class DiskUse(msgspec.Struct, frozen=True):
    """Hold sizes in bytes: of the disk (0: unknown), its content, the last snapshot and the log.

    `log` counts the entries after the snapshot, and `uncommitted` those that are not applied.
    """

    capacity: int
    used: int
    snapshot: int
    log: int
    uncommitted: int


def log_limit_bytes(capacity: int, snapshot: int) -> int:
    """Return the size of the applied log at which a snapshot replaces it.

    Writing a snapshot then costs no more than the entries that it replaces did. `capacity` is the
    size of the disk, 0 if unknown, and `snapshot` that of the previous snapshot.
    """
    limit = max(MIN_LOG_BYTES, snapshot)
    return min(limit, capacity // _MAX_LOG_PART) if capacity else limit


def missing_bytes(use: DiskUse, size: int) -> int:
    """Return how many bytes are missing for a change of `size` bytes, 0 if there is room.

    The change must fit beside everything on the disk, and so must the next snapshot, which is
    written before it replaces the previous one and the log.
    """
    if use.uncommitted and use.uncommitted + size > MAX_UNCOMMITTED_BYTES:
        return use.uncommitted + size - MAX_UNCOMMITTED_BYTES
    if not use.capacity:
        return 0
    on_disk = max(use.used, use.snapshot + use.log) + size
    next_snapshot = use.snapshot + use.log + size
    copied_entries = use.uncommitted + size
    return max(0, on_disk + next_snapshot + copied_entries + _MARGIN_BYTES - use.capacity)
