"""Transfer of large entries between replicas in parts, with heartbeats in between.

This is a mixin of `Replica`, which holds the state that these methods read and change. If a large
entry were sent as one message, heartbeats would queue behind it. On a link where that takes longer
than an election timeout, the followers would elect another leader.
"""

from traystall.consensus.transfers import Transfer
from traystall.rpc.gen.wire.ttypes import AppendRequest, EntryPart, EntryPartReply, LogEntry

# Sent to two followers over a shared 2 Mbit/s link, a part takes 0.26 s to reach each of them. The
# shortest election timeout in use tolerates this delay.
PART_BYTES = 32 * 1024
# The largest entry that is assembled from parts; a message that proposes an entry has the same
# limit.
MAX_ENTRY_BYTES = 64 * 1024 * 1024


def is_large(entry) -> bool:
    """Return whether an entry is sent in parts to peers that support this."""
    return len(entry.command or b"") > PART_BYTES


class EntryTransfer:
    """Send a large entry in parts to a peer whose log precedes it, and assemble received parts."""

    def _send_part(self, peer, entry, now):
        progress = self.progress[peer]
        key = (entry.index, entry.term)
        if progress.entry is None or progress.entry.key != key:
            progress.entry = Transfer(key, wait=2 * self.timing.heartbeat)
        if progress.entry.awaits_reply(now):
            return
        offset = progress.entry.offset
        progress.entry.record_sent(now)
        self._ready.messages.append(
            EntryPart(
                **self._envelope(peer),
                prev_term=self.log.term_at(entry.index - 1),
                index=entry.index,
                entry_term=entry.term,
                kind=entry.kind,
                offset=offset,
                data=entry.command[offset : offset + PART_BYTES],
                size=len(entry.command),
                commit=self.commit_index,
                round=self._round,
            )
        )

    def _on_entry_part(self, part, now):
        if part.term < self.term:
            self._reply_append(part, success=False, match=0, hint=self.log.last_index)
            return
        self._follow_leader(part.sender, now)
        if self._has_entry(part):
            # The leader sent this part again while the complete entry was being synced.
            self._reply_append(part, success=True, match=part.index, hint=0)
            return
        received = self._entry_buffer(part)
        max_bytes = min(part.size, MAX_ENTRY_BYTES)
        if part.offset == len(received) and len(received) + len(part.data) <= max_bytes:
            received.extend(part.data)
        if len(received) == part.size:
            self._on_append_request(_to_append_request(part, bytes(received)), now)
            if self._has_entry(part):
                self._received_parts = None
            return
        reply = EntryPartReply(
            **self._envelope(part.sender),
            index=part.index,
            entry_term=part.entry_term,
            offset=len(received),
            round=part.round,
        )
        self._ready.messages_after_sync.append(reply)

    def _has_entry(self, part) -> bool:
        """Return whether the log contains the entry or a snapshot that covers it."""
        if part.index < self.log.snapshot_index:
            return True
        return self.log.term_at(part.index) == part.entry_term

    def _discard_parts(self, index):
        """Discard received parts of an entry at `index` or before, where another is committed."""
        if self._received_parts is not None and self._received_parts[0][0] <= index:
            self._received_parts = None

    def _entry_buffer(self, part) -> bytearray:
        """Return the buffer of received parts of the entry; discard those of any other entry.

        An index and a term identify an entry, so parts from an earlier leader remain valid.
        """
        key = (part.index, part.entry_term, part.size)
        if self._received_parts is None or self._received_parts[0] != key:
            self._received_parts = (key, bytearray())
        return self._received_parts[1]

    def _on_entry_part_reply(self, reply, now):
        progress = self.progress.get(reply.sender)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        self._acknowledge(progress, reply.round)
        transfer = progress.entry
        if transfer is None or transfer.key != (reply.index, reply.entry_term):
            return
        if transfer.record_received(reply.offset, 2 * self.timing.heartbeat, now):
            self._send_append(reply.sender, now)


def _to_append_request(part, command) -> AppendRequest:
    """Return the request that carries the entry as one message."""
    entry = LogEntry(index=part.index, term=part.entry_term, kind=part.kind, command=command)
    return AppendRequest(
        group=part.group,
        to=part.to,
        sender=part.sender,
        term=part.term,
        prev_index=part.index - 1,
        prev_term=part.prev_term,
        entries=[entry],
        commit=part.commit,
        round=part.round,
    )
