"""A group of replicas under a seeded schedule of faults, on virtual clocks.

The code under test is the daemon's own: the replica, the state machine and the
gateway's held revision. Only disk, network and clock are fakes. Invariants are
checked after every step; a breach raises `Breach`.
"""

import random

from traystall.catalog.deltas import entities_digest, make_delta
from traystall.catalog.models import ApplyBundle, ApplyOutcome
from traystall.consensus.log import ReplicaLog
from traystall.consensus.models import (
    AppendLog,
    EntryKind,
    HardState,
    MemberRecord,
    SaveHardState,
    SaveSnapshot,
    Timing,
    TruncateLog,
)
from traystall.consensus.quorum import is_majority
from traystall.consensus.replica import Replica
from traystall.control.state import StateMachine
from traystall.core.exceptions import ConsensusError, DeltaMismatch
from traystall.core.serialization import digest, pack
from traystall.gateway.configuration import HeldRevision
from traystall.ledger.models import Claim, ClaimOutcome, LedgerOutcome, Release
from traystall.rpc.gen.wire.ttypes import WatchReply

GROUP = "main"
TIMING = Timing()
# Clocks of two instances run apart by up to this much, within what the lease allows.
CLOCK_RATES = (0.96, 1.04)
KEYS = 3
STEP_SECONDS = 0.02
# The first choices of a step are no faults; the density of faults leaves them alone.
_CALM_CHOICES = 7


class Breach(AssertionError):
    """Report that something which must always hold did not."""


class Disk:
    """Hold what is durable, and jobs that are written but not yet synced."""

    def __init__(self):
        self.hard_state = HardState()
        self.snapshot = None
        self.entries = []
        self.jobs = []

    def sync(self, count):
        """Make the first `count` jobs durable and return them."""
        done, self.jobs = self.jobs[:count], self.jobs[count:]
        for job in done:
            for write in job["writes"]:
                self.save(write)
        return done

    def save(self, write):
        if isinstance(write, SaveHardState):
            self.hard_state = write.state
        elif isinstance(write, TruncateLog):
            self.entries = [e for e in self.entries if e.index < write.index]
        elif isinstance(write, AppendLog):
            self.entries.extend(write.entries)
        elif isinstance(write, SaveSnapshot):
            kept = [e for e in self.entries if e.index > write.snapshot.index]
            self.entries = kept if write.keep_entries else []
            self.snapshot = write.snapshot


class Host:
    """Run one replica over its disk and clock."""

    replica_class = Replica

    def __init__(self, group, name, incarnation=1):
        self.group = group
        self.name = name
        self.incarnation = incarnation
        self.disk = Disk()
        self.rate = group.random.uniform(*CLOCK_RATES)
        self.offset = group.random.uniform(0, 100)
        self.alive = True
        self.frozen = False
        self.replica = None
        self.boot()

    @property
    def identity(self):
        return f"{self.name}/{self.incarnation}"

    @property
    def now(self):
        return self.group.time * self.rate + self.offset

    @property
    def runs(self):
        return self.alive and not self.frozen

    def boot(self):
        """Start from what is durable."""
        self.disk.jobs = []
        self.state = StateMachine()
        self.waiting = {}
        if self.disk.snapshot is not None:
            self.state.restore(self.disk.snapshot.data)
        self.replica = self.replica_class(
            self.identity,
            GROUP,
            TIMING,
            self.group.random,
            self.now,
            self.disk.hard_state,
            ReplicaLog(self.disk.snapshot, list(self.disk.entries)),
        )
        self.alive = True
        self.frozen = False

    def wipe(self):
        """Lose the disk: come back as a new incarnation with nothing."""
        self.incarnation += 1
        self.disk = Disk()
        self.boot()

    def pump(self):
        """Carry out what the replica asks for, as the daemon's node does."""
        while ready := self.replica.take_ready():
            self.group.send(self, ready.messages)
            if ready.restore is not None:
                self.state.restore(ready.restore.data)
                self.waiting.clear()
            if ready.writes or ready.messages_after_sync:
                self._store(ready)
            for entry in ready.committed:
                self._apply(entry)

    def _store(self, ready):
        if not ready.writes and not self.disk.jobs:
            self.group.send(self, ready.messages_after_sync)
            return
        log = self.replica.log
        self.disk.jobs.append(
            {
                "writes": ready.writes,
                "messages": ready.messages_after_sync,
                "mark": (log.last_term, log.last_index),
            }
        )

    def sync(self, count):
        """Finish the oldest pending writes and what depends on them."""
        done = self.disk.sync(count)
        for job in done:
            self.group.effect("sync", self)
            self.group.send(self, job["messages"])
        if done and self.alive:
            self.replica.synced(*done[-1]["mark"])
            self.pump()

    def _apply(self, entry):
        self.group.effect("apply", self)
        self.group.check_applied(self, entry)
        result = None
        if entry.kind == EntryKind.COMMAND:
            result = self.state.apply(entry.command)
        term, callback = self.waiting.pop(entry.index, (0, None))
        if callback is not None and term == entry.term:
            callback(result)

    def propose(self, command, callback):
        """Propose a command; the callback gets its result if it commits here."""
        try:
            index = self.replica.propose([pack(command)], self.now)[0]
        except ConsensusError:
            return
        self.waiting[index] = (self.replica.term, callback)
        self.pump()


