"""Snapshot transfer over a link with a long delay: chunks are resent, replies are duplicated."""

from tests.consensus.test_replica import TIMING, acknowledge, elect, make_replica
from traystall.consensus.log import ReplicaLog
from traystall.consensus.models import Snapshot
from traystall.consensus.snapshots import SNAPSHOT_CHUNK_BYTES
from traystall.rpc.gen.wire.ttypes import LogEntry, SnapshotChunk, SnapshotReply

CHUNKS = 40
# Latency of the slow link; a reply arrives after several heartbeats.
LINK_SECONDS = 2.3 * TIMING.heartbeat
STEP_SECONDS = TIMING.heartbeat / 10


def leader_with_snapshot():
    """Return a leader whose log starts after a snapshot of `CHUNKS` chunks, and its time."""
    leader = elect(make_replica("a/1"), 5.0)
    acknowledge(leader, "b/1", leader.log.last_index, 5.0)
    leader.take_ready()
    leader.applied_index = leader.commit_index
    leader.compact(leader.commit_index, bytes(CHUNKS * SNAPSHOT_CHUNK_BYTES))
    leader.progress["c/1"].next_index = 1
    return leader, 5.0


def transfer(lost=lambda count: False, on_step=lambda leader, now: None):
    """Return how many chunks a leader sends until an empty follower has its snapshot."""
    leader, now = leader_with_snapshot()
    follower = make_replica("c/1", now=-10.0)
    follower.log = ReplicaLog()
    follower.commit_index = follower.applied_index = 0
    in_flight, sent = [], 0
    for _ in range(20_000):
        now += STEP_SECONDS
        leader.tick(now)
        on_step(leader, now)
        acknowledge(leader, "b/1", leader.log.last_index, now, leader._round)
        for replica, to in ((leader, follower), (follower, leader)):
            ready = replica.take_ready()
            messages = [*ready.messages, *ready.messages_after_sync] if ready else []
            for message in messages:
                if isinstance(message, SnapshotChunk):
                    sent += 1
                if isinstance(message, SnapshotChunk | SnapshotReply) and not lost(sent):
                    in_flight.append((now + LINK_SECONDS, to, message))
        due = [entry for entry in in_flight if entry[0] <= now]
        in_flight = [entry for entry in in_flight if entry[0] > now]
        for _, to, message in due:
            to.receive(message, now)
        if follower.commit_index >= leader.log.snapshot_index:
            return sent
    raise AssertionError(f"The snapshot did not arrive; {sent} chunks were sent.")


def test_a_reply_that_comes_twice_starts_no_second_transfer():
    """If each duplicate reply triggered a chunk, every resend would start a parallel transfer."""
    assert transfer() <= 6 * CHUNKS


def test_lost_chunks_and_replies_are_resent():
    assert transfer(lost=lambda count: count % 5 == 2) <= 10 * CHUNKS


def test_newer_snapshots_do_not_restart_a_transfer():
    """Each new snapshot began the transfer anew, so a follower on a slow link never caught up."""
    step = 0

    def compact_often(leader, now):
        nonlocal step
        step += 1
        if step % 100 == 0:
            leader.propose([b"change"], now)
            acknowledge(leader, "b/1", leader.log.last_index, now, leader._round)
            leader.applied_index = leader.commit_index
            leader.compact(
                leader.commit_index, bytes(CHUNKS * SNAPSHOT_CHUNK_BYTES), retained_bytes=1024
            )

    assert transfer(on_step=compact_often) <= 6 * CHUNKS


def test_follower_that_is_one_entry_behind_a_snapshot_gets_the_entry():
    """Snapshots that come often would be sent whole to each follower that is slightly behind."""
    leader = elect(make_replica("a/1"), 5.0)
    acknowledge(leader, "b/1", leader.log.last_index, 5.0)
    acknowledge(leader, "c/1", leader.log.last_index, 5.0)
    leader.propose([b"change"], 5.0)
    acknowledge(leader, "b/1", leader.log.last_index, 5.0)
    leader.take_ready()
    leader.compact(leader.commit_index, bytes(CHUNKS * SNAPSHOT_CHUNK_BYTES), retained_bytes=1024)
    leader.progress["c/1"].reject(leader.log.last_index - 1, leader.log.last_index)
    leader._send_append("c/1", 5.0)
    (message,) = leader.take_ready().messages
    assert [entry.command for entry in message.entries] == [b"change"]


def test_entries_without_a_command_are_not_retained_for_good():
    """Entries retained by the bytes of their commands alone would grow without a bound."""
    log = ReplicaLog()
    for index in range(1, 1001):
        log.append(LogEntry(index=index, term=1, kind=0, command=b""))
    log.compact(Snapshot(1000, 1, (), b""), retained_bytes=10_240)
    assert log.last_index == 1000
    assert 980 < log.first_index <= 1000
    assert log.term_at(1000) == 1
