"""A leader's view of one follower: replicated index, acknowledged round, transfers in progress."""

import msgspec

from traystall.consensus.transfers import Transfer

MAX_INFLIGHT_ENTRIES = 4096
# Unacknowledged bytes that may queue on a link ahead of a heartbeat: 0.2 s at 2.5 Mbit/s.
MAX_INFLIGHT_BYTES = 64 * 1024


class Progress(msgspec.Struct):
    """Track replication to one peer; indexes are log indexes, times are in monotonic seconds."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    acked_round_at: float = float("-inf")
    # The transfers of a snapshot and of a large entry in progress, if any.
    snapshot: Transfer | None = None
    entry: Transfer | None = None
    # Whether the peer accepts entries in parts; None until its first reply.
    takes_parts: bool | None = None
    # Unacknowledged messages with entries: the last index and the bytes of each, and the total.
    in_flight: list[tuple[int, int]] = []
    in_flight_bytes: int = 0

    def may_send(self) -> bool:
        """Return whether more entries may be put in flight."""
        below_entry_limit = self.next_index - self.match_index <= MAX_INFLIGHT_ENTRIES
        return below_entry_limit and self.in_flight_bytes < MAX_INFLIGHT_BYTES

    def record_sent(self, entries: list) -> None:
        """Record that entries were sent."""
        size = sum(len(entry.command or b"") for entry in entries)
        self.next_index += len(entries)
        self.in_flight.append((self.next_index - 1, size))
        self.in_flight_bytes += size

    def accept(self, match_index: int) -> bool:
        """Record a successful append; return whether the match advanced."""
        if match_index <= self.match_index:
            return False
        self.match_index = match_index
        if self.snapshot is not None and self.snapshot.key[0] <= match_index:
            self.snapshot = None
        self._set_in_flight([sent for sent in self.in_flight if sent[0] > match_index])
        self.next_index = max(self.next_index, match_index + 1)
        return True

    def reject(self, hint_index: int, last_index: int) -> None:
        """Move `next_index` to the follower's hint, never below what it has acknowledged.

        A hint beyond `next_index` comes from a follower whose snapshot is newer than the entries
        that were sent; `next_index` then moves forward to it.
        """
        self._set_in_flight([])
        if hint_index >= self.next_index:
            self.next_index = min(hint_index, last_index) + 1
            return
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint_index + 1))

    def _set_in_flight(self, sent):
        self.in_flight = sent
        self.in_flight_bytes = sum(size for _, size in sent)

    def acknowledge(self, round_number: int, started_at: float) -> None:
        """Record that the peer answered a message of the round started at `started_at`."""
        if round_number > self.acked_round:
            self.acked_round = round_number
            self.acked_round_at = started_at
