"""What a leader knows of one follower: replicated index, acknowledged round, snapshot state."""

import msgspec

MAX_INFLIGHT_ENTRIES = 4096


class Progress(msgspec.Struct):
    """Track replication to one peer; indexes are log indexes, times are monotonic seconds."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    acked_round_at: float = float("-inf")
    snapshot_index: int = 0
    snapshot_offset: int = 0
    snapshot_sent_at: float = float("-inf")
    # How long a reply to a chunk is waited for, in seconds, and whether this chunk was sent again.
    snapshot_wait: float = 0.0
    snapshot_resent: bool = False

    def may_send(self) -> bool:
        """Return whether more entries may be put in flight."""
        return self.next_index - self.match_index <= MAX_INFLIGHT_ENTRIES

    def accept(self, match_index: int) -> bool:
        """Record a successful append; return whether the match advanced."""
        if match_index <= self.match_index:
            return False
        self.match_index = match_index
        self.next_index = max(self.next_index, match_index + 1)
        return True

    def reject(self, hint_index: int, last_index: int) -> None:
        """Move to the follower's hint, never below what it has acknowledged.

        A hint ahead of `next_index` comes from a follower whose snapshot is
        newer than the entry offered: go forward to it.
        """
        if hint_index >= self.next_index:
            self.next_index = min(hint_index, last_index) + 1
            return
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint_index + 1))

    def acknowledge(self, round_number: int, started_at: float) -> None:
        """Record that the peer answered a message of the round started at `started_at`."""
        if round_number > self.acked_round:
            self.acked_round = round_number
            self.acked_round_at = started_at
