"""Snapshot transfer over a link of limited bandwidth, where resent chunks queue ahead of others."""

import pytest

from tests.consensus.test_replica import TIMING, acknowledge, make_replica
from tests.consensus.test_snapshot_transfer import leader_with_snapshot
from traystall.consensus.log import ReplicaLog
from traystall.consensus.snapshots import SNAPSHOT_CHUNK_BYTES
from traystall.rpc.gen.wire.ttypes import SnapshotChunk, SnapshotReply

CHUNKS = 40
STEP_SECONDS = TIMING.heartbeat / 10
# As in rpc.client, which drops one-way messages beyond this limit.
MAX_UNSENT_BYTES = 8 * 1024 * 1024


@pytest.mark.parametrize("mbit", [5, 10, 20, 100])
def test_resent_chunks_do_not_fill_the_link(mbit):
    bytes_per_second = mbit * 1e6 / 8
    leader, now = leader_with_snapshot()
    follower = make_replica("c/1", now=-10.0)
    follower.log = ReplicaLog()
    follower.commit_index = follower.applied_index = 0
    started_at, link_free_at, in_flight, sent = now, now, [], 0
    while follower.commit_index < leader.log.snapshot_index:
        now += STEP_SECONDS
        assert now < started_at + 1000, f"not arrived after 1000 s, {sent} chunks sent"
        leader.tick(now)
        acknowledge(leader, "b/1", leader.log.last_index, now, leader._round)
        for replica, to in ((leader, follower), (follower, leader)):
            ready = replica.take_ready()
            for message in [*ready.messages, *ready.messages_after_sync] if ready else []:
                if isinstance(message, SnapshotChunk):
                    if (link_free_at - now) * bytes_per_second > MAX_UNSENT_BYTES:
                        continue
                    sent += 1
                    link_free_at = max(now, link_free_at) + len(message.data) / bytes_per_second
                    in_flight.append((link_free_at, to, message))
                elif isinstance(message, SnapshotReply):
                    in_flight.append((now, to, message))
        due = [entry for entry in in_flight if entry[0] <= now]
        in_flight = [entry for entry in in_flight if entry[0] > now]
        for _, to, message in due:
            to.receive(message, now)
    alone = CHUNKS * SNAPSHOT_CHUNK_BYTES / bytes_per_second
    summary = f"{sent} chunks for {CHUNKS}, {now - started_at:.1f} s for {alone:.1f} s alone"
    print(summary)
    assert sent <= 1.5 * CHUNKS, summary
