"""A simulated consensus group under a seeded schedule of faults, on virtual clocks.

The code under test is the daemon's own: the replica, the state machine and the gateway's held
revision. Only disk, network and clock are fakes. Invariants are checked after every step; a
violation raises `Breach`.
"""

import random

from tests.support.group_faults import Faults
from tests.support.group_users import Users
from tests.support.hosts import Breach, Disk, Host
from traystall.consensus.models import MemberRecord
from traystall.evacuations.cache import EvacuationCache
from traystall.gateway.configuration import HeldRevision

__all__ = ["Breach", "Disk", "Group", "Host"]

STEP_SECONDS = 0.02
# The first choices of a step are not faults; the fault density does not change their weights.
_FAULTLESS_CHOICES = 9


class Group(Faults, Users):
    """Run hosts, operators, claimants and gateways from one seed."""

    host_class = Host

    def __init__(self, seed, size=3, faults=True):
        self.random = random.Random(seed)
        self.time = 0.0
        # The passage of time relative to messages, and the density of faults, in this schedule.
        self.pace = self.random.choice((0.15, 0.4, 1.0))
        self.fault_density = self.random.choice((0.5, 1.0, 2.0))
        self.messages = []
        self.cuts = set()
        self.steps = 0
        self.faults = faults
        self.committed = {}
        self.leaders = {}
        self.accepted = {}
        self.dispatched = {}
        self.released = set()
        self.confirmed_releases = set()
        self.claims = 0
        self.revisions = [HeldRevision() for _ in range(2)]
        self.held_evacuations = [EvacuationCache() for _ in range(2)]
        self.evacuated = {}
        # The highest version that was acknowledged to an operator.
        self.acknowledged = 0
        self.digests = {}
        self.hook = None
        self.effects = set()
        self.hosts = [self.host_class(self, f"c{n}") for n in range(size)]
        self._form_group()

    # ---- running ----

    def run(self, steps):
        """Take random steps and check the invariants after each."""
        for _ in range(steps):
            self.step()

    def step(self):
        """Take one step and check every invariant."""
        self.steps += 1
        # Most steps are short, so that many fall into one lease; a few let more time pass.
        longest = 0.006 if self.random.random() < 0.93 else 0.4
        self.time += self.random.uniform(0, longest) * self.pace
        self._choose()()
        self.check()

    def settle(self):
        """Repair all faults and run without faults until a new command commits everywhere."""
        self.faults = False
        self.cuts.clear()
        for host in self.hosts:
            host.frozen = False
            if not host.alive:
                host.boot()
        done = []
        for _ in range(2000):
            self._run_faultless_round()
            leader = self.lease_holder()
            if leader is not None and self.random.random() < 0.2:
                claim = self._claim_command(f"settle{self.steps}", "settle")
                leader.propose(claim, done.append)
            if done:
                self._check_evacuations_kept(leader)
                return
        raise Breach("the healed group did not commit a new command")

    def _check_evacuations_kept(self, leader):
        """Check that every acknowledged order is in the state of the final leader."""
        places = leader.state.evacuations.places
        if places.version < self.acknowledged:
            raise Breach(
                f"evacuations went back to version {places.version} from {self.acknowledged}"
            )
        self.record_evacuated(places)

    def _run_faultless_round(self):
        """Let every host tick, sync and receive its messages."""
        self.steps += 1
        self.time += STEP_SECONDS
        self._form_group()
        for host in self.hosts:
            host.replica.tick(host.now)
            host.process_ready()
            host.sync(len(host.disk.jobs))
        for _ in range(len(self.messages)):
            self._hand_message(*self.messages.pop(0))
        self.check()

    def _form_group(self):
        """Form the group again if every replica is empty, as the daemons do."""
        if all(h.runs and not h.replica.log.last_index for h in self.hosts):
            if not self.committed:
                # Nothing was committed before: this is a new group, which may reuse the old terms.
                self.leaders.clear()
            founder = self.hosts[0]
            members = [MemberRecord(h.identity, h.name, "", True) for h in self.hosts]
            term = 1 + max(h.replica.term for h in self.hosts)
            founder.replica.bootstrap_group(members, term, founder.now)
            founder.process_ready()

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
            (2, self._order_evacuation),
            (2, self._watch_evacuations),
            (1.5, self._compact),
        ]
        if self.faults:
            choices += [
                (0.25, self.crash),
                (0.8, self._reboot),
                (0.25, self.freeze),
                (0.8, self._unfreeze),
                (0.15, self.cut),
                (0.3, self._cut_link),
                (0.5, self._heal),
                (0.8, self._drop),
                (0.8, self._duplicate),
                (0.12, self.wipe),
                (0.8, self._repair),
                (0.4, self._hand_over),
                (0.3, self._form_group),
            ]
        weights = [weight for weight, _ in choices[:_FAULTLESS_CHOICES]]
        weights += [weight * self.fault_density for weight, _ in choices[_FAULTLESS_CHOICES:]]
        return self.random.choices([action for _, action in choices], weights)[0]

    # ---- network ----

    def send(self, sender, messages):
        for message in messages:
            self.effect(type(message).__name__, sender)
            self.messages.append((sender.name, message))

    def effect(self, kind, host):
        """Record an effect of the replica; the hook lets a test inject a fault at this point."""
        self.effects.add(kind)
        if self.hook is not None:
            self.hook(kind, host)

    def _deliver(self):
        """Deliver a few messages, mostly in order."""
        for _ in range(min(len(self.messages), self.random.randint(1, 5))):
            last = len(self.messages) - 1
            position = 0 if self.random.random() < 0.85 else self.random.randint(0, last)
            self._hand_message(*self.messages.pop(position))

    def _hand_message(self, sender, message):
        name = message.to.split("/")[0]
        host = next((h for h in self.hosts if h.name == name), None)
        if host is None or not host.alive or (sender, name) in self.cuts:
            return
        if host.frozen:
            self.messages.append((sender, message))
            return
        host.replica.receive(message, host.now)
        host.process_ready()

    def _drop(self):
        if self.messages:
            self.messages.pop(self.random.randrange(len(self.messages)))

    def _duplicate(self):
        if self.messages:
            self.messages.append(self.random.choice(self.messages))

    # ---- invariants ----

    def check_applied(self, host, entry):
        content = (entry.term, entry.kind, bytes(entry.command or b""))
        known = self.committed.setdefault(entry.index, content)
        if known != content:
            raise Breach(f"{host.identity} applied a different entry at {entry.index}")

    def check(self):
        """Check the invariants that hold between any two steps."""
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
                raise Breach(f"the leader of term {host.replica.term} does not have entry {index}")
