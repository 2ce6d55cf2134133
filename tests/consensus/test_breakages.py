"""Mutation tests of the fault matrix: each deliberate defect must be detected."""

import pytest

from tests.consensus import test_replica as scenarios
from tests.support.group import Breach, Disk, Group, Host
from traystall.catalog.deltas import entities_digest
from traystall.catalog.models import ApplyOutcome, ApplyResult
from traystall.catalog.state import Catalog
from traystall.consensus.log import ReplicaLog
from traystall.consensus.models import SaveHardState, SaveSnapshot, Snapshot, decode_members
from traystall.consensus.progress import Progress
from traystall.consensus.quorum import reached_by_majority
from traystall.consensus.replica import Replica
from traystall.core.exceptions import ConsensusError
from traystall.evacuations.cache import EvacuationCache, from_wire
from traystall.evacuations.models import OrderEvacuation
from traystall.evacuations.state import Evacuations
from traystall.gateway.configuration import HeldRevision
from traystall.ledger.models import ClaimOutcome, ClaimResult
from traystall.ledger.state import Ledger
from traystall.tables.configuration import ConfigurationTables

MAX_SEEDS = 400
STEPS = 1500


def vote_not_synced(patch):
    """The disk never stores the term and vote."""
    original = Disk.save

    def save(self, write):
        if not isinstance(write, SaveHardState):
            original(self, write)

    patch.setattr(Disk, "save", save)


def replies_before_sync(patch):
    """Messages that depend on a write are sent before it is synced."""
    original = Host._store

    def store(self, ready):
        self.group.send(self, ready.messages_after_sync)
        ready.messages_after_sync = []
        original(self, ready)

    patch.setattr(Host, "_store", store)


def own_log_counts_unsynced(patch):
    """A replica counts entries that have not been acknowledged as durable."""
    patch.setattr(Replica, "_match_index_of", lambda self, voter: max(self.log.last_index - 1, 0))


def wiped_disk_votes(patch):
    """A replica with a wiped disk restarts under its old identity."""

    def wipe(self):
        self.disk = Disk()
        self.boot()

    patch.setattr(Host, "wipe", wipe)


def lease_not_respected(patch):
    """A replica grants a vote although it has just heard from a leader."""
    patch.setattr(Replica, "_may_answer_vote", lambda self, request, now: True)


def restart_votes_at_once(patch):
    """A replica votes right after its start, ignoring a heartbeat that it had acknowledged."""
    patch.setattr(Replica, "_has_no_state", lambda self: True)


def lease_too_long(patch):
    """The lease starts at the arrival of an acknowledgement, not at the start of its round."""
    original = Progress.acknowledge

    def acknowledge(self, round_number, started_at):
        original(self, round_number, started_at + 1.0)

    patch.setattr(Progress, "acknowledge", acknowledge)


def handover_keeps_lease(patch):
    """A leader keeps its lease while it transfers leadership."""

    def lease_until(self):
        if not self.is_leader:
            return float("-inf")
        return self._majority_contact_at() + self.timing.lease

    patch.setattr(Replica, "lease_until", lease_until)


