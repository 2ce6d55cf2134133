"""One replica of the replicated log: a Raft variant as a pure state machine.

Messages, ticks and proposals are the inputs; `take_ready` returns the messages to send, the writes
to store and the entries to apply. The replica does no I/O and reads no clock: `now` is in monotonic
seconds and `random` is passed in, so tests drive the same code as the daemon.

Two rules go beyond standard Raft:

- A replica grants no vote during the first election timeout after its previous incarnation ended.
  That incarnation may have acknowledged a heartbeat, and the leader's lease relies on the replica
  granting no vote for that time.
- Every message names the identity that it is meant for. A replica whose disk was wiped has a new
  identity, so it can't answer for the old one.
"""

from traystall.consensus.elections import Elections
from traystall.consensus.entry_parts import EntryTransfer
from traystall.consensus.log import ReplicaLog
from traystall.consensus.models import (
    EntryKind,
    HardState,
    Ready,
    Role,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
    Timing,
    encode_members,
)
from traystall.consensus.progress import Progress
from traystall.consensus.quorum import is_single_step, reached_by_majority
from traystall.consensus.replication import Replication
from traystall.consensus.snapshots import SnapshotTransfer
from traystall.core.exceptions import ChangeInProgress, ConsensusError, NotLeader
from traystall.rpc.gen.wire.ttypes import (
    AppendReply,
    AppendRequest,
    EntryPart,
    EntryPartReply,
    LogEntry,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

# A peer counts as caught up if its log is at most this many entries behind the commit index.
MAX_CAUGHT_UP_LAG_ENTRIES = 64
_MAX_ROUNDS_KEPT = 64
# A starting replica waits at least this many heartbeat intervals for a leader before it stands for
# election.
_MIN_FIRST_ELECTION_HEARTBEATS = 1.5


class Replica(Elections, Replication, EntryTransfer, SnapshotTransfer):
    """Run one member of a group under one identity."""

    def __init__(
        self,
        identity: str,
        group: str,
        timing: Timing,
        random,
        now: float,
        hard_state: HardState | None = None,
        log: ReplicaLog | None = None,
        previous_ended_at: float | None = None,
    ):
        """Start an incarnation of a replica at `now`.

        `previous_ended_at` is a time by which the previous incarnation had certainly ended; None
        if that is not known.
        """
        self.identity = identity
        self.group = group
        self.timing = timing
        self.hard_state = hard_state or HardState()
        self.log = log or ReplicaLog()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.log.snapshot_index
        self.applied_index = self.log.snapshot_index
        self.progress: dict[str, Progress] = {}
        self._random = random
        self._ready = Ready()
        self._votes: set[str] = set()
        self._synced_index = self.log.last_index
        self._leader_contact_at = float("-inf")
        previous_ended_at = now if previous_ended_at is None else min(now, previous_ended_at)
        self._may_vote_after = previous_ended_at + timing.election_min
        self._heartbeat_due = 0.0
        self._round = 0
        self._round_started: dict[int, float] = {}
        self._handover_to = ""
        self._handover_deadline = 0.0
        self._term_start_index = 0
        # The parts received so far of a snapshot and of a large entry.
        self._received_snapshot: tuple[int, bytearray] | None = None
        self._received_parts: tuple[tuple, bytearray] | None = None
        # The first timeout is short: a live leader is heard from within a few heartbeats, and if
        # its heartbeats are late, the pre-vote keeps this replica from deposing it.
        self._election_due = now + random.uniform(
            _MIN_FIRST_ELECTION_HEARTBEATS * timing.heartbeat, timing.election_min
        )

    # ---- queries ----

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def members(self):
        """Return the newest members in the log."""
        return self.log.members

    @property
    def committed_members(self):
        """Return the newest committed members.

        An election may still undo a newer change. Until that change is committed, the loss of a
        member that the new group could tolerate may stop the group.
        """
        return self.log.members_at(self.commit_index)

    @property
    def voters(self) -> set[str]:
        """Return the identities of the voters among the newest members, committed or not."""
        return {member.identity for member in self.members if member.voter}

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self.role is Role.LEADER

    def lease_until(self) -> float:
        """Return when the leader's lease ends, in monotonic seconds; minus infinity for none."""
        if not self.is_leader or self._handover_to:
            return float("-inf")
        return self._majority_contact_at() + self.timing.lease

    def holds_lease(self, now: float) -> bool:
        """Return whether no other replica can lead at `now` and this one's state is complete."""
        committed_own = self.commit_index >= self._term_start_index
        return committed_own and now < self.lease_until()

    def caught_up(self, identity: str) -> bool:
        """Return whether a peer's log reaches, or almost reaches, the commit index."""
        progress = self.progress.get(identity)
        if progress is None:
            return identity == self.identity and self.is_leader
        return progress.match_index >= self.commit_index - MAX_CAUGHT_UP_LAG_ENTRIES

    def take_ready(self) -> Ready:
        """Return and clear the outputs.

        The driver sends `messages` at once, makes `writes` durable, then sends
        `messages_after_sync` and reports the sync to this replica. Independently of these steps it
        restores the snapshot `restore` and applies the entries `committed`, in this order.
        """
        ready = self._ready
        self._ready = Ready()
        if self.commit_index > self.applied_index:
            ready.committed = self.log.entries_between(self.applied_index + 1, self.commit_index)
            self.applied_index = self.commit_index
        return ready

    # ---- inputs ----

    def tick(self, now: float) -> None:
        """Send heartbeats, step down or start an election if one of these is due."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_due and self.identity in self.voters:
            self._start_pre_vote(now)

    def receive(self, message, now: float) -> None:
        """Handle one message from a peer; ignore it if it names another group or identity."""
        if message.group != self.group or message.to != self.identity:
            return
        if isinstance(message, VoteRequest):
            self._on_vote_request(message, now)
            return
        if isinstance(message, VoteReply) and message.pre_vote and message.granted:
            self._on_pre_vote_granted(message, now)
            return
        if message.term > self.term:
            self._become_follower(message.term, "", now)
        self._dispatch(message, now)

    def propose(self, commands: list[bytes], now: float) -> list[int]:
        """Append commands and return their indexes; raise NotLeader if this is not the leader.

        Commands proposed together are sent to each peer in one message.
        """
        self._require_leader()
        first = self.log.last_index + 1
        self._append([(EntryKind.COMMAND, command) for command in commands], now)
        return list(range(first, first + len(commands)))

    def propose_members(self, members, now: float) -> int:
        """Append a membership change of at most one voter; return the index of its entry."""
        self._require_leader()
        if self.log.members_index > self.commit_index:
            raise ChangeInProgress("Another change of members is not yet committed.")
        if self.commit_index < self._term_start_index:
            raise ChangeInProgress("This leader has not yet committed an entry of its term.")
        if not is_single_step(self.members, members):
            raise ConsensusError("A change of members may add or remove one voter only.")
        self._append([(EntryKind.MEMBERS, encode_members(members))], now)
        self._sync_progress()
        return self.log.last_index

    def bootstrap_group(self, members, term: int, now: float) -> None:
        """Write the first entry of a new group; only a replica with an empty log may do this.

        `term` must be higher than that of every initial member. A member that bootstrapped the
        group before and lost its disk may have left votes, and its messages may be in flight.
        """
        if self.log.last_index or term <= self.term:
            raise ConsensusError(
                "Only a replica with an empty log can bootstrap a group, in a new term."
            )
        self._set_hard_state(HardState(term=term))
        command = encode_members(members)
        entry = LogEntry(index=1, term=term, kind=EntryKind.MEMBERS, command=command)
        self._append_entries([entry])
        self._election_due = now

    def hand_over(self, identity: str, now: float) -> None:
        """Transfer leadership: give up the lease, and let `identity` stand once it is caught up."""
        self._require_leader()
        if identity == self.identity or identity not in self.voters:
            raise ConsensusError(f"'{identity}' is not another voter of this group.")
        self._handover_to = identity
        self._handover_deadline = now + self.timing.election_max
        self._continue_handover()

    @property
    def synced_index(self) -> int:
        """Return the index up to which the log is durable here."""
        return self._synced_index

    def on_synced(self, term: int, index: int) -> None:
        """Record that the entry (term, index) and all before it are durable here."""
        if self.log.term_at(index) != term:
            return
        self._synced_index = max(self._synced_index, index)
        if self.is_leader:
            self._advance_commit()

    def compact(self, index: int, data: bytes, retained_bytes: int = 0) -> None:
        """Replace the applied log up to `index` by a snapshot of the state machine.

        Entries of `retained_bytes` in total stay in memory for followers that are behind.
        """
        if index <= self.log.snapshot_index or index > self.applied_index:
            return
        snapshot = Snapshot(
            index=index,
            term=self.log.term_at(index),
            members=self.log.members_at(index),
            data=data,
        )
        self.log.compact(snapshot, retained_bytes)
        self._ready.writes.append(SaveSnapshot(snapshot, keep_entries=True))

    # ---- roles ----

    def _become_follower(self, term, leader, now):
        if term > self.term:
            self._set_hard_state(HardState(term=term))
        self.role = Role.FOLLOWER
        self.leader = leader
        self.progress = {}
        self._handover_to = ""
        self._reset_election_timer(now)

    def _become_leader(self, now):
        self.role = Role.LEADER
        self.leader = self.identity
        self._handover_to = ""
        self._round = 0
        self._round_started = {}
        self.progress = {}
        self._sync_progress()
        self._term_start_index = self.log.last_index + 1
        self._elected_at = now
        self._start_round(now)
        self._append([(EntryKind.NOOP, b"")], now)

    def _tick_leader(self, now):
        if now > self._quorum_contact_at() + self.timing.election_max:
            self._become_follower(self.term, "", now)
            return
        if self._handover_to and now > self._handover_deadline:
            # The successor may still win its election, so this replica must not lead on.
            self._become_follower(self.term, "", now)
            return
        if now >= self._heartbeat_due:
            self._start_round(now)
            for peer in self.progress:
                self._send_append(peer, now, heartbeat=True)

    def _quorum_contact_at(self):
        return max(self._majority_contact_at(), self._elected_at)

    def _majority_contact_at(self):
        contact_times = [
            float("inf") if voter == self.identity else self._last_contact_at(voter)
            for voter in self.voters
        ]
        reached = reached_by_majority(contact_times)
        if reached == float("inf"):
            return self._round_started.get(self._round, float("-inf"))
        return reached

    def last_contact_at(self, identity: str) -> float:
        """Return when the newest round that a peer answered began; minus infinity if none."""
        return self._last_contact_at(identity)

    def _last_contact_at(self, voter):
        progress = self.progress.get(voter)
        return progress.acked_round_at if progress else float("-inf")

    def _start_round(self, now):
        self._round += 1
        self._round_started[self._round] = now
        self._round_started.pop(self._round - _MAX_ROUNDS_KEPT, None)
        self._heartbeat_due = now + self.timing.heartbeat

    def _continue_handover(self):
        progress = self.progress.get(self._handover_to)
        if progress is not None and progress.match_index == self.log.last_index:
            self._ready.messages.append(TimeoutNow(**self._envelope(self._handover_to)))

    # ---- replication ----

    def _dispatch(self, message, now):
        handlers = {
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append_request,
            AppendReply: self._on_append_reply,
            EntryPart: self._on_entry_part,
            EntryPartReply: self._on_entry_part_reply,
            SnapshotChunk: self._on_snapshot_chunk,
            SnapshotReply: self._on_snapshot_reply,
            TimeoutNow: self._on_timeout_now,
        }
        handlers[type(message)](message, now)

    def _step_down_if_removed(self):
        committed = self.log.members_index <= self.commit_index
        if committed and self.identity not in self.voters:
            self.role = Role.FOLLOWER
            self.leader = ""
            self.progress = {}

    # ---- helpers ----

    def _envelope(self, to, term=None):
        """Return the fields that all messages have in common."""
        return {
            "group": self.group,
            "to": to,
            "sender": self.identity,
            "term": self.term if term is None else term,
        }

    def _set_hard_state(self, state):
        if state != self.hard_state:
            self.hard_state = state
            self._ready.writes.append(SaveHardState(state))

    def _reset_election_timer(self, now):
        low, high = self.timing.election_min, self.timing.election_max
        self._election_due = now + self._random.uniform(low, high)

    def _require_leader(self):
        if not self.is_leader or self._handover_to:
            raise NotLeader("" if self.leader == self.identity else self.leader)
