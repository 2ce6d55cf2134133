"""Simulate an overload of staged requests on pools with limited result memory.

Only time is simulated: `batching.select_batch` orders and batches the queue and the admission
controller decides which requests start, as in the daemon. There is one cell in one data centre. A
call takes as long as its batch profile says; all pieces of one stage finish together; a result is
freed when its last reader has read it. Callers honour Retry-After once, impatient callers retry
at once.
"""

import heapq
import itertools
import random
from collections import Counter

import msgspec

from traystall.admission.pool_sharing import shared_pools
from traystall.passthrough.admission.controller import AdmissionController, AdmissionRequest
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.passthrough.stages.batching import FreeTarget, PieceJob, select_batch
from traystall.passthrough.stages.pace import next_call_time
from traystall.routes.models import BatchProfile, Pool, Route, Split, StagePlan

# Interval at which a request that waits for admission asks again, in seconds, and its longest wait
# as a ratio of the route's `aim`. Both are those of the batcher.
ASK_SECONDS = 0.05
MAX_WAIT_RATIO = 0.2
# Time from the end of a stage until the next stage is queued, in seconds: two hops each way.
HAND_OVER_SECONDS = 0.012
# Time until other gateways detect the loss of a batching gateway, in seconds.
LOSS_DETECTION_SECONDS = 0.5
# Number of immediate retries of an impatient caller, and the delay between them.
RETRIES = 3
RETRY_SECONDS = 0.05

IN_TIME = "in time"
LATE = "late"
REFUSED_AT_ONCE = "refused at once"
REFUSED_LATE = "refused late"
LOST = "begun and lost"


class CrowdKind(msgspec.Struct, frozen=True):
    """Describe a kind of request: its route, requests a second, and its pieces.
    `pieces` has (mean, share of requests with the stage) for each stage. `engine_seconds` is the
    time that the request needs after its stages.
        that the request needs after its stages.
    """

    route: Route
    rate: float
    pieces: tuple[tuple[float, float], ...]
    engine_seconds: float
    deadline: float = 6.0

    def draw(self, chance: random.Random) -> tuple[int, ...]:
        """Return the pieces of one request for each stage; at least one in all."""
        counts = [
            max(1, round(chance.gauss(mean, mean * 0.3))) if chance.random() < share else 0
            for mean, share in self.pieces
        ]
        return tuple(counts)


class RequestOutcome(msgspec.Struct):
    """Hold the outcome of one request over all attempts, as its caller sees it."""

    kind: str
    customer: str
    at: float
    outcome: str = REFUSED_LATE
    stages_seconds: float = 0.0


class CrowdWorker(msgspec.Struct, eq=False):
    """Hold the state of one target: when it is free, its slowdown, and the bytes it holds."""

    free_at: float = 0.0
    ratio: float = 1.0
    taken: int = 0
    life: int = 0


class CrowdPool:
    """Hold one pool: its targets and its queue."""

    def __init__(self, targets: int, profile: BatchProfile):
        self.workers = [CrowdWorker() for _ in range(targets)]
        self.profile = profile
        self.waiting: list[PieceJob] = []
        self.calls: list[int] = []
        self.last_began = float("-inf")
        self.call_seconds = profile.seconds(1)
        self.next_check_at = float("-inf")

    def rate(self, now: float) -> float:
        """Return the pieces a second that the targets run with full calls."""
        full = self.profile.batch / self.profile.seconds(self.profile.batch)
        return full * sum(1 / w.ratio for w in self.workers if w.free_at < now + 2.0)

    def load(self, now: float) -> PoolLoad:
        """Return the load of the pool as reported to admission."""

        def waiting(priority, due=float("inf")):
            return sum(1 for job in self.waiting if job.priority <= priority and job.due <= due)

        return PoolLoad(waiting, self.rate(now), self.profile.seconds(self.profile.batch))


class _Request(msgspec.Struct, eq=False):
    kind: CrowdKind
    fate: RequestOutcome
    name: str
    counts: tuple[int, ...]
    since: float
    retries_left: int
    asked_at: float = 0.0
    stage: int = 0
    left: int = 0
    began: bool = False
    over: bool = False
    held: list = msgspec.field(default_factory=list)
    made: list = msgspec.field(default_factory=list)


