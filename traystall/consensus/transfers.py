"""A transfer to one peer in chunks, one on the way at a time: what is sent, and when again."""

import msgspec

# The longest wait for the reply to a chunk, in seconds; after that it is sent again. Enough for
# links of 0.5 Mbit/s; more would keep a replica waiting that comes back from a cut.
LONGEST_WAIT = 1.0


class Transfer(msgspec.Struct):
    """Follow one transfer; `key` names its content, times are monotonic seconds."""

    key: tuple
    # How many bytes the peer holds.
    offset: int = 0
    sent_at: float = float("-inf")
    # How long the reply to a chunk is waited for, and whether this chunk was sent again.
    wait: float = 0.0
    resent: bool = False

    def is_waiting(self, now: float) -> bool:
        """Return whether the reply to the last chunk may still be on its way."""
        return now < self.sent_at + self.wait

    def note_sent(self, now: float) -> None:
        """Record that the chunk at `offset` is sent, for the first time or again.

        Sent again each heartbeat, a chunk that takes longer on its link fills it with copies:
        at 5 Mbit/s 1,237 chunks were sent for 40.
        """
        if self.sent_at != float("-inf"):
            self.resent = True
            self.wait = min(LONGEST_WAIT, 2 * self.wait)
        self.sent_at = now

    def note_held(self, offset: int, shortest_wait: float, now: float) -> bool:
        """Record what the peer holds; return whether that is news, so that the next chunk is due.

        A reply that comes twice brings nothing new. Answered by a chunk each time, every resend
        started one more transfer: 356 chunks were sent for 40.
        """
        if offset == self.offset:
            return False
        if not self.resent:
            # Twice as long as this reply took, unless it may be one to an earlier sending.
            self.wait = max(shortest_wait, 2 * (now - self.sent_at))
        self.resent = False
        self.offset = offset
        self.sent_at = float("-inf")
        return True
