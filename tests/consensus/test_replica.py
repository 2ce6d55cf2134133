"""Unit tests for the rules of the replica, each with a minimal scenario."""

import random

import pytest

from traystall.consensus.log import ReplicaLog
from traystall.consensus.models import (
    EntryKind,
    HardState,
    MemberRecord,
    Role,
    Timing,
    encode_members,
)
from traystall.consensus.replica import Replica
from traystall.core.exceptions import ChangeInProgress, ConsensusError, NotLeader
from traystall.rpc.gen.wire.ttypes import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)

TIMING = Timing()
VOTERS = ("a/1", "b/1", "c/1")


def members(*voters, learners=()):
    """Return member records."""
    records = [MemberRecord(name, name, "", True) for name in voters]
    return [*records, *(MemberRecord(name, name, "", False) for name in learners)]


def make_replica(identity="a/1", term=1, entry_terms=(), now=0.0, learners=()):
    """Return a replica whose log has the members and then entries of the given terms."""
    entries = [
        LogEntry(
            index=1,
            term=1,
            kind=EntryKind.MEMBERS,
            command=encode_members(members(*VOTERS, learners=learners)),
        )
    ]
    for index, entry_term in enumerate(entry_terms, 2):
        entries.append(LogEntry(index=index, term=entry_term, kind=EntryKind.COMMAND, command=b""))
    return Replica(
        identity, "main", TIMING, random.Random(1), now, HardState(term), ReplicaLog(None, entries)
    )


def elect(replica, now):
    """Make the replica leader of the next term at `now`."""
    replica.tick(now)
    term = replica.term + 1
    replica.receive(vote_reply("b/1", replica, term, pre_vote=True), now)
    replica.receive(vote_reply(replica.identity, replica, term), now)
    replica.receive(vote_reply("b/1", replica, term), now)
    assert replica.role is Role.LEADER
    replica.take_ready()
    replica.on_synced(replica.term, replica.log.last_index)
    return replica


def vote_reply(sender, replica, term, pre_vote=False):
    return VoteReply(
        group="main",
        to=replica.identity,
        sender=sender,
        term=term,
        granted=True,
        pre_vote=pre_vote,
    )


def vote_request(sender, replica, term, last=(9, 9), **words):
    return VoteRequest(
        group="main",
        to=replica.identity,
        sender=sender,
        term=term,
        last_term=last[0],
        last_index=last[1],
        pre_vote=words.get("pre_vote", False),
        handover=words.get("handover", False),
    )


def append(sender, replica, term, prev=(0, 0), entries=(), commit=0):
    return AppendRequest(
        group="main",
        to=replica.identity,
        sender=sender,
        term=term,
        prev_term=prev[0],
        prev_index=prev[1],
        entries=list(entries),
        commit=commit,
        round=1,
    )


def acknowledge(replica, sender, index, now, round_number=1):
    replica.receive(
        AppendReply(
            group="main",
            to=replica.identity,
            sender=sender,
            term=replica.term,
            success=True,
            match_index=index,
            hint_index=0,
            round=round_number,
        ),
        now,
    )


def sent(replica, kind):
    """Return the messages of one type that the replica outputs, before or after a sync."""
    ready = replica.take_ready()
    return [m for m in ready.messages + ready.messages_after_sync if isinstance(m, kind)]


def test_no_vote_while_a_leader_may_hold_its_lease():
    follower = make_replica("b/1", now=-10.0)
    follower.receive(append("a/1", follower, 1), 0.0)
    follower.take_ready()
    for pre_vote in (True, False):
        request = vote_request("c/1", follower, 2, pre_vote=pre_vote)
        follower.receive(request, TIMING.election_min * 0.95)
        assert not sent(follower, VoteReply)
    follower.receive(vote_request("c/1", follower, 2), TIMING.election_min * 1.05)
    assert sent(follower, VoteReply)[0].granted


def test_no_vote_right_after_a_restart():
    restarted = make_replica("b/1", now=100.0)
    restarted.receive(vote_request("c/1", restarted, 2), 100.0 + TIMING.election_min * 0.9)
    assert not sent(restarted, VoteReply)
    restarted.receive(vote_request("c/1", restarted, 2), 100.0 + TIMING.election_min)
    assert sent(restarted, VoteReply)[0].granted


def test_entries_of_earlier_terms_commit_only_with_one_of_the_own_term():
    leader = elect(make_replica("a/1", term=2, entry_terms=(2,)), 5.0)
    own = leader.log.last_index
    acknowledge(leader, "b/1", own - 1, 5.0)
    assert leader.commit_index == 0
    acknowledge(leader, "b/1", own, 5.0)
    assert leader.commit_index == own


def test_learners_do_not_count():
    leader = elect(make_replica("a/1", learners=("d/1",)), 5.0)
    acknowledge(leader, "d/1", leader.log.last_index, 5.0)
    assert leader.commit_index == 0
    assert not leader.holds_lease(5.0)


def test_lease_starts_with_the_acknowledged_round():
    leader = elect(make_replica("a/1"), 5.0)
    acknowledge(leader, "b/1", leader.log.last_index, 5.8)
    assert leader.holds_lease(5.0 + TIMING.lease * 0.99)
    assert not leader.holds_lease(5.0 + TIMING.lease)