def learner_counts(patch):
    """Acknowledgements of learners count towards the quorum of the voters."""

    def advance(self):
        matched = [self._synced_index, *(p.match_index for p in self.progress.values())]
        index = sorted(matched, reverse=True)[len(self.voters) // 2]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit_to(index)

    patch.setattr(Replica, "_advance_commit", advance)


def minority_commits(patch):
    """One acknowledgement suffices for a commit."""
    for module in ("replica", "replication"):
        name = f"traystall.consensus.{module}.reached_by_majority"
        patch.setattr(name, lambda v: max(v, default=0))
    assert reached_by_majority([1, 2, 3]) == 2


def two_voters_at_once(patch):
    """A membership change may replace several voters, even during an uncommitted change."""
    patch.setattr("traystall.consensus.replica.is_single_step", lambda old, new: True)
    patch.setattr(ReplicaLog, "members_index", property(lambda self: 0))


def old_term_commits(patch):
    """A leader commits entries of earlier terms by counting replicas that hold them."""

    def advance(self):
        matched = [
            self._synced_index if voter == self.identity else self._match_index_of(voter)
            for voter in self.voters
        ]
        self._commit_to(reached_by_majority(matched))

    patch.setattr(Replica, "_advance_commit", advance)


def previous_entry_unchecked(patch):
    """A follower accepts entries without a check of the entry before them."""

    def fits(self, request):
        return request.prev_index <= self.log.last_index

    patch.setattr(Replica, "_matches_log", fits)


def candidate_log_unchecked(patch):
    """A replica grants a vote to a candidate whose log is behind."""

    def grants(self, request):
        if request.term < self.term:
            return False
        return request.pre_vote or self.hard_state.vote in ("", request.sender)

    patch.setattr(Replica, "_grants_vote", grants)


def votes_twice(patch):
    """A replica votes more than once in a term."""
    original = Replica._grants_vote

    def grants(self, request):
        free, self.hard_state = self.hard_state, type(self.hard_state)(self.term, "")
        try:
            return original(self, request)
        finally:
            self.hard_state = free

    patch.setattr(Replica, "_grants_vote", grants)


def snapshot_drops_acknowledged(patch):
    """A delayed snapshot drops later entries that were acknowledged."""

    def on_chunk(self, chunk, now):
        if chunk.term < self.term or not chunk.last or chunk.offset:
            return
        self._follow_leader(chunk.sender, now)
        members = decode_members(chunk.members)
        snapshot = Snapshot(chunk.index, chunk.index_term, members, chunk.data)
        self.log.reset(snapshot)
        self.commit_index = self.applied_index = self._synced_index = snapshot.index
        self._ready.restore = snapshot
        self._ready.writes.append(SaveSnapshot(snapshot, keep_entries=False))
        self._reply_snapshot(chunk, offset=0, installed=True)

    patch.setattr(Replica, "_on_snapshot_chunk", on_chunk)


def founds_by_accident(patch):
    """An empty replica bootstraps a group although other replicas have a log."""
    original = Host.wipe

    def wipe(self):
        original(self)
        members = self.group.hosts[0].replica.members
        if members:
            self.replica.bootstrap_group(
                [type(members[0])(self.identity, self.name, "", True)], 10**6, self.now
            )
            self.process_ready()

    patch.setattr(Host, "wipe", wipe)


def resend_by_number_only(patch):
    """An apply with a number already in use is accepted even if its content differs."""
    original = Catalog.lookup

    def lookup(self, number, content):
        found = original(self, number, content)
        if found is not None and found.outcome is ApplyOutcome.CONFLICT:
            return ApplyResult(ApplyOutcome.ACCEPTED, found.revision, self.number, True)
        return found

    patch.setattr(Catalog, "lookup", lookup)


def history_lost_in_snapshot(patch):
    """A snapshot loses the history of which content was accepted for which number."""
    original = Catalog.restore

    def restore(self, data):
        original(self, data)
        newest = self._history.get(self.number)
        self._history = {self.number: newest} if newest else {}
        self._history |= {n: newest for n in range(1, self.number)}

    patch.setattr(Catalog, "restore", restore)


def delta_on_wrong_base(patch):
    """A delta is applied without a check of its base."""

    def unchecked(base, base_digest, delta):
        result = {key: value for key, value in base.items() if key not in set(delta.deletes)}
        return result | delta.puts

    patch.setattr("traystall.catalog.state.apply_delta", unchecked)
    patch.setattr("traystall.gateway.configuration.apply_delta", unchecked)
    patch.setattr(
        "traystall.catalog.state.Catalog.delta_since",
        lambda self, held: list(self._deltas.values())[-1] if self._deltas else None,
    )
    assert entities_digest({})


def gateway_steps_back(patch):
    """A gateway accepts every revision, including older ones."""

    def take(self, reply):
        self.tables = ConfigurationTables(reply.number, reply.puts)
        self.digest = reply.digest
        return True

    patch.setattr(HeldRevision, "take", take)


def dispatch_before_commit(patch):
    """A claimant dispatches once its claim is proposed, not once it has won."""
    original = Host.propose

    def propose(self, command, callback):
        original(self, command, callback)
        if callback is not None and type(command).__name__ == "Claim":
            callback(ClaimResult(ClaimOutcome.WON, command.claim_id))

    patch.setattr(Host, "propose", propose)


def held_claim_wins(patch):
    """A claimed key can be claimed again."""
    original = Ledger._claim_result

    def answer(self, entry, command):
        result = original(self, entry, command)
        if result.outcome is ClaimOutcome.HELD:
            return ClaimResult(ClaimOutcome.WON, command.claim_id)
        return result

    patch.setattr(Ledger, "_claim_result", answer)


def released_claim_wins_again(patch):
    """A delayed duplicate of a released claim wins the key again."""
    original = Ledger.claim

    def claim(self, command):
        entry = self._entries.get((command.customer, command.key))
        if entry is not None:
            entry.released = []
        return original(self, command)

    patch.setattr(Ledger, "claim", claim)


def ledger_lost_in_snapshot(patch):
    """The ledger in a snapshot is not restored."""
    patch.setattr(Ledger, "restore", lambda self, data: None)


def evacuations_lost_in_snapshot(patch):
    """A snapshot omits the evacuations."""
    patch.setattr(Evacuations, "snapshot", lambda self: b"")


def evacuation_lost_at_version(patch):
    """A gateway accepts evacuations of any version, including older ones."""

    def take(self, told):
        self.places = from_wire(told)
        return True

    patch.setattr(EvacuationCache, "take", take)


def evacuation_answered_before_commit(patch):
    """The leader acknowledges an evacuation once it is proposed, not once it is committed."""
    original = Host.propose

    def propose(self, command, callback):
        if not isinstance(command, OrderEvacuation):
            original(self, command, callback)
            return
        original(self, command, lambda result: None)
        copy = Evacuations()
        copy.restore(self.state.evacuations.snapshot())
        callback(copy.order(command))

    patch.setattr(Host, "propose", propose)


BREAKAGES = [
    evacuations_lost_in_snapshot,
    evacuation_lost_at_version,
    evacuation_answered_before_commit,
    vote_not_synced,
    replies_before_sync,
    own_log_counts_unsynced,
    wiped_disk_votes,
    lease_not_respected,
    restart_votes_at_once,
    lease_too_long,
    handover_keeps_lease,
    learner_counts,
    minority_commits,
    two_voters_at_once,
    old_term_commits,
    previous_entry_unchecked,
    candidate_log_unchecked,
    votes_twice,
    snapshot_drops_acknowledged,
    founds_by_accident,
    resend_by_number_only,
    history_lost_in_snapshot,
    delta_on_wrong_base,
    gateway_steps_back,
    dispatch_before_commit,
    held_claim_wins,
    released_claim_wins_again,
    ledger_lost_in_snapshot,
]


# Defects that only rare schedules expose have a dedicated scenario.
SCENARIOS = {
    lease_not_respected: scenarios.test_no_vote_while_a_leader_may_hold_its_lease,
    restart_votes_at_once: scenarios.test_no_vote_right_after_a_restart,
    old_term_commits: (
        scenarios.test_entries_of_earlier_terms_commit_only_with_one_of_the_own_term
    ),
    learner_counts: scenarios.test_learners_do_not_count,
    lease_too_long: scenarios.test_lease_starts_with_the_acknowledged_round,
    handover_keeps_lease: scenarios.test_handover_ends_the_lease_at_once,
    snapshot_drops_acknowledged: scenarios.test_late_snapshot_keeps_acknowledged_entries,
}


@pytest.mark.parametrize("breakage", BREAKAGES, ids=lambda b: b.__name__)
def test_breakage_is_caught(breakage, monkeypatch):
    breakage(monkeypatch)
    scenario = SCENARIOS.get(breakage)
    if scenario is not None:
        with pytest.raises((AssertionError, IndexError)):
            scenario()
    else:
        assert any(is_detected(seed) for seed in range(MAX_SEEDS))


def is_detected(seed):
    """Return whether the schedule of a seed detects the defect."""
    group = Group(seed, size=3 + 2 * (seed % 2))
    try:
        group.run(STEPS)
        group.settle()
    except (Breach, ConsensusError, AssertionError):
        return True
    return False
