"""Faults of the simulated machines of a group, and their repair."""

from traystall.consensus.models import MemberRecord
from traystall.consensus.quorum import is_majority
from traystall.core.exceptions import ConsensusError


class Faults:
    """Crash, freeze, cut, wipe and repair hosts; a mixin of `Group`, which holds the state."""

    def _any(self, condition):
        found = [host for host in self.hosts if condition(host)]
        return self.random.choice(found) if found else None

    def _tick(self):
        host = self._any(lambda h: h.runs)
        if host is not None:
            self.effect("tick", host)
            host.replica.tick(host.now)
            host.process_ready()

    def _sync(self):
        for host in self.hosts:
            if host.runs and host.disk.jobs and self.random.random() < 0.7:
                host.sync(self.random.randint(1, len(host.disk.jobs)))

    def crash(self, host=None):
        """Stop a host; writes that are not synced are lost."""
        host = host or self._any(lambda h: h.alive)
        if host is not None:
            host.alive = False
            host.disk.jobs = []
            host.waiting = {}

    def _reboot(self):
        host = self._any(lambda h: not h.alive)
        if host is not None:
            host.boot()

    def freeze(self, host=None):
        """Stop a host without closing anything; its clock continues."""
        host = host or self._any(lambda h: h.runs)
        if host is not None:
            host.frozen = True

    def _unfreeze(self):
        host = self._any(lambda h: h.frozen)
        if host is not None:
            host.frozen = False

    def cut(self, host=None):
        """Cut the links between a host and the others, in one direction or both."""
        host = host or self.random.choice(self.hosts)
        for other in self.hosts:
            if other is not host:
                self.cuts.add((host.name, other.name))
                if self.random.random() < 0.7:
                    self.cuts.add((other.name, host.name))

    def _cut_link(self):
        one, other = self.random.sample(self.hosts, 2)
        self.cuts.add((one.name, other.name))

    def _heal(self):
        self.cuts.clear()

    def wipe(self, host=None):
        """Lose a disk, unless that leaves less than a majority of the voters' disks."""
        host = host or self.random.choice(self.hosts)
        intact = {h.identity for h in self.hosts if h is not host}
        if all(is_majority(intact, voters) for voters in self._possible_voters()):
            host.wipe()

    def _possible_voters(self):
        """Return the voters of every member set that can still make decisions."""
        found = []
        for host in self.hosts:
            log = host.replica.log
            for members in (log.members_at(host.replica.commit_index), log.members):
                found.append({m.identity for m in members if m.voter})
        return [voters for voters in found if voters]

    def _repair(self):
        """Let the leader replace wiped members: add, promote once caught up, remove the old."""
        leader = self._any(lambda h: h.runs and h.replica.is_leader)
        if leader is None:
            return
        replica = leader.replica
        current = {h.identity: h for h in self.hosts}
        known = {m.identity: m for m in replica.members}
        if self.random.random() < 0.3:
            # An operator requests all changes at once; the replica must refuse more than one step.
            chosen = self.random.sample(self.hosts, self.random.randint(2, len(self.hosts)))
            self._change(leader, [MemberRecord(h.identity, h.name, "", True) for h in chosen])
            return
        for identity, host in current.items():
            member = known.get(identity)
            record = MemberRecord(identity, host.name, "", False)
            if member is None:
                self._change(leader, [*replica.members, record])
                return
            if not member.voter and replica.caught_up(identity):
                others = [m for m in replica.members if m.identity != identity]
                voter = MemberRecord(identity, host.name, "", True)
                self._change(leader, [*others, voter])
                return
        gone = [m for m in replica.members if m.identity not in current]
        voting = {m.identity for m in replica.members if m.voter}
        replaced = all(i in voting for i in current)
        if gone and replaced:
            self._change(leader, [m for m in replica.members if m.identity != gone[0].identity])

    def _change(self, leader, members):
        try:
            leader.replica.propose_members(members, leader.now)
        except ConsensusError:
            return
        leader.process_ready()

    def _hand_over(self):
        leader = self._any(lambda h: h.runs and h.replica.is_leader)
        others = sorted(leader.replica.voters - {leader.identity}) if leader else []
        if others:
            try:
                leader.replica.hand_over(self.random.choice(others), leader.now)
            except ConsensusError:
                return
            leader.process_ready()

    def _compact(self):
        host = self._any(lambda h: h.runs and h.replica.applied_index > 3)
        if host is not None:
            host.replica.compact(host.replica.applied_index, host.state.snapshot())
            host.process_ready()
