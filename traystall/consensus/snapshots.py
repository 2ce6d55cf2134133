"""Transfer of snapshots between replicas, one chunk at a time.

This is a mixin of `Replica`, which holds the state that these methods read and change.
"""

from traystall.consensus.models import SaveSnapshot, Snapshot, decode_members, encode_members
from traystall.consensus.transfers import Transfer
from traystall.rpc.gen.wire.ttypes import SnapshotChunk, SnapshotReply

# A chunk takes 0.1 s on an otherwise idle 5 Mbit/s link; there only the first chunk is sent again
# too early.
SNAPSHOT_CHUNK_BYTES = 64 * 1024


class SnapshotTransfer:
    """Send a snapshot to a peer that lacks compacted entries, and install a received one."""

    def _send_snapshot(self, peer, now):
        progress = self.progress[peer]
        if not self._may_continue_transfer(progress.snapshot):
            newest = self.log.snapshot
            key = (newest.index, newest.term)
            progress.snapshot = Transfer(key, newest, wait=2 * self.timing.heartbeat)
        snapshot = progress.snapshot.snapshot
        if progress.snapshot.awaits_reply(now):
            return
        offset = progress.snapshot.offset
        end = offset + SNAPSHOT_CHUNK_BYTES
        progress.snapshot.record_sent(now)
        self._ready.messages.append(
            SnapshotChunk(
                **self._envelope(peer),
                index=snapshot.index,
                index_term=snapshot.term,
                members=encode_members(snapshot.members),
                offset=offset,
                data=snapshot.data[offset:end],
                last=end >= len(snapshot.data),
                round=self._round,
            )
        )

    def _may_continue_transfer(self, transfer) -> bool:
        """Return whether the log still holds the entries that follow the snapshot being sent.

        A newer snapshot then doesn't restart the transfer: on a slow link it would never end.
        """
        return transfer is not None and transfer.key[0] + 1 >= self.log.first_index

    def _on_snapshot_chunk(self, chunk, now):
        if chunk.term < self.term:
            return
        self._follow_leader(chunk.sender, now)
        if self.log.term_at(chunk.index) == chunk.index_term:
            # The log contains this entry. Later entries may have been acknowledged, so keep them.
            self._commit_to(chunk.index)
        if chunk.index <= self.commit_index:
            self._reply_snapshot(chunk, offset=0, installed=True)
            return
        received = self._snapshot_buffer(chunk)
        if chunk.offset == len(received):
            received.extend(chunk.data or b"")
            if chunk.last:
                self._install(chunk, bytes(received))
                self._reply_snapshot(chunk, offset=0, installed=True)
                return
        self._reply_snapshot(chunk, offset=len(received), installed=False)

    def _snapshot_buffer(self, chunk):
        if (
            self._received_snapshot is None
            or self._received_snapshot[0] != chunk.index
            or chunk.offset == 0
        ):
            self._received_snapshot = (chunk.index, bytearray())
        return self._received_snapshot[1]

    def _install(self, chunk, data):
        snapshot = Snapshot(
            index=chunk.index,
            term=chunk.index_term,
            members=decode_members(chunk.members),
            data=data,
        )
        self._received_snapshot = None
        self.log.reset(snapshot)
        self._synced_index = snapshot.index
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self._ready.restore = snapshot
        self._ready.writes.append(SaveSnapshot(snapshot, keep_entries=False))

    def _reply_snapshot(self, chunk, offset, installed):
        reply = SnapshotReply(
            **self._envelope(chunk.sender),
            index=chunk.index,
            offset=offset,
            installed=installed,
            round=chunk.round,
        )
        self._ready.messages_after_sync.append(reply)

    def _on_snapshot_reply(self, reply, now):
        progress = self.progress.get(reply.sender)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        self._acknowledge(progress, reply.round)
        if reply.installed:
            progress.snapshot = None
            progress.accept(reply.index)
            progress.next_index = max(progress.next_index, reply.index + 1)
            self._advance_commit()
            self._after_progress(reply.sender, now)
            return
        transfer = progress.snapshot
        if transfer is None or reply.index != transfer.key[0]:
            return
        if transfer.record_received(reply.offset, 2 * self.timing.heartbeat, now):
            self._send_snapshot(reply.sender, now)
