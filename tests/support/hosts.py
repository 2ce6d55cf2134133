"""Simulated machines of a group: a fake disk, a separate clock, and the real replica."""

from traystall.consensus.log import ReplicaLog
from traystall.consensus.models import (
    AppendLog,
    EntryKind,
    HardState,
    SaveHardState,
    SaveSnapshot,
    Timing,
    TruncateLog,
)
from traystall.consensus.replica import Replica
from traystall.control.state import StateMachine
from traystall.core.exceptions import ConsensusError
from traystall.core.serialization import pack

GROUP = "main"
TIMING = Timing()
# Range of clock rates of the hosts; the lease tolerates a drift of this size.
CLOCK_RATES = (0.96, 1.04)


class Breach(AssertionError):
    """Report the violation of an invariant."""


class Disk:
    """Hold durable state, and jobs that are written but not yet synced."""

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
    """Run one replica with its own disk and clock."""

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
        """Start from the durable state."""
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
        """Lose the disk and restart as a new incarnation with empty state."""
        self.incarnation += 1
        self.disk = Disk()
        self.boot()

    def process_ready(self):
        """Perform the actions that the replica returns, as the daemon's node does."""
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
        """Complete the oldest pending writes and the actions that depend on them."""
        done = self.disk.sync(count)
        for job in done:
            self.group.effect("sync", self)
            self.group.send(self, job["messages"])
        if done and self.alive:
            self.replica.on_synced(*done[-1]["mark"])
            self.process_ready()

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
        """Propose a command; the callback gets its result if the command commits on this host."""
        try:
            index = self.replica.propose([pack(command)], self.now)[0]
        except ConsensusError:
            return
        self.waiting[index] = (self.replica.term, callback)
        self.process_ready()
