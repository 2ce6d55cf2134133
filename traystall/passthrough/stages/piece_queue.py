"""Pieces that wait for the targets of one pool, and who waits for them."""

import asyncio
import math

import msgspec

from traystall.core import clock
from traystall.core.logs import decision
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.passthrough.dialect import PieceResult
from traystall.passthrough.exceptions import ConnectionBroken, ExchangeError, TargetHeldBack
from traystall.passthrough.stages.batching import FreeTarget, PieceJob, select_batch, set_apart
from traystall.passthrough.stages.cells import WHOLE_SYSTEM
from traystall.passthrough.stages.homes import StageHome
from traystall.passthrough.stages.pace import next_call_time
from traystall.passthrough.stages.piece_calls import FULL, UNREACHABLE, call_worker
from traystall.passthrough.stages.room_watch import RoomWatch
from traystall.passthrough.stages.stage_call import MOST_ENDS, StageCall, to_job
from traystall.passthrough.stages.worker_rates import rate_of_workers
from traystall.passthrough.stages.workers import SLOW_RATIO, Worker, overdue_after
from traystall.routes.models import BatchProfile
from traystall.rpc.gen.wire.ttypes import StageReply, StageRequest

# Reasons of a target for a piece that is worth asking for again.
_BUSY_REASONS = ("room", FULL)
_PASSING_REASONS = (*_BUSY_REASONS, "error")
_MAX_TRIES = 4
_PAUSE_SECONDS = 0.05
_SOON_SECONDS = 0.02
# The reason of pieces under which targets ended.
ENDED = "ended"
# The reason of pieces whose targets have all asked for rest beyond their deadline.
RESTING = "resting"
# A queue this young, in seconds, does not know what its targets still do for another gateway.
_SETTLED_SECONDS = 2.0
# Every request that waits to be let in asks how fast a pool is; it is worked out so often, in
# seconds: a tenth of the shortest calls.
_RATE_SECONDS = 0.015
# Weight of the newest call in how long calls take.
_CALL_LEARNING = 0.1


