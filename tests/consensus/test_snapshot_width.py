"""A snapshot over a link of a certain width: what is sent again stands in the queue before it."""

import pytest

from tests.consensus.test_replica import TIMING, acknowledge, make_replica
from tests.consensus.test_snapshot_transfer import leader_with_snapshot
from traystall.consensus.log import ReplicaLog
from traystall.consensus.snapshots import SNAPSHOT_CHUNK_BYTES
from traystall.rpc.gen.wire.ttypes import SnapshotChunk, SnapshotReply

CHUNKS = 40
STEP_SECONDS = TIMING.heartbeat / 10
# As rpc.client: one-way messages are dropped beyond that.
MAX_UNSENT_BYTES = 8 * 1024 * 1024


@pytest.mark.parametrize("mbit", [5, 10, 20, 100])
def test_resent_chunks_do_not_fill_the_link(mbit):
    width = mbit * 1e6 / 8
    leader, now = leader_with_snapshot()
    follower = make_replica("c/1", now=-10.0)
    follower.log = ReplicaLog()
    follower.commit_index = follower.applied_index = 0
    began, free_at, on_the_way, sent = now, now, [], 0
    while follower.commit_index < leader.log.snapshot_index:
        now += STEP_SECONDS
        assert now < began + 1000, f"not arrived after 1000 s, {sent} chunks sent"
        leader.tick(now)
        acknowledge(leader, "b/1", leader.log.last_index, now, leader._round)
        for replica, to in ((leader, follower), (follower, leader)):
            ready = replica.take_ready()
            for message in [*ready.messages, *ready.messages_after_sync] if ready else []:
                if isinstance(message, SnapshotChunk):
                    if (free_at - now) * width > MAX_UNSENT_BYTES:
                        continue
                    sent += 1
                    free_at = max(now, free_at) + len(message.data) / width
                    on_the_way.append((free_at, to, message))
                elif isinstance(message, SnapshotReply):
                    on_the_way.append((now, to, message))
        due = [entry for entry in on_the_way if entry[0] <= now]
        on_the_way = [entry for entry in on_the_way if entry[0] > now]
        for _, to, message in due:
            to.receive(message, now)
    alone = CHUNKS * SNAPSHOT_CHUNK_BYTES / width
    told = f"{sent} chunks for {CHUNKS}, {now - began:.1f} s for {alone:.1f} s alone"
    print(told)
    assert sent <= 1.5 * CHUNKS, told
