"""A large entry sent over a leader's slow link must not cost it its leadership.

Guards against heartbeats that queue behind the entry. The followers would elect another leader, to
which the change is proposed again while the first copies still fill the links.
"""

import pytest

from tests.consensus.test_replica import VOTERS, make_replica
from traystall.consensus.models import Role
from traystall.rpc.messages import encode

STEP_SECONDS = 0.02


class Group:
    """Three replicas; each sends over a link of limited bandwidth, shared by its two peers."""

    def __init__(self, bytes_per_second):
        self.now = 0.0
        self.bytes_per_second = bytes_per_second
        self.replicas = {name: make_replica(name) for name in VOTERS}
        for seed, replica in enumerate(self.replicas.values()):
            replica._random.seed(seed)
        self.link_free_at = {(a, b): 0.0 for a in VOTERS for b in VOTERS}
        self.in_flight = []
        self.bytes = 0
        self.terms = set()

    def step(self):
        self.now += STEP_SECONDS
        for name, replica in self.replicas.items():
            replica.tick(self.now)
            while ready := replica.take_ready():
                if ready.writes:
                    replica.on_synced(replica.log.last_term, replica.log.last_index)
                for message in [*ready.messages, *ready.messages_after_sync]:
                    self._send(name, message)
        due = [entry for entry in self.in_flight if entry[0] <= self.now]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now]
        for _, to, message in sorted(due, key=lambda entry: entry[0]):
            self.replicas[to].receive(message, self.now)

    def _send(self, name, message):
        if message.to == name:
            self.replicas[name].receive(message, self.now)
            return
        size = len(encode(message))
        self.bytes += size
        pair = (name, message.to)
        # Each of the two followers gets half of the bandwidth.
        at = max(self.now, self.link_free_at[pair]) + size / (self.bytes_per_second / 2)
        self.link_free_at[pair] = at
        self.in_flight.append((at, message.to, message))

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
    started_at, before = group.now, group.bytes
    committed, proposed = None, 0
    retry_at = group.now
    while committed is None and group.now < started_at + 120:
        group.step()
        leader = group.leader()
        # A change that is not confirmed within 2.5 s is repeated, as operators do.
        if leader is not None and group.now >= retry_at:
            leader.propose([command], group.now)
            proposed += 1
            retry_at = group.now + 2.5
        for replica in group.replicas.values():
            last = replica.commit_index
            entries = replica.log.entries_between(2, last) if last > 1 else []
            if any(len(entry.command or b"") == len(command) for entry in entries):
                committed = group.now
    terms = max(r.term for r in group.replicas.values()) - term
    took = f"{committed - started_at:.1f} s" if committed else "never in 120 s"
    alone = 2 * len(command) / group.bytes_per_second
    summary = (
        f"{kilobytes} KB at {mbit} Mbit/s: committed {took} ({alone:.1f} s alone), {terms} more "
        f"terms, {proposed} proposals, {(group.bytes - before) / 1e6:.1f} MB sent"
    )
    print(summary)
    assert committed and terms == 0, summary
