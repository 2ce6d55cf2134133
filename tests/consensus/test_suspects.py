"""Suspects under random faults of the control group: reported ends, trials and refusals."""

import asyncio

import pytest

from tests.support.group import Group
from tests.support.hosts import Breach
from traystall.core.exceptions import ConsensusError
from traystall.quarantine.cache import SuspectCache
from traystall.quarantine.models import (
    MAX_TRIALS,
    BeginTrial,
    EndedRun,
    ReportRuns,
    SuspectEvent,
    Verdict,
)
from traystall.quarantine.state import SuspectTable
from traystall.quarantine.wire import to_wire

SCHEDULES = 150
STEPS = 1500
DIGESTS = (b"a", b"b")


class SuspectGroup(Group):
    """Add gateways that report ended targets, request trials and watch.

    No suspicion is ever cleared here, so every acknowledged decision must remain in force.
    """

    def __init__(self, seed, size=3):
        super().__init__(seed, size)
        self.held = [SuspectCache() for _ in range(2)]
        self.granted = {digest: set() for digest in DIGESTS}
        self.refused = set()
        self.content_by_version = {}
        self._number = 0

    def _choose(self):
        actions = (self._report_end, self._ask, self._ask, self._watch_suspects)
        if self.random.random() < 0.15:
            return self.random.choice(actions)
        return super()._choose()

    def _report_end(self):
        host = self._any(lambda h: h.runs and h.replica.is_leader)
        if host is None:
            return
        digest, life = self.random.choice(DIGESTS), f"life-{self.random.randrange(4)}"
        trial = self.random.choice(["", *sorted(self.granted[digest])])
        ended = EndedRun(digest, "ana", "route", "pool", life, "", trial)
        command = ReportRuns((ended,), (), (), self.time)
        host.propose(command, self._reported)

    def _reported(self, updates):
        self.refused |= {one.digest for one in updates if one.event is SuspectEvent.REFUSED}

    def _ask(self):
        host = self._any(lambda h: h.runs and h.replica.is_leader)
        if host is None:
            return
        self._number += 1
        digest, trial = self.random.choice(DIGESTS), f"t-{self._number}"
        command = BeginTrial(digest, trial, self.time)
        # A trial requested before the refusal may be answered late by a leader that was suspended.
        was_refused = digest in self.refused
        host.propose(command, lambda result: self._answered(digest, trial, result, was_refused))

    def _answered(self, digest, trial, result, was_refused):
        if result.verdict is Verdict.REFUSED:
            self.refused.add(digest)
        elif was_refused:
            raise Breach(f"{digest} was refused, and then {result.verdict}")
        if result.verdict is Verdict.TRIAL:
            self.granted[digest].add(trial)
            if len(self.granted[digest]) > MAX_TRIALS:
                raise Breach(f"{digest} got {len(self.granted[digest])} trials")

    def _watch_suspects(self):
        """Update a gateway's suspects from any live host, even one that is far behind."""
        host = self._any(lambda h: h.runs)
        if host is None:
            return
        cache = self.random.choice(self.held)
        before = cache.version
        cache.take(to_wire(host.state.suspects, cache.version))
        if cache.version < before:
            raise Breach("a gateway went back to an older version of the suspects")
        content = {digest: cache.get(digest).ends for digest in DIGESTS if cache.get(digest)}
        if self.content_by_version.setdefault(cache.version, content) != content:
            raise Breach(f"suspects at version {cache.version} have two contents")

    def check_kept(self):
        """Check that the final leader knows every refusal that was acknowledged."""
        table = self.lease_holder().state.suspects
        for digest in self.refused:
            if table.get(digest) is None or table.get(digest).refused_at is None:
                raise Breach(f"the refusal of {digest} was lost")


def run_schedule(seed):
    async def scenario():
        group = SuspectGroup(seed, 3 + 2 * (seed % 2))
        group.run(STEPS)
        group.settle()
        group.check_kept()
        return len(group.refused)

    return asyncio.run(scenario())


def test_refusals_hold_and_trials_are_few_under_any_faults():
    assert sum(run_schedule(seed) for seed in range(SCHEDULES)) > SCHEDULES // 4


def lost_in_snapshots(patch):
    """A snapshot omits the suspects."""
    patch.setattr(SuspectTable, "snapshot", lambda self: b"")


def trials_not_counted(patch):
    """Every request is granted one more trial."""
    original = SuspectTable.begin_trial

    def begin_trial(self, command):
        row = self.get(command.digest)
        if row is not None:
            row.trials = 0
            row.trial_until = 0.0
        return original(self, command)

    patch.setattr(SuspectTable, "begin_trial", begin_trial)


def gateway_takes_any_version(patch):
    """A gateway accepts an older version as an update."""
    original = SuspectCache.take

    def take(self, told):
        self.version = -1
        return original(self, told)

    patch.setattr(SuspectCache, "take", take)


@pytest.mark.parametrize(
    "breakage", [lost_in_snapshots, trials_not_counted, gateway_takes_any_version]
)
def test_breakage_is_noticed(breakage, monkeypatch):
    breakage(monkeypatch)

    def is_detected(seed):
        try:
            run_schedule(seed)
        except (Breach, ConsensusError, AssertionError):
            return True
        return False

    assert any(is_detected(seed) for seed in range(SCHEDULES))