class PieceQueue:
    """Hand the pieces of one pool to its targets, as many at a time as each takes.

    In a cell only the targets of its data centres are called, as long as there are any.
    """

    def __init__(self, context, pool: str, cell: str = WHOLE_SYSTEM):
        self._context = context
        self._pool = pool
        self._cell = cell
        self._waiting: list[PieceJob] = []
        self._calls: dict[str, StageCall] = {}
        self._workers: dict[str, Worker] = {}
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_pumping = False
        self._since = clock.monotonic()
        self._room_watch = RoomWatch(context, self.dispatch)
        # Requests whose pieces go alone and are under way: of each one call at a time.
        self._alone: set[str] = set()
        # How fast the pool is, as it was worked out a moment ago.
        self._rate = 0.0
        self._rated_at = float("-inf")
        # How long calls take lately, 0 before the first one.
        self._call_seconds = 0.0
        self._last_began = float("-inf")

    async def run(self, request: StageRequest, home: StageHome) -> StageReply:
        """Return once all pieces of a call are made, or it is clear that they won't be."""
        now = clock.monotonic()
        count = len(request.pieces)
        done = asyncio.get_running_loop().create_future()
        call = StageCall(
            [""] * count, [""] * count, done, most_ends=1 if request.alone else MOST_ENDS
        )
        call.asked_at = now
        self._calls[request.call_id] = call
        self._context.budget(self._pool).on_request(now)
        self._waiting += [to_job(request, home, piece, now) for piece in request.pieces]
        self.dispatch()
        try:
            async with asyncio.timeout(max(0.0, request.seconds_left)):
                await call.done
        except TimeoutError:
            call.reasons = ["" if handle else "late" for handle in call.handles]
        finally:
            self.cancel(request.call_id)
        return StageReply(
            handles=call.handles,
            reasons=call.reasons,
            ended=call.ended,
            retry_after=call.retry_after,
            waited=call.waited,
            called=call.called,
        )

    def cancel(self, call_id: str) -> None:
        """Drop the pieces of a call that wait; what is being made goes on and is given up."""
        self._calls.pop(call_id, None)
        self._waiting = [job for job in self._waiting if job.call_id != call_id]

    def freed(self, handles: list[str]) -> None:
        """Take in that results were given up, and use the room."""
        for handle in handles:
            worker = self._workers.get(self._context.stage_dialect.worker(handle))
            if worker is not None:
                worker.book.free(handle, clock.monotonic())
        self.dispatch()

    def is_busy(self) -> bool:
        """Return whether somebody waits for pieces of this queue."""
        return bool(self._calls)

    def load(self, now: float) -> PoolLoad:
        """Return how this pool is now, for forecasts."""
        profile = self._profile()
        usual = profile.seconds(profile.batch) if profile else 0.0
        if now - self._rated_at > _RATE_SECONDS:
            self._rated_at = now
            self._rate = self.rate(now)
        return PoolLoad(self.waiting, self._rate, self._call_seconds or usual)

    def waiting(self, priority: int, due: float = math.inf) -> int:
        """Return how many pieces wait that go before new work of a priority.

        Of what is as urgent only that counts which should begin until `due`.
        """
        return sum(
            1
            for job in self._waiting
            if job.priority < priority or (job.priority == priority and job.due <= due)
        )

    def rate(self, now: float) -> float:
        """Return how many pieces a second the pool makes with full calls; 0 without targets."""
        profile = self._profile()
        if profile is None:
            return 0.0
        return self._rate_of(self._usable(include_closed=True), profile, now)

    def dispatch(self) -> None:
        """Give every free target its next call, once for all that happens in a turn of the loop.

        Each look costs 1 to 4 ms with 500 to 2,000 pieces waiting; in a burst there are
        hundreds of requests, results and releases a second.
        """
        if not self._is_pumping:
            self._is_pumping = True
            asyncio.get_running_loop().call_soon(self._pump_now)

    def _pump_now(self):
        self._is_pumping = False
        profile = self._profile()
        if profile is None or not self._waiting:
            return
        now = clock.monotonic()
        self._give_up_at_rest(now)
        free = self._free_workers(profile, now)
        if not free:
            self._pump_later()
            return
        home_waits, home_rates = self._home_waits(profile, now), self._home_rates(profile, now)
        workers = len(self._usable())
        for view, worker in free:
            wait = self._pace_wait(profile, workers, now)
            if wait > 0.0:
                self._pump_later(wait)
                return
            room = profile.room_bytes * worker.book.share - worker.book.taken(now)
            place = view.report.data_centre
            target = FreeTarget(place, workers, home_waits, home_rates, self._lacks(place))
            started = frozenset(name for name, call in self._calls.items() if call.started)
            waiting = [job for job in self._waiting if job.request_id not in self._alone]
            batch = set_apart(select_batch(waiting, profile, room, now, target, started))
            if batch:
                self._begin(view, worker, batch, profile, now)
        if self._waiting:
            self._pump_later()

    def _pace_wait(self, profile, workers, now) -> float:
        """Return how long the next call is kept back for the sake of an even pace, in seconds."""
        if self._pool not in self._context.shared_pools():
            return 0.0
        # Calls of slow targets last longer, but the others shall not stand idle for them.
        usual = min(self._call_seconds or profile.seconds(1), profile.seconds(profile.batch))
        waiting = len(self._waiting)
        return next_call_time(self._last_began, usual, workers, waiting, profile.batch) - now

    def _give_up_at_rest(self, now):
        """Answer at once who waits for pieces whose targets all rest until it is too late."""
        if not any(
            view.availability.is_backing_off(now) for view in self._context.board.pool(self._pool)
        ):
            return
        places = {job.places for job in self._waiting}
        rests = {named: self._context.backoff_left(self._pool, named) for named in places}
        for job in self._waiting:
            call = self._calls.get(job.call_id)
            rest = rests[job.places]
            if call is not None and rest and now + rest > job.deadline:
                call.retry_after = self._context.after_rest(rest)
                call.close(job.piece, "", RESTING)

    def _usable(self, include_closed=False):
        """Return the targets that may be called; those of other cells only if it has none.

        One that takes no more for a moment is still there: its cell waits for it, rather than call
        what another one calls.
        """
        context, pool = self._context, self._pool
        inside = context.cells().data_centres(self._cell)
        places = inside if context.usable(pool, inside, include_closed=True) else ()
        return context.usable(pool, places, include_closed)

    def _rate_of(self, views, profile, now):
        """Return how many pieces a second targets make with the calls that they take."""
        return rate_of_workers(
            [(self._worker(view), view.limit.per_second) for view in views], profile, now
        )

    def _profile(self) -> BatchProfile | None:
        pool = self._context.index.pools.get(self._pool)
        return pool.batches if pool else None

    def _worker(self, view) -> Worker:
        return self._workers.setdefault(view.report.address, Worker())

    def _home_waits(self, profile, now) -> dict[str, float]:
        """Return for each data centre how long its next target is still at work."""
        waits: dict[str, float] = {}
        for view in self._usable():
            wait = self._worker(view).wait(profile.slots, now)
            place = view.report.data_centre
            waits[place] = min(wait, waits.get(place, wait))
        return waits

    def _home_rates(self, profile, now) -> dict[str, float]:
        """Return for each data centre how many pieces a second its targets make."""
        found: dict[str, list] = {}
        for view in self._usable(include_closed=True):
            found.setdefault(view.report.data_centre, []).append(view)
        return {place: self._rate_of(views, profile, now) for place, views in found.items()}

    def _lacks(self, data_centre) -> frozenset[str]:
        """Return the pools that will read results and have no target in a data centre."""
        pools = {name for job in self._waiting for name in job.next_pools}
        return frozenset(
            name
            for name in pools
            if all(v.report.data_centre != data_centre for v in self._context.usable(name))
        )

    def _free_workers(self, profile, now):
        """Return the targets to call now, the fastest first."""
        known = [(view, self._worker(view)) for view in self._usable()]
        for view, worker in known:
            self._room_watch.review(view, worker, profile, now)
        sound = sum(1 for _, worker in known if worker.ratio < SLOW_RATIO)
        batches_for_all = self._context.batching_owner(self._cell) is None
        free = [
            (view, worker)
            for view, worker in known
            if worker.calls < profile.slots
            and now >= max(view.avoid_until, worker.wait_until)
            and self._context.cold.may_send(view, as_coordinator=batches_for_all)
            and worker.is_worth_calling(profile, len(self._waiting), sound, now)
        ]
        return sorted(free, key=lambda pair: (pair[1].ratio, pair[0].identity))

    def _begin(self, view, worker, batch, profile, now):
        taken = set(map(id, batch))
        self._waiting = [job for job in self._waiting if id(job) not in taken]
        self._keep_together(batch, view.report.data_centre)
        if batch[0].alone:
            self._alone.add(batch[0].request_id)
        for job in batch:
            if job.call_id in self._calls:
                self._calls[job.call_id].started = True
        size = sum(job.result_bytes for job in batch)
        self._last_began = now
        # Counted here, not in the task: until that runs the target would look free.
        worker.began(now, size, profile.seconds(len(batch)))
        self._context.cold.record_sent(view)
        self._spawn(self._call(view, worker, batch, profile, size))

    def _keep_together(self, batch, data_centre):
        """Bind what waits of the stages in a batch to the data centre where they were begun."""
        begun = {job.call_id for job in batch if job.apart_bytes}
        for job in self._waiting:
            if job.call_id in begun:
                job.data_centre = data_centre
                job.away_bytes = max(job.away_bytes, job.apart_bytes)

    async def _call(self, view, worker, batch, profile, size):
        began = clock.monotonic()
        expected = profile.seconds(len(batch))
        settled = clock.monotonic() - self._since > _SETTLED_SECONDS
        hedge = asyncio.get_running_loop().call_later(
            overdue_after(expected, settled), self._ask_elsewhere, view, worker, batch, expected
        )
        try:
            results = await call_worker(self._context, view, batch, expected)
            self._context.places.on_response(view.report.data_centre)
            now = clock.monotonic()
            seconds = now - began
            worker.update_ratio(seconds, expected)
            view.on_success(seconds, now)
            self._call_seconds += _CALL_LEARNING * (seconds - (self._call_seconds or seconds))
            self._call_seconds = self._call_seconds or seconds
        except TargetHeldBack:
            # Nothing was sent and nothing learned: they wait on.
            results = [PieceResult(reason=UNREACHABLE)] * len(batch)
        except ExchangeError as error:
            self._context.board.on_exchange_error(view, error, clock.monotonic())
            reason = "error" if error.sent else UNREACHABLE
            results = [PieceResult(reason=reason)] * len(batch)
            decision("pieces-failed", target=view.identity, why=error.reason)
            # They are asked elsewhere below, if at all: a copy now would end another worker.
            hedge.cancel()
            await self._look_into_end(view, batch, error)
        except TimeoutError:
            view.on_failure(clock.monotonic(), self._context.random)
            results = [PieceResult(reason="error")] * len(batch)
            decision("pieces-failed", target=view.identity, why="no answer in time")
        finally:
            hedge.cancel()
            worker.ended(size)
            self._alone.discard(batch[0].request_id)
        self._settle(view, worker, batch, results, profile, began)
        decision(
            "pieces",
            pool=self._pool,
            target=view.identity,
            pieces=len(batch),
            waiting=len(self._waiting),
            seconds=round(clock.monotonic() - began, 4),
            expected=round(expected, 4),
            made=sum(1 for result in results if result.handle),
        )
        self.dispatch()

    async def _look_into_end(self, view, batch, error):
        """Note the end of a target under the pieces that it made; they are made alone from now on.

        Who asked for them tells everybody: only there the whole request is known.
        """
        broke = isinstance(error, ConnectionBroken) and error.sent and not error.silent
        if not broke or not view.is_ready:
            return
        target = view.watched(lambda: self._context.board.end_evidence(view))
        if not await self._context.guard.ends.has_ended(target):
            return
        calls = {job.call_id for job in batch}
        for job in (*batch, *self._waiting):
            job.alone = job.alone or job.call_id in calls
        for call in filter(None, map(self._calls.get, calls)):
            if target.life not in call.ended:
                call.ended = [*call.ended, target.life]

    def _ask_elsewhere(self, view, worker, batch, expected):
        """Ask for the pieces of an overdue call again; the first result of each counts."""
        worker.update_ratio(overdue_after(expected, True), expected)
        copies = [
            msgspec.structs.replace(job, tries=job.tries + 1)
            for job in batch
            if self._is_open(job) and job.tries < _MAX_TRIES
        ]
        allowed = [job for job in copies if self._may_repeat()]
        if allowed:
            decision("pieces-overdue", target=view.identity, pieces=len(allowed))
            self._waiting += allowed
            self.dispatch()

    def _is_open(self, job) -> bool:
        call = self._calls.get(job.call_id)
        return call is not None and not call.handles[job.piece]

    def _settle(self, view, worker, batch, results, profile, began):
        now = clock.monotonic()
        unused = []
        for job, result in zip(batch, results, strict=True):
            if result.handle:
                worker.book.hold(result.handle, job.result_bytes, now, profile.result_lifetime)
            if not self._is_open(job):
                unused += [result.handle] if result.handle else []
            elif result.handle:
                call = self._calls[job.call_id]
                call.waited, call.called = began - call.asked_at, now - began
                call.close(job.piece, result.handle, "")
            elif self._ends_too_many(job):
                self._calls[job.call_id].close(job.piece, "", ENDED)
            elif not self._try_again(job, result.reason, now):
                self._calls[job.call_id].close(job.piece, "", result.reason)
        if any(result.reason == "room" for result in results):
            worker.book.on_refused()
            worker.is_room_known = False
            view.avoid_until = max(view.avoid_until, now + _PAUSE_SECONDS)
        else:
            worker.book.on_accepted()
        if unused:
            self._context.batcher.free(self._pool, unused)

    def _ends_too_many(self, job) -> bool:
        call = self._calls[job.call_id]
        return len(call.ended) >= call.most_ends

    def _try_again(self, job, reason, now) -> bool:
        if reason == UNREACHABLE:
            self._waiting.append(job)
            return True
        if reason not in _BUSY_REASONS:
            # A refusal for want of room or of a slot costs the worker nothing and may come often.
            job.tries += 1
        if reason not in _PASSING_REASONS or job.tries >= _MAX_TRIES or now >= job.deadline:
            return False
        if not self._may_repeat():
            return False
        self._waiting.append(job)
        return True

    def _may_repeat(self) -> bool:
        return self._context.may_repeat_batched(self._pool, self._cell)

    def _pump_later(self, seconds=_SOON_SECONDS):
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            if self._timer.when() <= loop.time() + seconds:
                return
            self._timer.cancel()
        self._timer = loop.call_later(seconds, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self.dispatch()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