class Crowd:
    """Simulate arrivals of some kinds and customers from a seed."""

    def __init__(self, pools, kinds, seed=1, shared=None, customers=16, skew=1.2):
        self.pools: dict[str, CrowdPool] = pools
        self.kinds: list[CrowdKind] = kinds
        self.book = AdmissionController()
        if shared is None:
            tables = {name: Pool(name, batches=pool.profile) for name, pool in pools.items()}
            shared = shared_pools([kind.route for kind in kinds], tables)
        self.shared: frozenset[str] = shared
        self.fates: list[RequestOutcome] = []
        self.repeaters: set[str] = set()
        self._customers = [f"c{i}" for i in range(customers)]
        self._weights = [1 / (i + 1) ** skew for i in range(customers)]
        self._random = random.Random(seed)
        self._events: list = []
        self._order = itertools.count()
        self._jobs: dict[str, _Request] = {}

    def run(self, seconds: float, factor, faults=()) -> list[RequestOutcome]:
        """Simulate `seconds`; `factor(kind, time)` scales the usual arrival rate.

        `faults` are pairs of a time and a callable that is called with this crowd and that time.
        """
        for kind in self.kinds:
            time = 0.0
            while time < seconds:
                max_rate = kind.rate * 3.0
                time += self._random.expovariate(max_rate)
                if self._random.random() < kind.rate * factor(kind.route.name, time) / max_rate:
                    self.at(time, lambda now, kind=kind: self._on_arrival(kind, now))
        for time, fault in faults:
            self.at(time, lambda now, fault=fault: fault(self, now))
        while self._events:
            time, _, step = heapq.heappop(self._events)
            step(time)
        return self.fates

    def at(self, time, step):
        """Schedule `step(time)`."""
        heapq.heappush(self._events, (time, next(self._order), step))

    # ---- faults ----

    def crash(self, pool: str, count: int, seconds: float):
        """Return a fault that ends targets of a pool for a while and loses their results."""

        def fault(now):
            for worker in self.pools[pool].workers[:count]:
                worker.free_at, worker.taken = now + seconds, 0
                worker.life += 1

        return lambda _, now: fault(now)

    def slow(self, pool: str, count: int, ratio: float):
        """Return a fault that makes targets of a pool slower from then on."""

        def fault(_, now):
            for worker in self.pools[pool].workers[:count]:
                worker.ratio = ratio

        return fault

    def lose_batcher(self, _, now):
        """Lose the state of the batching gateway: waiting requests ask another gateway anew."""
        waits = self.book.waits(now)
        self.book = AdmissionController()
        self.book.merge_peer_waits(waits, 0.2, now)
        for pool in self.pools.values():
            pool.waiting = []
        for request in list(self._jobs.values()):
            if request.began and not request.over and request.left:
                request.left = 0
                self.at(now + LOSS_DETECTION_SECONDS, lambda at, r=request: self._admit(r, at))

    # ---- requests ----

    def _on_arrival(self, kind, now):
        customer = self._random.choices(self._customers, self._weights)[0]
        fate = RequestOutcome(kind.route.name, customer, now)
        self.fates.append(fate)
        retries_left = RETRIES if customer in self.repeaters else 1
        name = f"{kind.route.name}{len(self.fates)}"
        counts = kind.draw(self._random)
        self._request_admission(
            _Request(kind, fate, name, counts, now, retries_left, asked_at=now), now
        )

    def _request_admission(self, request, now):
        if not any(request.counts):
            self._on_completed(request, now)
            return
        verdict = self._admit(request, now)
        if verdict is None or verdict.admitted:
            return
        waited = now - request.asked_at
        patience = request.kind.route.aim * MAX_WAIT_RATIO
        if waited + max(ASK_SECONDS, verdict.seconds_to_admission) <= patience:
            self.at(now + ASK_SECONDS, lambda at: self._request_admission(request, at))
            return
        self.book.record_refusal(request.name, now)
        in_quarter = waited <= request.kind.route.aim / 4
        request.fate.outcome = REFUSED_AT_ONCE if in_quarter else REFUSED_LATE
        if not request.retries_left:
            return
        request.retries_left -= 1
        is_impatient = request.fate.customer in self.repeaters
        back = now + (RETRY_SECONDS if is_impatient else verdict.retry_after)

        def retry(at):
            request.asked_at = request.since = at
            self._request_admission(request, at)

        if is_impatient or verdict.retry_after:
            self.at(back, retry)

    def _admit(self, request, now):
        """Request admission; an admitted or already started request asks for its next stage."""
        kind = request.kind
        loads = {s.pool: self.pools[s.pool].load(now) for s in kind.route.stages}
        left = request.since + kind.route.aim - now - kind.engine_seconds
        arrival = AdmissionRequest(
            request.name,
            kind.route,
            request.counts,
            1,
            left - self._usual_seconds(request, 0),
            request.fate.at + kind.deadline - now,
            request.name,
            customer=request.fate.customer,
            made=frozenset(range(request.stage)),
        )
        verdict = self.book.admit(arrival, loads, now, self.shared)
        if verdict.admitted or request.began:
            request.began = True
            self._jobs[request.name] = request
            self._begin_stage(request, now)
            return None
        return verdict

    def _usual_seconds(self, request, stage):
        stages = request.kind.route.stages
        return sum(
            self.pools[s.pool].profile.seconds(self.pools[s.pool].profile.batch)
            for s, count in list(zip(stages, request.counts, strict=True))[stage:]
            if count
        )

    def _begin_stage(self, request, now):
        while request.stage < len(request.counts) and not request.counts[request.stage]:
            request.stage += 1
        if request.stage == len(request.counts):
            self.at(now + request.kind.engine_seconds, lambda at: self._on_completed(request, at))
            return
        plan = request.kind.route.stages[request.stage]
        self.book.requested(request.name, request.stage)
        left = request.since + request.kind.route.aim - now - request.kind.engine_seconds
        due = now + left - self._usual_seconds(request, request.stage)
        request.left = request.counts[request.stage]
        pool = self.pools[plan.pool]
        pool.waiting += [
            PieceJob(
                call_id=f"{request.name} {request.stage}",
                request_id=request.name,
                stage=request.stage,
                piece=piece,
                key="",
                inputs=("x",) if plan.after else (),
                priority=1,
                due=due,
                deadline=request.fate.at + request.kind.deadline,
                result_bytes=plan.result_bytes,
            )
            for piece in range(request.left)
        ]
        self.at(request.fate.at + request.kind.deadline, lambda at: self._on_deadline(request))
        self._pump(pool, now)

    def _on_deadline(self, request):
        if not request.over:
            self._abort(request)

    def _abort(self, request):
        request.over, request.fate.outcome = True, LOST
        self.book.ended(request.name)
        self._free_results(request.held)
        self._free_results(request.made)
        for pool in self.pools.values():
            pool.waiting = [job for job in pool.waiting if job.request_id != request.name]

    def _on_completed(self, request, now):
        if request.over:
            return
        request.over = True
        self._free_results(request.held)
        fate = request.fate
        fate.stages_seconds = now - request.since - request.kind.engine_seconds
        fate.outcome = IN_TIME if now - request.since <= request.kind.route.aim else LATE

    # ---- pools ----

    def _pump(self, pool, now):
        started = frozenset(f"{r.name} {r.stage}" for r in self._jobs.values() if r.left and r.made)
        for worker in pool.workers:
            if worker.free_at > now or not pool.waiting:
                continue
            if self._is_paced(pool, now):
                break
            room = pool.profile.room_bytes - worker.taken
            target = FreeTarget(workers=len(pool.workers))
            batch = select_batch(pool.waiting, pool.profile, room, now, target, started)
            if not batch:
                continue
            taken = set(map(id, batch))
            pool.waiting = [job for job in pool.waiting if id(job) not in taken]
            pool.calls.append(len(batch))
            pool.last_began = now
            pool.call_seconds += 0.1 * (pool.profile.seconds(len(batch)) - pool.call_seconds)
            worker.taken += sum(job.result_bytes for job in batch)
            worker.free_at = now + pool.profile.seconds(len(batch)) * worker.ratio
            life = worker.life
            self.at(
                worker.free_at,
                lambda at, w=worker, b=batch, life=life: self._on_call_ended(pool, w, b, life, at),
            )

    def _is_paced(self, pool, now):
        """Return whether pacing delays the next call; if so, schedule a check at its start."""
        if not self.shared.intersection({name for name, p in self.pools.items() if p is pool}):
            return False
        waiting, targets = len(pool.waiting), len(pool.workers)
        begin = next_call_time(
            pool.last_began, pool.call_seconds, targets, waiting, pool.profile.batch
        )
        if begin <= now + 1e-6:
            return False
        if pool.next_check_at <= now:
            pool.next_check_at = begin
            self.at(begin, lambda at: self._pump(pool, at))
        return True

    def _on_call_ended(self, pool, worker, batch, life, now):
        for job in batch:
            request = self._jobs[job.request_id]
            if life != worker.life:
                if not request.over:
                    self._abort(request)
                continue
            if request.over or job.stage != request.stage or not request.left:
                worker.taken -= job.result_bytes
                continue
            request.made.append((worker, worker.life, job.result_bytes))
            request.left -= 1
            if not request.left:
                self._on_stage_completed(request, now)
        self._pump(pool, now)

    def _on_stage_completed(self, request, now):
        self.book.made(request.name, request.stage, self._usual_seconds(request, 0), now)
        self._free_results(request.held)
        request.held, request.made = request.made, []
        request.stage += 1
        self.at(now + HAND_OVER_SECONDS, lambda at: self._begin_stage(request, at))

    def _free_results(self, held):
        for worker, life, size in held:
            if worker.life == life:
                worker.taken -= size
        held.clear()


