"""Queue the pieces of one pool and dispatch them in batches to the pool's targets.

A worker is this gateway's record of one target that runs pieces. A queue belongs to a cell, a group
of data centres whose pieces one gateway batches.
"""

import asyncio
import math

import msgspec

from traystall.core import clock
from traystall.core.logs import decision
from traystall.passthrough.admission.budget import STAGE_CALL_SHARE
from traystall.passthrough.admission.forecast import PoolLoad
from traystall.passthrough.dialect import PieceResult
from traystall.passthrough.exceptions import ConnectionBroken, ExchangeError, TargetHeldBack
from traystall.passthrough.health.target_prober import Sign
from traystall.passthrough.stages.batching import FreeTarget, PieceJob, isolate, select_batch
from traystall.passthrough.stages.cells import WHOLE_SYSTEM
from traystall.passthrough.stages.homes import StageLocality
from traystall.passthrough.stages.pace import next_call_time
from traystall.passthrough.stages.piece_calls import FULL, UNREACHABLE, call_worker
from traystall.passthrough.stages.result_memory_watch import ResultMemoryWatch
from traystall.passthrough.stages.stage_call import MAX_TARGET_ENDS, StageCall, to_job
from traystall.passthrough.stages.worker_rates import rate_of_workers
from traystall.passthrough.stages.workers import (
    SLOW_RATIO,
    RunningCall,
    Worker,
    is_silence_common,
    overdue_after,
)
from traystall.routes.models import BatchProfile
from traystall.rpc.gen.wire.ttypes import StageReply, StageRequest

# Reasons for which a target returns no result although a retry can succeed.
_BUSY_REASONS = ("room", FULL)
_RETRYABLE_REASONS = (*_BUSY_REASONS, "error")
_MAX_TRIES = 4
_REFUSAL_PAUSE_SECONDS = 0.05
_REDISPATCH_SECONDS = 0.02
# The reason of pieces whose request has ended too many targets.
TARGET_ENDED = "ended"
# The reason of pieces whose targets are all unavailable until after the deadline.
RESTING = "resting"
# A queue younger than this may have taken over from another gateway, whose calls still occupy the
# targets.
_TAKEOVER_SECONDS = 2.0
# Each request that waits for admission polls the rate of a pool, so the computed rate is reused for
# this long: a tenth of the shortest calls.
_RATE_CACHE_SECONDS = 0.015
# Weight of the newest call in the moving average of call durations.
_CALL_SECONDS_WEIGHT = 0.1
# Copies of the pieces of an overdue call wait up to this long after its start while most of the
# pool is silent. The decision is made again at an interval.
_COMMON_SILENCE_SECONDS = 2.0
_HEDGE_REVIEW_SECONDS = 0.1
# How long an answer that nobody can use is awaited if the pool does not tell how long its workers
# keep results.
_UNUSED_ANSWER_SECONDS = 4.0
# How long after a call is overdue its worker is probed, to tell a silent worker from a slow one.
_PROBE_DELAY_SECONDS = 0.25