def test_handover_ends_the_lease_at_once():
    leader = elect(make_replica("a/1"), 5.0)
    acknowledge(leader, "b/1", leader.log.last_index, 5.0)
    assert leader.holds_lease(5.1)
    leader.hand_over("b/1", 5.1)
    assert not leader.holds_lease(5.1)
    with pytest.raises(NotLeader):
        leader.propose([b""], 5.1)


def test_leader_without_quorum_steps_down():
    leader = elect(make_replica("a/1"), 5.0)
    leader.tick(5.0 + TIMING.election_max * 1.01)
    assert leader.role is Role.FOLLOWER


def test_vote_is_not_given_to_a_log_that_is_behind():
    voter = make_replica("b/1", term=2, entry_terms=(2, 2), now=-10.0)
    voter.receive(vote_request("c/1", voter, 3, last=(2, 2)), 0.0)
    assert not sent(voter, VoteReply)[0].granted
    voter.receive(vote_request("c/1", voter, 4, last=(2, 3)), 0.0)
    assert sent(voter, VoteReply)[0].granted


def test_one_vote_a_term():
    voter = make_replica("b/1", now=-10.0)
    voter.receive(vote_request("c/1", voter, 2), 0.0)
    assert sent(voter, VoteReply)[0].granted
    voter.receive(vote_request("a/1", voter, 2), 0.0)
    assert not sent(voter, VoteReply)[0].granted


def test_message_for_another_incarnation_is_ignored():
    wiped = make_replica("b/2", now=-10.0)
    request = vote_request("c/1", wiped, 2)
    request.to = "b/1"
    wiped.receive(request, 0.0)
    assert not wiped.take_ready()


def test_late_snapshot_keeps_acknowledged_entries():
    follower = make_replica("b/1", term=2, entry_terms=(1, 2, 2), now=-10.0)
    chunk = SnapshotChunk(
        group="main",
        to="b/1",
        sender="a/1",
        term=2,
        index=2,
        index_term=1,
        members=encode_members(members(*VOTERS)),
        offset=0,
        data=b"state",
        last=True,
        round=1,
    )
    follower.receive(chunk, 0.0)
    assert follower.log.last_index == 4
    assert follower.commit_index == 2


def test_members_change_by_one_voter_and_one_at_a_time():
    leader = elect(make_replica("a/1"), 5.0)
    with pytest.raises(ChangeInProgress):
        leader.propose_members(members("a/1", "b/1"), 5.0)
    acknowledge(leader, "b/1", leader.log.last_index, 5.0)
    with pytest.raises(ConsensusError):
        leader.propose_members(members("a/1"), 5.0)
    leader.propose_members(members("a/1", "b/1"), 5.0)
    with pytest.raises(ChangeInProgress):
        leader.propose_members(members("a/1", "b/1", "c/1"), 5.0)


def test_returning_replica_does_not_depose_a_working_leader():
    leader = elect(make_replica("a/1"), 5.0)
    acknowledge(leader, "b/1", leader.log.last_index, 5.0)
    leader.take_ready()
    leader.receive(vote_request("c/1", leader, 9, pre_vote=True), 5.1)
    leader.receive(vote_request("c/1", leader, 9), 5.1)
    assert leader.role is Role.LEADER
    assert not sent(leader, VoteReply)


def test_founding_needs_an_empty_log_and_a_new_term():
    with pytest.raises(ConsensusError):
        make_replica("a/1").bootstrap_group(members(*VOTERS), 5, 0.0)
    voted = Replica("a/1", "main", TIMING, random.Random(1), 0.0, HardState(3))
    with pytest.raises(ConsensusError):
        voted.bootstrap_group(members(*VOTERS), 3, 0.0)
    voted.bootstrap_group(members(*VOTERS), 4, 0.0)
    assert voted.log.last_index == 1


@pytest.mark.parametrize(
    ("previous_ended_at", "votes"), [(None, False), (9.5, False), (9.0, True), (20.0, False)]
)
def test_time_since_the_previous_incarnation_counts_towards_the_vote_delay(
    previous_ended_at, votes
):
    made = make_replica(now=10.0)
    replica = Replica(
        "a/1",
        "main",
        TIMING,
        random.Random(1),
        10.0,
        made.hard_state,
        made.log,
        previous_ended_at=previous_ended_at,
    )
    replica.receive(vote_request("b/1", replica, 2), 10.01)
    granted = [m.granted for m in replica.take_ready().messages_after_sync]
    assert granted == ([True] if votes else [])


def test_first_election_comes_sooner_than_later_ones():
    for seed in range(50):
        made = make_replica(now=10.0)
        replica = Replica(
            "a/1", "main", TIMING, random.Random(seed), 10.0, made.hard_state, made.log
        )
        replica.tick(10.0 + TIMING.heartbeat)
        assert replica.role is Role.FOLLOWER, "a live leader must be heard from first"
        replica.tick(10.0 + TIMING.election_min)
        assert replica.role is Role.PRE_CANDIDATE