def read_out(fates: list[RequestOutcome], by: str = "kind") -> dict[str, Counter[str]]:
    """Return the outcomes of the requests by kind, or by customer."""
    found: dict[str, Counter[str]] = {}
    for fate in fates:
        found.setdefault(getattr(fate, by), Counter())[fate.outcome] += 1
    return found


def served_part(counts: Counter[str]) -> float:
    """Return the ratio of requests that were answered in time."""
    return counts[IN_TIME] / max(1, counts.total())


def chain(name: str, aim: float, *stages: tuple[str, int]) -> Route:
    """Return a route of stages, as (pool, bytes of a result), where each reads the one before."""
    plans = tuple(
        StagePlan(pool, (i - 1,) if i else (), size) for i, (pool, size) in enumerate(stages)
    )
    return Route(name, "h", "/", (Split("engine"),), aim=aim, stages=plans)


def patient_and_impatient() -> tuple[dict[str, CrowdPool], list[CrowdKind]]:
    """Return three pools, a kind with a long `aim` that fills them, and one with a short `aim`."""
    pools = {
        "portal": CrowdPool(9, BatchProfile(1, 2, 20, 0.2, 0.0086, 48e6, 4.0)),
        "meter": CrowdPool(8, BatchProfile(1, 2, 47, 0.2, 0.0036, 6.298e6, 4.0)),
        "billing": CrowdPool(9, BatchProfile(1, 2, 70, 0.2, 0.0031, 0.93e6, 4.0)),
    }
    light = (("portal", 8_000), ("meter", 60_000), ("billing", 6_000))
    kinds = [
        CrowdKind(chain("dossier", 0.835, ("portal", 1_500_000)), 71.4, ((2.5, 0.7),), 0.15),
        CrowdKind(chain("brief", 3.0, *light), 87.0, ((1, 1), (6, 1), (10, 1)), 0.08),
        CrowdKind(chain("chat", 1.5, *light), 15.5, ((1, 1), (6, 1), (10, 1)), 0.06),
    ]
    return pools, kinds


def alike_in_patience() -> tuple[dict[str, CrowdPool], list[CrowdKind]]:
    """Return three pools and two kinds with one chain and nearly the same `aim`."""
    pools = {
        "registry": CrowdPool(10, BatchProfile(1, 2, 17, 0.2, 0.01, 37.8e6, 4.0)),
        "notices": CrowdPool(8, BatchProfile(1, 2, 60, 0.2, 0.0029, 7.78e6, 4.0)),
        "stock": CrowdPool(8, BatchProfile(1, 2, 83, 0.2, 0.003, 1.13e6, 4.0)),
    }
    light = (("registry", 8_000), ("notices", 60_000), ("stock", 6_000))
    kinds = [
        CrowdKind(chain("review", 0.91, ("registry", 1_500_000)), 76.0, ((2.5, 0.7),), 0.15),
        CrowdKind(chain("explain", 1.8, *light), 87.7, ((1, 1), (6, 1), (10, 1)), 0.1),
        CrowdKind(chain("reminder", 1.7, *light), 22.1, ((1, 1), (6, 1), (10, 1)), 0.08),
    ]
    return pools, kinds