class Group:
    """Run hosts, operators, claimants and gateways under one seed."""

    host_class = Host

    def __init__(self, seed, size=3, faults=True):
        self.random = random.Random(seed)
        self.time = 0.0
        # How fast time goes compared with messages, and how dense faults are, in this schedule.
        self.pace = self.random.choice((0.15, 0.4, 1.0))
        self.density = self.random.choice((0.5, 1.0, 2.0))
        self.messages = []
        self.cuts = set()
        self.steps = 0
        self.faults = faults
        self.committed = {}
        self.leaders = {}
        self.accepted = {}
        self.dispatched = {}
        self.released = set()
        self.given_back = set()
        self.claims = 0
        self.revisions = [HeldRevision() for _ in range(2)]
        self.digests = {}
        self.hook = None
        self.effects = set()
        self.hosts = [self.host_class(self, f"c{n}") for n in range(size)]
        self._refound()

    # ---- running ----

    def run(self, steps):
        """Take random steps, checking after each."""
        for _ in range(steps):
            self.step()

    def step(self):
        """Take one step and check every invariant."""
        self.steps += 1
        # Mostly much happens within one lease; now and then time passes.
        longest = 0.006 if self.random.random() < 0.93 else 0.4
        self.time += self.random.uniform(0, longest) * self.pace
        self._choose()()
        self.check()

    def settle(self):
        """Heal everything and run calmly until a new command commits everywhere."""
        self.faults = False
        self.cuts.clear()
        for host in self.hosts:
            host.frozen = False
            if not host.alive:
                host.boot()
        done = []
        for _ in range(2000):
            self._calm_round()
            leader = self.lease_holder()
            if leader is not None and self.random.random() < 0.2:
                claim = self._claim_command(f"settle{self.steps}", "settle")
                leader.propose(claim, done.append)
            if done:
                return
        raise Breach("the healed group did not commit a new command")

    def _calm_round(self):
        """Let every host tick, sync and get its messages."""
        self.steps += 1
        self.time += STEP_SECONDS
        self._refound()
        for host in self.hosts:
            host.replica.tick(host.now)
            host.pump()
            host.sync(len(host.disk.jobs))
        for _ in range(len(self.messages)):
            self._hand(*self.messages.pop(0))
        self.check()

    def _refound(self):
        """Found the group again if every replica is empty, as the daemons do."""
        if all(h.runs and not h.replica.log.last_index for h in self.hosts):
            if not self.committed:
                # Nothing of an earlier founding was ever committed: this is another group.
                self.leaders.clear()
            founder = self.hosts[0]
            members = [MemberRecord(h.identity, h.name, "", True) for h in self.hosts]
            term = 1 + max(h.replica.term for h in self.hosts)
            founder.replica.found_group(members, term, founder.now)
            founder.pump()

    def lease_holder(self):
        for host in self.hosts:
            if host.runs and host.replica.holds_lease(host.now):
                return host
        return None

    def _choose(self):
        choices = [
            (30, self._deliver),
            (20, self._tick),
            (14, self._sync),
            (5, self._claim),
            (4, self._apply_bundle),
            (3, self._watch),
            (1.5, self._compact),
        ]
        if self.faults:
            choices += [
                (0.25, self.crash),
                (0.8, self._reboot),
                (0.25, self.freeze),
                (0.8, self._thaw),
                (0.15, self.cut),
                (0.3, self._cut_link),
                (0.5, self._heal),
                (0.8, self._drop),
                (0.8, self._duplicate),
                (0.12, self.wipe),
                (0.8, self._repair),
                (0.4, self._hand_over),
                (0.3, self._refound),
            ]
        weights = [weight for weight, _ in choices[:_CALM_CHOICES]]
        weights += [weight * self.density for weight, _ in choices[_CALM_CHOICES:]]
        return self.random.choices([action for _, action in choices], weights)[0]

    # ---- network ----

    def send(self, sender, messages):
        for message in messages:
            self.effect(type(message).__name__, sender)
            self.messages.append((sender.name, message))

    def effect(self, kind, host):
        """Note an effect of the core; a matrix test strikes here."""
        self.effects.add(kind)
        if self.hook is not None:
            self.hook(kind, host)

    def _deliver(self):
        """Deliver a few messages, mostly in order."""
        for _ in range(min(len(self.messages), self.random.randint(1, 5))):
            last = len(self.messages) - 1
            position = 0 if self.random.random() < 0.85 else self.random.randint(0, last)
            self._hand(*self.messages.pop(position))

    def _hand(self, sender, message):
        name = message.to.split("/")[0]
        host = next((h for h in self.hosts if h.name == name), None)
        if host is None or not host.alive or (sender, name) in self.cuts:
            return
        if host.frozen:
            self.messages.append((sender, message))
            return
        host.replica.receive(message, host.now)
        host.pump()

    def _drop(self):
        if self.messages:
            self.messages.pop(self.random.randrange(len(self.messages)))

    def _duplicate(self):
        if self.messages:
            self.messages.append(self.random.choice(self.messages))

    # ---- hosts ----

    def _any(self, condition):
        found = [host for host in self.hosts if condition(host)]
        return self.random.choice(found) if found else None

    def _tick(self):
        host = self._any(lambda h: h.runs)
        if host is not None:
            self.effect("tick", host)
            host.replica.tick(host.now)
            host.pump()

    def _sync(self):
        for host in self.hosts:
            if host.runs and host.disk.jobs and self.random.random() < 0.7:
                host.sync(self.random.randint(1, len(host.disk.jobs)))

    def crash(self, host=None):
        """Lose what is not synced."""
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
        """Stop a host in silence; its clock goes on."""
        host = host or self._any(lambda h: h.runs)
        if host is not None:
            host.frozen = True

    def _thaw(self):
        host = self._any(lambda h: h.frozen)
        if host is not None:
            host.frozen = False

    def cut(self, host=None):
        """Cut a host from the others, one way or both."""
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
        """Lose a disk, if a majority of the voters' disks stays."""
        host = host or self.random.choice(self.hosts)
        intact = {h.identity for h in self.hosts if h is not host}
        if all(is_majority(intact, voters) for voters in self._possible_voters()):
            host.wipe()

    def _possible_voters(self):
        """Return the voters of every member set that may yet decide."""
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
            # A hasty operator wants all at once; the core must refuse more than one step.
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
        leader.pump()

    def _hand_over(self):
        leader = self._any(lambda h: h.runs and h.replica.is_leader)
        others = sorted(leader.replica.voters - {leader.identity}) if leader else []
        if others:
            try:
                leader.replica.hand_over(self.random.choice(others), leader.now)
            except ConsensusError:
                return
            leader.pump()

    def _compact(self):
        host = self._any(lambda h: h.runs and h.replica.applied_index > 3)
        if host is not None:
            host.replica.compact(host.replica.applied_index, host.state.snapshot())
            host.pump()

    # ---- users ----

    def _claim_command(self, claim_id, key):
        return Claim("customer", key, b"f", claim_id, "gateway", "stage", 3600.0, self.time)

    def _claim(self):
        """A gateway claims a key at whoever leads, and dispatches only if it won."""
        host = self._any(lambda h: h.runs and h.replica.is_leader)
        if host is None:
            return
        self.claims += 1
        claim_id = f"claim{self.claims}"
        key = f"key{self.random.randrange(KEYS)}"
        if self.random.random() < 0.5:
            # One of a few claims that are sent again and again, also long after they ended.
            claim_id = f"resent{self.random.randint(1, 4)}@{key}"
        command = self._claim_command(claim_id, key)
        host.propose(command, lambda result: self._claimed(host, key, claim_id, result))

    def _claimed(self, host, key, claim_id, result):
        if result.outcome is not ClaimOutcome.WON:
            return
        if claim_id in self.given_back:
            raise Breach(f"{claim_id} was given back and won {key} again")
        if claim_id in self.released:
            return
        if self.random.random() < 0.3 and claim_id not in self.dispatched.values():
            # Proven not run: the claimant gives it back and never dispatches it.
            self.released.add(claim_id)
            release = Release("customer", key, claim_id, self.time)
            host.propose(release, lambda outcome: self._gave_back(claim_id, outcome))
            return
        self.dispatch(key, claim_id)

    def _gave_back(self, claim_id, outcome):
        if outcome is LedgerOutcome.DONE:
            self.given_back.add(claim_id)

    def dispatch(self, key, claim_id):
        """Record a dispatch; a claim's own resend is one dispatch."""
        holder = self.dispatched.setdefault(key, claim_id)
        if holder != claim_id:
            raise Breach(f"{key} was dispatched by {holder} and by {claim_id}")
        if claim_id in self.released:
            raise Breach(f"{key} was dispatched by the released {claim_id}")

    def _apply_bundle(self):
        """Two operators race: equal numbers, different contents, resends."""
        host = self._any(lambda h: h.runs and h.replica.is_leader)
        if host is None:
            return
        catalog = host.state.catalog
        number = max(1, catalog.number + self.random.choice((-1, 0, 1, 1)))
        operator = self.random.choice(("ana", "bao"))
        entities = dict(catalog.entities)
        entities[f"customer/{operator}{self.random.randrange(3)}"] = f"{number}".encode()
        delta = make_delta(catalog.entities, entities)
        content = digest(f"{number}{operator}".encode())
        command = ApplyBundle(number, content, operator, delta)
        host.propose(command, lambda result: self._applied(number, content, result))

    def _applied(self, number, content, result):
        if result.outcome is ApplyOutcome.ACCEPTED:
            winner = self.accepted.setdefault(number, content)
            if winner != content:
                raise Breach(f"number {number} was accepted with two contents")
        if result.outcome is ApplyOutcome.CONFLICT and self.accepted.get(number) == content:
            raise Breach(f"number {number} was accepted and then refused")

    def _watch(self):
        """A gateway reads from any live host, however far behind."""
        host = self._any(lambda h: h.runs)
        held = self.random.choice(self.revisions)
        if host is None:
            return
        catalog = host.state.catalog
        delta = catalog.delta_since(held.digest)
        reply = WatchReply(number=catalog.number, digest=catalog.digest, base=held.digest)
        reply.full = delta is None
        reply.puts = catalog.entities if delta is None else delta.puts
        reply.deletes = [] if delta is None else delta.deletes
        before = held.number
        try:
            held.take(reply)
        except DeltaMismatch as error:
            raise Breach("a delta did not fit its base") from error
        if held.number < before:
            raise Breach("a gateway stepped back")
        known = self.digests.setdefault(held.number, held.digest)
        if known != held.digest or entities_digest(held.entities) != held.digest:
            raise Breach(f"number {held.number} is in force with two contents")

    # ---- invariants ----

    def check_applied(self, host, entry):
        content = (entry.term, entry.kind, bytes(entry.command or b""))
        known = self.committed.setdefault(entry.index, content)
        if known != content:
            raise Breach(f"{host.identity} applied another entry at {entry.index}")

    def check(self):
        """Check what must hold between any two steps."""
        holders = [h for h in self.hosts if h.alive and h.replica.holds_lease(h.now)]
        if len(holders) > 1:
            raise Breach("two replicas hold the lease at once")
        for host in self.hosts:
            if host.alive and host.replica.is_leader:
                self._check_leader(host)

    def _check_leader(self, host):
        known = self.leaders.setdefault(host.replica.term, host.identity)
        if known != host.identity:
            raise Breach(f"term {host.replica.term} has two leaders")
        log = host.replica.log
        newest = max(self.committed, default=0)
        mark = (host.replica.term, newest)
        if getattr(host, "checked", None) == mark:
            return
        host.checked = mark
        if host.replica.term < max(self.leaders):
            return
        for index in range(log.snapshot_index + 1, newest + 1):
            if log.term_at(index) != self.committed[index][0]:
                raise Breach(f"the leader of term {host.replica.term} lacks entry {index}")
