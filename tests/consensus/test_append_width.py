"""A large entry over the narrow link of a leader must not cost it its place.

Guards against heartbeats that stand in the queue behind the entry: the followers elect another
leader, to whom the change is proposed again while the first copies still fill the links.
"""

import pytest

from tests.consensus.test_replica import VOTERS, make_replica
from traystall.consensus.models import Role
from traystall.rpc.messages import encode

STEP_SECONDS = 0.02


class Group:
    """Three replicas; each sends on its own link of a width, shared by the two others."""

    def __init__(self, width):
        self.now = 0.0
        self.width = width
        self.replicas = {name: make_replica(name) for name in VOTERS}
        for seed, replica in enumerate(self.replicas.values()):
            replica._random.seed(seed)
        self.free_at = {(a, b): 0.0 for a in VOTERS for b in VOTERS}
        self.on_the_way = []
        self.bytes = 0
        self.terms = set()

    def step(self):
        self.now += STEP_SECONDS
        for name, replica in self.replicas.items():
            replica.tick(self.now)
            while ready := replica.take_ready():
                if ready.writes:
                    replica.synced(replica.log.last_term, replica.log.last_index)
                for message in [*ready.messages, *ready.messages_after_sync]:
                    self._send(name, message)
        due = [entry for entry in self.on_the_way if entry[0] <= self.now]
        self.on_the_way = [entry for entry in self.on_the_way if entry[0] > self.now]
        for _, to, message in sorted(due, key=lambda entry: entry[0]):
            self.replicas[to].receive(message, self.now)

    def _send(self, name, message):
        if message.to == name:
            self.replicas[name].receive(message, self.now)
            return
        size = len(encode(message))
        self.bytes += size
        pair = (name, message.to)
        # Two followers share the width while both are sent something: half of it each.
        at = max(self.now, self.free_at[pair]) + size / (self.width / 2)
        self.free_at[pair] = at
        self.on_the_way.append((at, message.to, message))

    def leader(self):
        found = [r for r in self.replicas.values() if r.role is Role.LEADER]
        return max(found, key=lambda r: r.term, default=None)


@pytest.mark.parametrize(("kilobytes", "mbit"), [(600, 5), (1000, 5), (1500, 10)])
def test_large_entry_commits_and_the_leader_stays(kilobytes, mbit):
    group = Group(mbit * 1e6 / 8)
    while group.leader() is None or group.now < 8:
        group.step()
    term = group.leader().term
    command = bytes(kilobytes * 1000)
    began, before = group.now, group.bytes
    committed, proposed = None, 0
    retry_at = group.now
    while committed is None and group.now < began + 120:
        group.step()
        leader = group.leader()
        # A change that was not confirmed in 2.5 s is repeated, as operators do.
        if leader is not None and group.now >= retry_at:
            leader.propose([command], group.now)
            proposed += 1
            retry_at = group.now + 2.5
        for replica in group.replicas.values():
            last = replica.commit_index
            entries = replica.log.between(2, last) if last > 1 else []
            if any(len(entry.command or b"") == len(command) for entry in entries):
                committed = group.now
    terms = max(r.term for r in group.replicas.values()) - term
    took = f"{committed - began:.1f} s" if committed else "never in 120 s"
    alone = 2 * len(command) / group.width
    told = (
        f"{kilobytes} KB at {mbit} Mbit/s: committed {took} ({alone:.1f} s alone), {terms} more "
        f"terms, {proposed} proposals, {(group.bytes - before) / 1e6:.1f} MB sent"
    )
    print(told)
    assert committed and terms == 0, told
