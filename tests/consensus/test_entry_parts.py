"""Large entries sent in parts, under faults at any step, with mixed releases and over slow links.

Guards against an entry that delays heartbeats until the leader is deposed, and against an entry
that is assembled from parts of different entries.
"""

import pytest

from tests.consensus.test_append_width import Group as NarrowGroup
from tests.consensus.test_matrix import FAULTS, apply_fault
from tests.consensus.test_replica import acknowledge, elect, make_replica
from tests.support.group import Group
from tests.support.release_hosts import RollingHost
from traystall.consensus.entry_parts import PART_BYTES
from traystall.rpc.gen.wire.ttypes import AppendReply, EntryPart, EntryPartReply

SCHEDULES = 60
STEPS = 1500
# Small enough that almost all entries of the schedules count as large.
_SMALL_PART_BYTES = 24


@pytest.fixture
def small_parts(monkeypatch):
    monkeypatch.setattr("traystall.consensus.entry_parts.PART_BYTES", _SMALL_PART_BYTES)


class RollingGroup(Group):
    """Run hosts of two releases; each start of a host chooses one at random."""

    host_class = RollingHost


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("kind", [Group, RollingGroup])
def test_random_schedules_with_parts(small_parts, kind, size):
    """Random faults at any time, also during the transfer of entries in parts."""
    seen = set()
    for seed in range(SCHEDULES):
        group = kind(seed * 10 + size, size)
        group.run(STEPS)
        group.settle()
        seen |= group.effects
    assert {"EntryPart", "EntryPartReply"} <= seen


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("effect", ["EntryPart", "EntryPartReply"])
@pytest.mark.parametrize("occurrence", [1, 2, 5, 13, 34])
def test_fault_at_a_part(small_parts, effect, fault, occurrence):
    """Inject a fault into the sender of a part or of a reply to one; the group recovers."""
    group = Group(f"{effect}{fault}{occurrence}", faults=False)
    emitters = []

    def hook(kind, host):
        if kind == effect:
            emitters.append(host)
            if len(emitters) == occurrence:
                group.hook = None

    group.hook = hook
    for _ in range(4000):
        group.step()
        if len(emitters) >= occurrence:
            break
    assert len(emitters) == occurrence
    apply_fault(group, fault, emitters[-1])
    group.run(500)
    group.settle()


@pytest.mark.parametrize(
    ("kilobytes", "mbit"), [(800, 4), (2500, 10), (1200, 8), (400, 2), (600, 5)]
)
def test_small_changes_behind_a_large_one_commit_and_the_leader_stays(kilobytes, mbit):
    """A small change is proposed every 0.1 s during the transfer of a large one."""
    group = NarrowGroup(mbit * 1e6 / 8)
    while group.leader() is None or group.now < 8:
        group.step()
    leader, term = group.leader(), group.leader().term
    started_at, before = group.now, group.bytes
    large = leader.propose([bytes(kilobytes * 1000)], group.now)[0]
    proposed_at = group.now
    while leader.commit_index < large and group.now < started_at + 60:
        if group.now >= proposed_at + 0.1:
            proposed_at = group.now
            last = leader.propose([b"small"], group.now)[0]
        group.step()
    while leader.commit_index < last and group.now < started_at + 60:
        group.step()
    alone = 2 * kilobytes * 1000 / group.bytes_per_second
    assert max(replica.term for replica in group.replicas.values()) == term
    assert leader.commit_index >= last
    assert group.now - started_at < 3 * alone + 1
    # The entry goes to two followers; sending it twice to each would take 4 times its size.
    assert group.bytes - before < 2.5 * kilobytes * 1000


def leader_with_large_entry(parts=4, takes_parts=True):
    """Return a leader that has proposed an entry of `parts` parts, and its time."""
    leader = elect(make_replica("a/1"), 5.0)
    for peer in ("b/1", "c/1"):
        acknowledge(leader, peer, leader.log.last_index, 5.0)
        leader.progress[peer].takes_parts = takes_parts
    leader.take_ready()
    leader.propose([bytes(parts * PART_BYTES)], 5.0)
    return leader, 5.0


def sent(replica, kind, to="c/1"):
    ready = replica.take_ready()
    messages = [*ready.messages, *ready.messages_after_sync] if ready else []
    return [m for m in messages if isinstance(m, kind) and m.to == to]


def exchange(leader, follower, now, most=50):
    """Pass parts and replies between both until none are left; return the number of parts."""
    count = 0
    for _ in range(most):
        parts = sent(leader, EntryPart)
        count += len(parts)
        for part in parts:
            follower.receive(part, now)
        replies = sent(follower, EntryPartReply | AppendReply, to="a/1")
        if not parts and not replies:
            return count
        for reply in replies:
            leader.receive(reply, now)
    return count


def follower_of(leader):
    """Return a follower that holds the leader's log except for the large entry."""
    follower = make_replica("c/1", now=-10.0, term=leader.term)
    for index in range(2, leader.log.last_index):
        follower.log.append(leader.log.entries_between(index, index)[0])
    return follower


def test_entry_is_sent_once_a_part_at_a_time():
    leader, now = leader_with_large_entry(parts=4)
    follower = follower_of(leader)
    assert exchange(leader, follower, now) == 4
    assert follower.log.last_index == leader.log.last_index
    assert leader.progress["c/1"].match_index == leader.log.last_index


def test_peer_without_announced_support_gets_no_parts():
    leader, _ = leader_with_large_entry(takes_parts=None)
    assert sent(leader, EntryPart) == []
    leader, _ = leader_with_large_entry(takes_parts=False)
    assert sent(leader, EntryPart) == []


def test_restarted_follower_gets_the_entry_from_its_beginning():
    leader, now = leader_with_large_entry(parts=4)
    follower = follower_of(leader)
    first = sent(leader, EntryPart)[0]
    follower.receive(first, now)
    leader.receive(sent(follower, EntryPartReply, to="a/1")[0], now)
    exchange(leader, follower_of(leader), now)
    assert leader.progress["c/1"].match_index == leader.log.last_index


def test_parts_of_one_entry_are_not_joined_with_those_of_another():
    leader, now = leader_with_large_entry(parts=4)
    follower = follower_of(leader)
    first = sent(leader, EntryPart)[0]
    follower.receive(first, now)
    other = EntryPart(**{name: getattr(first, name) for name in EntryPart.__slots__})
    other.entry_term, other.offset = first.entry_term - 1, PART_BYTES
    follower.receive(other, now)
    assert [reply.offset for reply in sent(follower, EntryPartReply, to="a/1")] == [PART_BYTES, 0]
    assert len(follower._received_parts[1]) == 0


def test_duplicate_last_part_during_the_sync_starts_no_new_transfer():
    leader, now = leader_with_large_entry(parts=1)
    leader.propose([bytes(2 * PART_BYTES)], now)
    follower = follower_of(leader)
    exchange(leader, follower, now)
    part = EntryPart(
        group="main",
        to="c/1",
        sender="a/1",
        term=leader.term,
        prev_term=leader.term,
        index=leader.log.last_index,
        entry_term=leader.term,
        kind=1,
        offset=PART_BYTES,
        data=bytes(PART_BYTES),
        size=2 * PART_BYTES,
        commit=0,
        round=1,
    )
    follower.receive(part, now)
    assert sent(follower, EntryPartReply, to="a/1") == []
    assert follower._received_parts is None