class PieceQueue:
    """Dispatch the pieces of one pool to its targets in batches.

    A queue of a cell calls targets outside the cell's data centres only if the cell has none.
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
        self._is_dispatch_scheduled = False
        self._created_at = clock.monotonic()
        self._memory_watch = ResultMemoryWatch(context, self.dispatch)
        # Requests with isolated pieces in flight; each of them has at most one call at a time.
        self._isolated_requests: set[str] = set()
        # The cached rate of the pool in pieces per second, and when it was computed.
        self._rate = 0.0
        self._rated_at = float("-inf")
        # Moving average of call durations in seconds; 0 before the first call.
        self._call_seconds = 0.0
        self._last_began = float("-inf")
        self._running_calls: set[RunningCall] = set()

    async def run(self, request: StageRequest, locality: StageLocality) -> StageReply:
        """Return the results of a stage once all its pieces have run, one failed, or time is up."""
        now = clock.monotonic()
        count = len(request.pieces)
        done = asyncio.get_running_loop().create_future()
        call = StageCall(
            [""] * count,
            [""] * count,
            done,
            max_target_ends=1 if request.alone else MAX_TARGET_ENDS,
        )
        call.requested_at = now
        self._calls[request.call_id] = call
        self._context.budget(self._pool).on_request(now, STAGE_CALL_SHARE)
        self._waiting += [to_job(request, locality, piece, now) for piece in request.pieces]
        self.dispatch()
        try:
            async with asyncio.timeout(max(0.0, request.seconds_left)):
                await call.done
        except TimeoutError:
            call.reasons = ["" if handle else "late" for handle in call.handles]
        except asyncio.CancelledError:
            self.cancel(request.call_id)
            raise
        finally:
            self._remove(request.call_id)
        return StageReply(
            handles=call.handles,
            reasons=call.reasons,
            ended=call.ended,
            retry_after=call.retry_after,
            waited=call.waited,
            called=call.called,
        )

    def cancel(self, call_id: str) -> None:
        """End a stage call whose results nobody reads.

        Its results are freed, and those of pieces in flight once their calls have ended.
        """
        call = self._calls.get(call_id)
        if call is None:
            return
        self._remove(call_id)
        if made := call.cancel():
            self._context.batcher.free(self._pool, made)

    def _remove(self, call_id):
        self._calls.pop(call_id, None)
        self._waiting = [job for job in self._waiting if job.call_id != call_id]

    def freed(self, handles: list[str]) -> None:
        """Count the memory of freed results as available and dispatch waiting pieces."""
        for handle in handles:
            worker = self._workers.get(self._context.stage_dialect.worker(handle))
            if worker is not None:
                worker.book.free(handle, clock.monotonic())
        self.dispatch()

    def is_busy(self) -> bool:
        """Return whether any stage call waits for pieces of this queue."""
        return bool(self._calls)

    def load(self, now: float) -> PoolLoad:
        """Return the current load of this pool for forecasts."""
        profile = self._profile()
        usual = profile.seconds(profile.batch) if profile else 0.0
        if now - self._rated_at > _RATE_CACHE_SECONDS:
            self._rated_at = now
            self._rate = self.rate(now)
        return PoolLoad(self.waiting, self._rate, self._call_seconds or usual)

    def waiting(self, priority: int, due: float = math.inf) -> int:
        """Return how many waiting pieces go before new work of a priority.

        Pieces of the same priority count only if they are due by `due`.
        """
        return sum(
            1
            for job in self._waiting
            if job.priority < priority or (job.priority == priority and job.due <= due)
        )

    def rate(self, now: float) -> float:
        """Return how many pieces per second the pool runs with full calls; 0 without targets."""
        profile = self._profile()
        if profile is None:
            return 0.0
        return self._rate_of(self._usable(include_closed=True), profile, now)

    def dispatch(self) -> None:
        """Schedule the next call of every free target, once per iteration of the event loop.

        One dispatch takes 1 to 4 ms with 500 to 2,000 pieces waiting, and a burst brings hundreds
        of requests, results and released results per second.
        """
        if not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch_now)

    def _dispatch_now(self):
        self._is_dispatch_scheduled = False
        profile = self._profile()
        if profile is None or not self._waiting:
            return
        now = clock.monotonic()
        # The first result of a piece makes its waiting copies useless.
        self._waiting = [job for job in self._waiting if not job.tries or self._is_open(job)]
        self._fail_beyond_backoff(now)
        free = self._available_workers(profile, now)
        if not free:
            self._dispatch_later()
            return
        waits, rates = (
            self._waits_by_data_centre(profile, now),
            self._rates_by_data_centre(profile, now),
        )
        workers = len(self._usable())
        for view, worker in free:
            wait = self._pacing_delay(profile, workers, now)
            if wait > 0.0:
                self._dispatch_later(wait)
                return
            free_bytes = profile.room_bytes * worker.book.share - worker.book.used_bytes(now)
            data_centre = view.report.data_centre
            target = FreeTarget(
                data_centre, workers, waits, rates, self._missing_pools(data_centre)
            )
            started = frozenset(name for name, call in self._calls.items() if call.started)
            waiting = [
                job for job in self._waiting if job.request_id not in self._isolated_requests
            ]
            batch = isolate(select_batch(waiting, profile, free_bytes, now, target, started))
            if batch:
                self._start_call(view, worker, batch, profile, now)
        if self._waiting:
            self._dispatch_later()

    def _pacing_delay(self, profile, workers, now) -> float:
        """Return how long the next call is delayed so that calls are evenly spaced, in seconds."""
        if self._pool not in self._context.shared_pools():
            return 0.0
        # Calls of slow targets take longer, but must not keep the other targets idle.
        usual = min(self._call_seconds or profile.seconds(1), profile.seconds(profile.batch))
        waiting = len(self._waiting)
        return next_call_time(self._last_began, usual, workers, waiting, profile.batch) - now

    def _fail_beyond_backoff(self, now):
        """Fail stage calls early if all their targets are unavailable until after the deadline.

        They are in a backoff period, or no gateway grants permits or places for them.
        """
        if not any(
            view.availability.is_backing_off(now) or view.is_unlent(now)
            for view in self._context.board.pool(self._pool)
        ):
            return
        places = {job.places for job in self._waiting}
        backoffs = {named: self._context.backoff_left(self._pool, named) for named in places}
        for job in self._waiting:
            call = self._calls.get(job.call_id)
            backoff = backoffs[job.places]
            if call is not None and backoff and now + backoff > job.deadline:
                call.retry_after = self._context.spread_retry_after(backoff)
                call.close(job.piece, "", RESTING)

    def _usable(self, include_closed=False):
        """Return the targets that may be called: those of the cell, or of all cells if it has none.

        A target whose rate limit is used up for the moment still counts as a target of its cell:
        the cell waits for it instead of calling targets of other cells.
        """
        context, pool = self._context, self._pool
        members = context.cells().data_centres(self._cell)
        places = members if context.usable(pool, members, include_closed=True) else ()
        return context.usable(pool, places, include_closed)

    def _rate_of(self, views, profile, now):
        """Return how many pieces per second targets run, within their rate limits."""
        return rate_of_workers(
            [(self._worker(view), view.limit.per_second) for view in views], profile, now
        )

    def _profile(self) -> BatchProfile | None:
        pool = self._context.index.pools.get(self._pool)
        return pool.batches if pool else None

    def _worker(self, view) -> Worker:
        return self._workers.setdefault(view.report.address, Worker())

    def _waits_by_data_centre(self, profile, now) -> dict[str, float]:
        """Return for each data centre the seconds until its next target is free."""
        waits: dict[str, float] = {}
        for view in self._usable():
            wait = self._worker(view).wait(profile.slots, now)
            data_centre = view.report.data_centre
            waits[data_centre] = min(wait, waits.get(data_centre, wait))
        return waits

    def _rates_by_data_centre(self, profile, now) -> dict[str, float]:
        """Return for each data centre how many pieces per second its targets run."""
        found: dict[str, list] = {}
        for view in self._usable(include_closed=True):
            found.setdefault(view.report.data_centre, []).append(view)
        return {
            data_centre: self._rate_of(views, profile, now) for data_centre, views in found.items()
        }

    def _missing_pools(self, data_centre) -> frozenset[str]:
        """Return the pools that read results of waiting pieces but have no local target."""
        pools = {name for job in self._waiting for name in job.reader_pools}
        return frozenset(
            name
            for name in pools
            if all(v.report.data_centre != data_centre for v in self._context.usable(name))
        )

    def _available_workers(self, profile, now):
        """Return the targets to call now, the fastest first."""
        known = [(view, self._worker(view)) for view in self._usable()]
        for view, worker in known:
            self._memory_watch.review(view, worker, profile, now)
        healthy = sum(1 for _, worker in known if worker.ratio < SLOW_RATIO)
        batches_for_all = self._context.batching_owner(self._cell) is None
        free = [
            (view, worker)
            for view, worker in known
            if worker.calls < profile.slots
            and now >= max(view.avoid_until, worker.memory_wait_until)
            and self._context.cold.may_send(view, as_coordinator=batches_for_all)
            and worker.is_worth_calling(profile, len(self._waiting), healthy, now)
        ]
        return sorted(free, key=lambda pair: (pair[1].ratio, pair[0].identity))

    def _start_call(self, view, worker, batch, profile, now):
        batched_ids = set(map(id, batch))
        self._waiting = [job for job in self._waiting if id(job) not in batched_ids]
        self._pin_to_data_centre(batch, view.report.data_centre)
        if batch[0].alone:
            self._isolated_requests.add(batch[0].request_id)
        for job in batch:
            if job.call_id in self._calls:
                self._calls[job.call_id].started = True
        size = sum(job.result_bytes for job in batch)
        self._last_began = now
        # Counted here and not in the task, because the target would look free until the task runs.
        worker.began(now, size, profile.seconds(len(batch)))
        self._context.cold.record_sent(view)
        self._spawn(self._run_call(view, worker, batch, profile, size))

    def _pin_to_data_centre(self, batch, data_centre):
        """Prefer the data centre of a started stage for its waiting pieces."""
        started_calls = {job.call_id for job in batch if job.split_bytes}
        for job in self._waiting:
            if job.call_id in started_calls:
                job.data_centre = data_centre
                job.away_bytes = max(job.away_bytes, job.split_bytes)

    async def _run_call(self, view, worker, batch, profile, size):
        began = clock.monotonic()
        expected = profile.seconds(len(batch))
        is_settled = clock.monotonic() - self._created_at > _TAKEOVER_SECONDS
        running = RunningCall(worker, batch, began, expected, wanted_at=began)
        self._running_calls.add(running)
        hedging = asyncio.create_task(
            self._hedge(view, running, overdue_after(expected, is_settled))
        )
        try:
            results = await call_worker(
                self._context,
                view,
                batch,
                expected,
                lambda: self._awaits_answer(running, profile),
            )
            self._context.places.on_response(view.report.data_centre)
            if all(result.reason == FULL for result in results):
                self._keep_slots_of_lost_calls(worker)
            else:
                worker.lost_answers = 0
                self._record_duration(view, running)
        except TargetHeldBack:
            # Nothing was sent, so the pieces go back to the queue without counting a retry.
            results = [PieceResult(reason=UNREACHABLE)] * len(batch)
        except ExchangeError as error:
            self._context.board.on_exchange_error(view, error, clock.monotonic())
            reason = "error" if error.sent else UNREACHABLE
            results = [PieceResult(reason=reason)] * len(batch)
            decision("pieces-failed", target=view.identity, why=error.reason)
            # The pieces are retried below, if at all. A hedge sent before the check below could
            # end another target.
            hedging.cancel()
            await self._check_target_end(view, batch, error)
        except TimeoutError:
            if not running.was_silent:
                view.on_failure(clock.monotonic(), self._context.random)
            results = [PieceResult(reason="error")] * len(batch)
            decision("pieces-failed", target=view.identity, why="no answer in time")
        finally:
            hedging.cancel()
            self._running_calls.discard(running)
            running.release_slot()
            worker.book.unreserve(size)
            self._isolated_requests.discard(batch[0].request_id)
        self._record_results(view, running, results, profile)
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

    async def _check_target_end(self, view, batch, error):
        """Check whether a target ended while it ran a batch; if so, isolate the batch's requests.

        The gateway that sent the stage request reports the end to all gateways, since only that
        gateway knows the whole request.
        """
        connection_broke = isinstance(error, ConnectionBroken) and error.sent and not error.silent
        if not connection_broke or not view.is_ready:
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

    def _record_duration(self, view, running):
        """Learn from the duration of an answered call, unless its worker was silent meanwhile."""
        now = clock.monotonic()
        if running.was_silent:
            view.on_response(now)
            return
        seconds = now - running.began
        running.worker.update_ratio(seconds, running.expected)
        view.on_success(seconds, now)
        self._call_seconds += _CALL_SECONDS_WEIGHT * (seconds - (self._call_seconds or seconds))
        self._call_seconds = self._call_seconds or seconds

    async def _hedge(self, view, running, overdue_seconds):
        """Queue copies of the pieces of an overdue call; the first result of each piece counts.

        While most of the pool is silent, other workers would not be faster, so the copies wait.
        Copies that the retry budget does not allow yet are tried again.
        """
        await asyncio.sleep(overdue_seconds)
        while True:
            now = clock.monotonic()
            is_common = is_silence_common(self._running_calls, now)
            running.was_silent |= is_common or view.is_silent
            if not is_common or now - running.began >= _COMMON_SILENCE_SECONDS:
                self._queue_copies(view, running)
            if now - running.began >= overdue_seconds + _PROBE_DELAY_SECONDS:
                await self._probe(view, running)
            if running.holds_slot and running.is_answer_lost(clock.monotonic()):
                decision("answer-lost", target=view.identity, pieces=len(running.batch))
                running.worker.lost_answers += 1
                running.release_slot()
                self.dispatch()
            await asyncio.sleep(_HEDGE_REVIEW_SECONDS)

    def _keep_slots_of_lost_calls(self, worker):
        """Count calls as running that were taken for lost, since their worker refused another."""
        for call in self._running_calls:
            if call.worker is worker:
                call.take_slot_again()

    async def _probe(self, view, running):
        """Note since when the worker of an overdue call has responded to probes."""
        sign = await self._context.prober.probe(view)
        if sign is not Sign.ANSWERED:
            running.heard_since = None
        elif running.heard_since is None:
            running.heard_since = clock.monotonic()

    def _queue_copies(self, view, running):
        if not running.is_overdue and not running.was_silent:
            running.worker.update_ratio(overdue_after(running.expected, True), running.expected)
        running.is_overdue = True
        copies = []
        for job in running.batch:
            if id(job) in running.repeated or not self._is_open(job) or job.tries >= _MAX_TRIES:
                continue
            if not self._may_repeat():
                if not running.lacks_budget:
                    running.lacks_budget = True
                    decision("copies-wait", request=job.request_id, target=view.identity)
                break
            running.repeated.add(id(job))
            copies.append(msgspec.structs.replace(job, tries=job.tries + 1))
        if copies:
            decision("pieces-overdue", target=view.identity, pieces=len(copies))
            self._waiting += copies
            self.dispatch()

    def _awaits_answer(self, running, profile) -> bool:
        """Return whether the answer to a call that takes long is still awaited.

        Results that no request can use any more have to be freed, for which their handles are
        needed. Copies of isolated pieces are not called before this call has ended.
        """
        now, batch = clock.monotonic(), running.batch
        if batch[0].alone and running.repeated:
            return False
        if any(self._is_open(job) and now < job.deadline for job in batch):
            running.wanted_at = now
        return now - running.wanted_at < (profile.result_lifetime or _UNUSED_ANSWER_SECONDS)

    def _is_open(self, job) -> bool:
        call = self._calls.get(job.call_id)
        return call is not None and not call.handles[job.piece]

    def _record_results(self, view, running, results, profile):
        worker, batch, began = running.worker, running.batch, running.began
        now = clock.monotonic()
        unused = []
        for job, result in zip(batch, results, strict=True):
            if result.handle:
                worker.book.hold(result.handle, job.result_bytes, now, profile.result_lifetime)
            if not self._is_open(job):
                unused += [result.handle] if result.handle else []
            elif result.handle:
                call = self._calls[job.call_id]
                call.waited, call.called = began - call.requested_at, now - began
                call.close(job.piece, result.handle, "")
            elif self._has_ended_too_many_targets(job):
                self._calls[job.call_id].close(job.piece, "", TARGET_ENDED)
            elif id(job) in running.repeated:
                decision("left-to-copy", request=job.request_id, why=result.reason)
            elif not self._retry(job, result.reason, now):
                self._calls[job.call_id].close(job.piece, "", result.reason)
        if any(result.reason == "room" for result in results):
            worker.book.on_refused()
            worker.is_memory_known = False
            view.avoid_until = max(view.avoid_until, now + _REFUSAL_PAUSE_SECONDS)
        else:
            worker.book.on_accepted()
        if unused:
            self._context.batcher.free(self._pool, unused)

    def _has_ended_too_many_targets(self, job) -> bool:
        call = self._calls[job.call_id]
        return len(call.ended) >= call.max_target_ends

    def _retry(self, job, reason, now) -> bool:
        if reason == UNREACHABLE:
            self._waiting.append(job)
            return True
        if reason not in _BUSY_REASONS:
            # A refusal for lack of memory or of a slot costs the target nothing and may recur, so
            # it does not count as a try.
            job.tries += 1
        if refused := self._refusal_of_retry(job, reason, now):
            decision("piece-not-repeated", request=job.request_id, why=refused, result=reason)
            return False
        self._waiting.append(job)
        return True

    def _refusal_of_retry(self, job, reason, now) -> str:
        """Return why a piece is not run again, or an empty string."""
        if reason not in _RETRYABLE_REASONS:
            return "reason"
        if job.tries >= _MAX_TRIES:
            return "tries"
        if now >= job.deadline:
            return "deadline"
        return "" if self._may_repeat() else "budget"

    def _may_repeat(self) -> bool:
        return self._context.consume_batched_repeat(self._pool, self._cell)

    def _dispatch_later(self, seconds=_REDISPATCH_SECONDS):
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
