"""Simulate a burst of staged requests on pools, with the daemon's admission control.

Only time is simulated: queues are first come, first served, and each target runs one call at a
time. There is no limit of result memory, there are no data centres and no failures.
"""

import heapq
import itertools
import random

import msgspec

from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.routes.models import BatchProfile, Route, Split, StagePlan

# Interval at which a request that waits for admission asks again, in seconds, and its longest wait
# as a ratio of the route's `aim`. Both are those of the batcher.
ASK_SECONDS = 0.05
MAX_WAIT_RATIO = 0.2


class SimPool:
    """Hold one pool: its targets and its queue."""

    def __init__(self, targets: int, profile: BatchProfile):
        self.targets = targets
        self.free = targets
        self.profile = profile
        self.waiting: list[tuple[int, int, object]] = []
        self.pieces_run = 0
        self.calls = 0

    def load(self) -> PoolLoad:
        """Return the load of the pool as reported to admission."""
        full = self.profile.seconds(self.profile.batch)

        def waiting(priority, due):
            return sum(1 for other, _, _ in self.waiting if other <= priority)

        return PoolLoad(waiting, self.targets * self.profile.batch / full, full)


class Kind(msgspec.Struct, frozen=True):
    """Describe a kind of request: its route, requests a second, pieces, and time for its stages."""

    route: Route
    rate: float
    counts: tuple[int, ...]
    slack: float


class RequestOutcome(msgspec.Struct):
    """Hold the outcome of one request; `wait` is the wait that was forecast at its admission."""

    kind: str
    at: float
    refused: bool = False
    wait: float = 0.0
    stages_seconds: float = 0.0
    in_time: bool = False


class Burst:
    """Simulate arrivals of some kinds from a seed."""

    def __init__(self, pools: dict[str, SimPool], kinds: list[Kind], seed: int = 1):
        self.pools = pools
        self.kinds = kinds
        self.book = AdmissionController()
        self.fates: list[RequestOutcome] = []
        self._random = random.Random(seed)
        self._events: list = []
        self._order = itertools.count()

    def run(self, seconds: float, factor, admit=None) -> list[RequestOutcome]:
        """Simulate `seconds`; `factor(kind, time)` scales the usual arrival rate."""
        self._admit = admit or self.book.admit
        for kind in self.kinds:
            self._schedule_arrivals(kind, seconds, factor)
        while self._events:
            time, _, step = heapq.heappop(self._events)
            step(time)
        return self.fates

    def _schedule(self, time, step):
        heapq.heappush(self._events, (time, next(self._order), step))

    def _schedule_arrivals(self, kind, seconds, factor):
        time = 0.0
        while True:
            max_rate = kind.rate * 3.0
            time += self._random.expovariate(max_rate)
            if time > seconds:
                return
            if self._random.random() < kind.rate * factor(kind.route.name, time) / max_rate:
                self._schedule(time, self._on_arrival(kind))

    def _on_arrival(self, kind):
        def step(now):
            fate = RequestOutcome(kind.route.name, now)
            self.fates.append(fate)
            self._request_admission(kind, fate, f"{kind.route.name}{len(self.fates)}", now, now)

        return step

    def _request_admission(self, kind, fate, name, since, now):
        loads = {stage.pool: self.pools[stage.pool].load() for stage in kind.route.stages}
        waited = now - since
        arrival = AdmissionRequest(name, kind.route, kind.counts, 1, kind.slack - waited, 6.0, name)
        verdict = self._admit(arrival, loads, now)
        if verdict.admitted:
            fate.wait = verdict.wait
            self._begin_stage(kind, fate, name, since, 0, now)
        elif waited + ASK_SECONDS > kind.route.aim * MAX_WAIT_RATIO:
            fate.refused = True
        else:
            self._schedule(
                now + ASK_SECONDS, lambda at: self._request_admission(kind, fate, name, since, at)
            )

    def _begin_stage(self, kind, fate, name, since, stage, now):
        while stage < len(kind.counts) and not kind.counts[stage]:
            stage += 1
        if stage == len(kind.counts):
            fate.stages_seconds = now - since
            usual = sum(
                self.pools[s.pool].profile.seconds(self.pools[s.pool].profile.batch)
                for s in kind.route.stages
            )
            fate.in_time = fate.stages_seconds <= kind.slack + usual
            return
        self.book.requested(name, stage)
        pool = self.pools[kind.route.stages[stage].pool]
        left = [kind.counts[stage]]

        def done(at):
            left[0] -= 1
            if not left[0]:
                self.book.made(name, stage, 0.0, at)
                self._begin_stage(kind, fate, name, since, stage + 1, at)

        begun = 0 if stage else 1
        pool.waiting += [(1, begun, done)] * kind.counts[stage]
        self._pump(pool, now)

    def _pump(self, pool, now):
        pool.waiting.sort(key=lambda row: row[1])
        while pool.free and pool.waiting:
            batch, pool.waiting = (
                pool.waiting[: pool.profile.batch],
                pool.waiting[pool.profile.batch :],
            )
            pool.free -= 1
            pool.calls += 1
            pool.pieces_run += len(batch)
            self._schedule(now + pool.profile.seconds(len(batch)), self._finish_call(pool, batch))

    def _finish_call(self, pool, batch):
        def step(now):
            pool.free += 1
            for _, _, done in batch:
                done(now)
            self._pump(pool, now)

        return step


def chain(name: str, aim: float, *pools: str) -> Route:
    """Return a route whose stages each read the one before."""
    stages = tuple(StagePlan(pool, (i - 1,) if i else ()) for i, pool in enumerate(pools))
    return Route(name, "h", "/", (Split("engine"),), aim=aim, stages=stages)


def hive_pools(targets=(3, 3, 4)) -> dict[str, SimPool]:
    """Return the pools of one cell: capacities of about 150, 715 and 1,400 pieces a second."""
    return {
        "ledger": SimPool(targets[0], BatchProfile(1, 2, 14, 0.15, 0.0092)),
        "map": SimPool(targets[1], BatchProfile(1, 2, 66, 0.15, 0.0019)),
        "push": SimPool(targets[2], BatchProfile(1, 2, 96, 0.15, 0.0013)),
    }


def hive_kinds() -> list[Kind]:
    """Return a third of the requests of the customer whose work has shifted."""
    return [
        Kind(chain("summary", 1.063, "ledger"), 12.0, (2,), 0.35),
        Kind(chain("brief", 1.645, "ledger", "map", "push"), 15.6, (1, 8, 16), 0.6),
        Kind(chain("chat", 1.526, "ledger", "map", "push"), 21.0, (1, 8, 16), 0.5),
    ]
