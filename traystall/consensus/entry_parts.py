"""Transfer of large entries between replicas, a part at a time, with heartbeats in between.

A part of `Replica`, which holds the state that these methods read and change. Sent as one message,
an entry that takes longer over a link than an election holds up what keeps the leader in its place.
"""

from traystall.consensus.transfers import Transfer
from traystall.rpc.gen.wire.ttypes import AppendRequest, EntryPart, EntryPartReply, LogEntry

# Two followers at 2 Mbit/s: 0.26 s each, which the shortest election in use bears.
PART_BYTES = 32 * 1024
# The largest entry that is put together: as large as a message that proposes one may be.
MAX_ENTRY_BYTES = 64 * 1024 * 1024


def is_large(entry) -> bool:
    """Return whether an entry is sent in parts to those that take them."""
    return len(entry.command or b"") > PART_BYTES


class EntryTransfer:
    """Send a large entry to a peer that holds all before it, and put one together."""

    def _send_part(self, peer, entry, now):
        progress = self.progress[peer]
        key = (entry.index, entry.term)
        if progress.entry is None or progress.entry.key != key:
            progress.entry = Transfer(key, wait=2 * self.timing.heartbeat)
        if progress.entry.is_waiting(now):
            return
        offset = progress.entry.offset
        progress.entry.note_sent(now)
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
        self._follow(part.sender, now)
        if self._has_entry(part):
            # A part that was sent again while the whole entry was being synced.
            self._reply_append(part, success=True, match=part.index, hint=0)
            return
        held = self._parts_of(part)
        most = min(part.size, MAX_ENTRY_BYTES)
        if part.offset == len(held) and len(held) + len(part.data) <= most:
            held.extend(part.data)
        if len(held) == part.size:
            self._on_append_request(_whole(part, bytes(held)), now)
            if self._has_entry(part):
                self._parts = None
            return
        reply = EntryPartReply(
            **self._envelope(part.sender),
            index=part.index,
            entry_term=part.entry_term,
            offset=len(held),
            round=part.round,
        )
        self._ready.messages_after_sync.append(reply)

    def _has_entry(self, part) -> bool:
        """Return whether the log holds the entry, or a snapshot that covers it."""
        if part.index < self.log.snapshot_index:
            return True
        return self.log.term_at(part.index) == part.entry_term

    def _drop_parts(self, index):
        """Give up what is held of an entry at `index` or before: another one is committed there."""
        if self._parts is not None and self._parts[0][0] <= index:
            self._parts = None

    def _parts_of(self, part) -> bytearray:
        """Return what is held of the entry; parts of one other entry are dropped for it.

        An index and a term name one entry, so parts of it that an earlier leader sent still count.
        """
        key = (part.index, part.entry_term, part.size)
        if self._parts is None or self._parts[0] != key:
            self._parts = (key, bytearray())
        return self._parts[1]

    def _on_entry_part_reply(self, reply, now):
        progress = self.progress.get(reply.sender)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        self._acknowledge(progress, reply.round)
        transfer = progress.entry
        if transfer is None or transfer.key != (reply.index, reply.entry_term):
            return
        if transfer.note_held(reply.offset, 2 * self.timing.heartbeat, now):
            self._send_append(reply.sender, now)


def _whole(part, command) -> AppendRequest:
    """Return the request that would have brought the whole entry."""
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
