"""Log replication: sending entries to peers, accepting them from the leader, and committing.

This is a mixin of `Replica`, which holds the state that these methods read and change.
"""

from traystall.consensus.entry_parts import PART_BYTES, is_large
from traystall.consensus.models import AppendLog, Role, TruncateLog
from traystall.consensus.progress import Progress
from traystall.consensus.quorum import reached_by_majority
from traystall.core.exceptions import ConsensusError
from traystall.rpc.gen.wire.ttypes import AppendReply, AppendRequest, LogEntry

MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = PART_BYTES


class Replication:
    """Send entries to followers as the leader, and accept entries as a follower."""

    def _append(self, items, now):
        first = self.log.last_index + 1
        entries = [
            LogEntry(index=first + offset, term=self.term, kind=int(kind), command=command)
            for offset, (kind, command) in enumerate(items)
        ]
        self._append_entries(entries)
        for peer in self.progress:
            self._send_append(peer, now)

    def _append_entries(self, entries):
        for entry in entries:
            self.log.append(entry)
        writes = self._ready.writes
        if writes and isinstance(writes[-1], AppendLog):
            writes[-1].entries.extend(entries)
        else:
            writes.append(AppendLog(list(entries)))

    def _sync_progress(self):
        """Keep one progress record for each other member, including learners."""
        others = {member.identity for member in self.members} - {self.identity}
        for identity in sorted(others - set(self.progress)):
            self.progress[identity] = Progress(next_index=self.log.last_index + 1)
        for identity in sorted(set(self.progress) - others):
            del self.progress[identity]

    def _send_append(self, peer, now, heartbeat=False):
        progress = self.progress[peer]
        if progress.next_index < self.log.first_index:
            self._send_snapshot(peer, now)
            return
        entries = self._next_entries(progress)
        in_parts = bool(entries) and is_large(entries[0]) and progress.takes_parts is not False
        if in_parts:
            large, entries = entries[0], []
        if entries or heartbeat:
            self._send_entries(peer, entries)
        if in_parts and progress.takes_parts:
            self._send_part(peer, large, now)

    def _next_entries(self, progress):
        """Return the entries that may be sent to a peer now: small ones, or one large entry."""
        if not progress.may_send():
            return []
        entries = self.log.slice(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
        first_large = next((i for i, entry in enumerate(entries) if is_large(entry)), None)
        return entries if first_large is None else entries[: max(1, first_large)]

    def _send_entries(self, peer, entries):
        progress = self.progress[peer]
        prev_index = progress.next_index - 1
        request = AppendRequest(
            **self._envelope(peer),
            prev_index=prev_index,
            prev_term=self.log.term_at(prev_index),
            entries=entries,
            commit=self.commit_index,
            round=self._round,
        )
        if entries:
            progress.record_sent(entries)
        self._ready.messages.append(request)

    def _on_append_request(self, request, now):
        if request.term < self.term:
            self._reply_append(request, success=False, match=0, hint=self.log.last_index)
            return
        self._follow_leader(request.sender, now)
        if not self._matches_log(request):
            self._reply_append(request, success=False, match=0, hint=self._hint_for(request))
            return
        self._accept_entries(request.entries)
        match = request.prev_index + len(request.entries)
        self._commit_to(min(request.commit, match))
        self._reply_append(request, success=True, match=match, hint=0)

    def _follow_leader(self, leader, now):
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self._become_follower(self.term, leader, now)
        self._leader_contact_at = now
        self._reset_election_timer(now)

    def _matches_log(self, request):
        if request.prev_index < self.log.snapshot_index:
            # All entries up to the snapshot are committed here, so the request's must be the same.
            return request.prev_index + len(request.entries) >= self.log.snapshot_index
        return self.log.term_at(request.prev_index) == request.prev_term

    def _hint_for(self, request):
        if request.prev_index < self.log.snapshot_index:
            return self.log.snapshot_index
        if request.prev_index > self.log.last_index:
            return self.log.last_index
        return self.log.first_index_of_term_at(request.prev_index) - 1

    def _accept_entries(self, entries):
        for position, entry in enumerate(entries):
            if entry.index <= self.log.snapshot_index:
                continue
            known_term = self.log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term != -1:
                self._truncate_from(entry.index)
            self._append_entries(entries[position:])
            return

    def _truncate_from(self, index):
        if index <= self.commit_index:
            raise ConsensusError(f"A leader asked to drop the committed entry {index}.")
        self.log.truncate_from(index)
        self._synced_index = min(self._synced_index, index - 1)
        self._ready.writes.append(TruncateLog(index))

    def _reply_append(self, request, success, match, hint):
        reply = AppendReply(
            **self._envelope(request.sender),
            success=success,
            match_index=match,
            hint_index=hint,
            round=request.round,
            takes_parts=True,
        )
        self._ready.messages_after_sync.append(reply)

    def _on_append_reply(self, reply, now):
        progress = self.progress.get(reply.sender)
        if not self.is_leader or reply.term != self.term or progress is None:
            return
        self._acknowledge(progress, reply.round)
        was_known = progress.takes_parts is not None
        progress.takes_parts = bool(reply.takes_parts)
        if not reply.success:
            progress.reject(reply.hint_index, self.log.last_index)
            self._send_append(reply.sender, now, heartbeat=True)
            return
        if progress.accept(reply.match_index):
            self._advance_commit()
            self._after_progress(reply.sender, now)
        elif not was_known:
            self._send_append(reply.sender, now)

    def _after_progress(self, peer, now):
        if not self.is_leader or peer not in self.progress:
            return
        if self._handover_to == peer:
            self._continue_handover()
        if self.progress[peer].next_index <= self.log.last_index:
            self._send_append(peer, now)

    def _acknowledge(self, progress, round_number):
        started = self._round_started.get(round_number)
        if started is not None:
            progress.acknowledge(round_number, started)

    def _advance_commit(self):
        matched = [
            self._synced_index if voter == self.identity else self._match_index_of(voter)
            for voter in self.voters
        ]
        index = reached_by_majority(matched)
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit_to(index)
            self._step_down_if_removed()

    def _match_index_of(self, voter):
        progress = self.progress.get(voter)
        return progress.match_index if progress else 0

    def _commit_to(self, index):
        if index > self.commit_index:
            self.commit_index = index
            self._discard_parts(index)
