"""Pieces that wait for the targets of one pool, and the calls that make them."""

import asyncio

import msgspec

from traystall.core import clock
from traystall.core.logs import decision
from traystall.passthrough.attempt import Attempt
from traystall.passthrough.batching import PieceJob, take_batch
from traystall.passthrough.dialect import PieceOrder, PieceResult
from traystall.passthrough.exceptions import ConnectFailed, ExchangeError, NoAnswer
from traystall.passthrough.room import RoomBook
from traystall.routes.models import BatchProfile
from traystall.rpc.gen.wire.ttypes import StageReply, StageRequest

# Reasons of a target for a piece that is worth asking for again.
_PASSING_REASONS = ("room", "error", "full")
_MAX_TRIES = 4
# A call is given up after this many times what it should take, and this many seconds more.
_PATIENCE = 3.0
_PATIENCE_SECONDS = 0.3
_PAUSE_SECONDS = 0.05
_SOON_SECONDS = 0.02


class _Call(msgspec.Struct, eq=False):
    """Hold what one gateway asked for: all pieces of one stage of one request."""

    handles: list[str]
    reasons: list[str]
    open_pieces: int
    done: asyncio.Future


class PieceQueue:
    """Hand the pieces of one pool to its targets, as many at a time as each takes."""

    def __init__(self, context, pool: str):
        self._context = context
        self._pool = pool
        self._waiting: list[PieceJob] = []
        self._calls: dict[str, _Call] = {}
        self._busy: dict[str, int] = {}
        self._room: dict[str, RoomBook] = {}
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, request: StageRequest) -> StageReply:
        """Return once all pieces of a call are made, or it is clear that they won't be."""
        now = clock.monotonic()
        count = len(request.pieces)
        loop = asyncio.get_running_loop()
        call = _Call([""] * count, [""] * count, count, loop.create_future())
        self._calls[request.call_id] = call
        self._context.budget(self._pool).on_request(now)
        for piece in request.pieces:
            self._waiting.append(_to_job(request, piece, now))
        self.pump()
        try:
            async with asyncio.timeout(max(0.0, request.seconds_left)):
                await call.done
        except TimeoutError:
            call.reasons = [reason or "late" for reason in call.reasons]
        finally:
            self.cancel(request.call_id)
        return StageReply(handles=call.handles, reasons=call.reasons)

    def cancel(self, call_id: str) -> None:
        """Drop the pieces of a call that wait; what is being made goes on and is given up."""
        self._calls.pop(call_id, None)
        self._waiting = [job for job in self._waiting if job.call_id != call_id]

    def pump(self) -> None:
        """Give every free target its next call."""
        profile = self._profile()
        if profile is None or not self._waiting:
            return
        now = clock.monotonic()
        for view in self._free_targets(profile, now):
            book = self._book(view)
            room = profile.room_bytes * book.share - book.taken(now)
            batch = take_batch(self._waiting, profile, room, now, view.report.data_centre)
            if not batch:
                continue
            taken = set(map(id, batch))
            self._waiting = [job for job in self._waiting if id(job) not in taken]
            # Counted here, not in the task: until that runs the target would look free.
            self._busy[view.identity] = self._busy.get(view.identity, 0) + 1
            self._spawn(self._call(view, batch, profile))
        if self._waiting:
            self._pump_later(_SOON_SECONDS)

    def _profile(self) -> BatchProfile | None:
        pool = self._context.index.pools.get(self._pool)
        return pool.batches if pool else None

    def _free_targets(self, profile, now):
        free = [
            view
            for view in self._context.usable(self._pool)
            if self._busy.get(view.identity, 0) < profile.slots and now >= view.avoid_until
        ]
        return sorted(free, key=lambda view: (view.mean_seconds, view.identity))

    def _book(self, view) -> RoomBook:
        return self._room.setdefault(view.report.address, RoomBook())

    def freed(self, handles: list[str]) -> None:
        """Take in that results were given up, and use the room."""
        for handle in handles:
            book = self._room.get(self._context.stage_dialect.maker(handle))
            if book is not None:
                book.free(handle)
        self.pump()

    async def _call(self, view, batch, profile):
        identity = view.identity
        book = self._book(view)
        size = sum(job.result_bytes for job in batch)
        book.reserve(size)
        view.running += 1
        began = clock.monotonic()
        try:
            results = await self._exchange(view, batch, profile)
            seconds = clock.monotonic() - began
            view.on_success(seconds / max(0.001, profile.seconds(len(batch))))
        except ConnectFailed as error:
            view.on_unreachable(clock.monotonic(), self._context.random)
            results = [PieceResult(reason="unreachable")] * len(batch)
            decision("pieces-failed", target=identity, why=error.reason)
        except (ExchangeError, TimeoutError) as error:
            view.on_failure(clock.monotonic(), self._context.random)
            results = [PieceResult(reason="error")] * len(batch)
            decision("pieces-failed", target=identity, why=str(error) or "no answer in time")
        finally:
            self._busy[identity] -= 1
            view.running -= 1
            book.unreserve(size)
        self._settle(view, batch, results, profile)
        decision(
            "pieces",
            pool=self._pool,
            target=identity,
            pieces=len(batch),
            waiting=len(self._waiting),
            seconds=round(clock.monotonic() - began, 4),
            made=sum(1 for result in results if result.handle),
        )
        self.pump()

    async def _exchange(self, view, batch, profile) -> list[PieceResult]:
        context = self._context
        now = clock.monotonic()
        call = context.stage_dialect.run([_to_order(job, now) for job in batch])
        data = (
            f"{call.method} {call.path} HTTP/1.1\r\nHost: {view.report.address}\r\n"
            f"{context.names.expected_incarnation}: {view.identity}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(call.body)}\r\n\r\n"
        ).encode() + call.body
        patience = profile.seconds(len(batch)) * _PATIENCE + _PATIENCE_SECONDS
        async with asyncio.timeout(patience), Attempt(view, context.names, None) as attempt:
            await attempt.open(float("inf"))
            attempt.send(data)
            answer = await attempt.read_whole()
        if attempt.has_not_run():
            if answer.head.status == 421:
                view.is_misplaced = True
            view.avoid_until = now + _PAUSE_SECONDS
            return [PieceResult(reason="full")] * len(batch)
        if answer.head.status != 200:
            raise NoAnswer(f"The target answered {answer.head.status}.", sent=True)
        try:
            return context.stage_dialect.results(answer.body, len(batch))
        except ValueError as error:
            raise NoAnswer(f"The results can't be read: {error}.", sent=True) from error

    def _settle(self, view, batch, results, profile):
        now = clock.monotonic()
        orphans = []
        refused = False
        for job, result in zip(batch, results, strict=True):
            if result.handle:
                until = now + profile.result_lifetime
                self._book(view).hold(result.handle, job.result_bytes, until)
            call = self._calls.get(job.call_id)
            if call is None:
                orphans += [result.handle] if result.handle else []
            elif result.handle:
                self._close_piece(call, job, result.handle, "")
            elif not self._try_again(job, result.reason, now):
                self._close_piece(call, job, "", result.reason)
            if result.reason == "room":
                refused = True
                view.avoid_until = max(view.avoid_until, now + _PAUSE_SECONDS)
        book = self._book(view)
        if refused:
            book.on_refused()
        else:
            book.on_taken()
        if orphans:
            self._context.gatherer.free(self._pool, orphans)

    def _try_again(self, job, reason, now) -> bool:
        if reason == "unreachable":
            self._waiting.append(job)
            return True
        if reason == "room":
            # It costs the maker nothing; the deadline and the budget bound it.
            job.tries -= 1
        job.tries += 1
        if reason not in _PASSING_REASONS or job.tries >= _MAX_TRIES or now >= job.deadline:
            return False
        if not self._context.may_repeat_gathered(self._pool):
            return False
        self._waiting.append(job)
        return True

    def _close_piece(self, call, job, handle, reason):
        call.handles[job.piece] = handle
        call.reasons[job.piece] = reason
        call.open_pieces -= 1
        lost = bool(reason)
        if (call.open_pieces == 0 or lost) and not call.done.done():
            call.done.set_result(None)

    def _pump_later(self, seconds):
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self.pump()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _to_job(request, piece, now) -> PieceJob:
    return PieceJob(
        call_id=request.call_id,
        request_id=request.request_id,
        stage=request.stage,
        piece=piece,
        key=request.key or "",
        inputs=tuple(request.inputs or ()),
        priority=request.priority or 0,
        due=now + (request.seconds_to_start or 0.0),
        deadline=now + (request.seconds_left or 0.0),
        result_bytes=request.result_bytes or 0,
        data_centre=request.data_centre or "",
    )


def _to_order(job, now) -> PieceOrder:
    return PieceOrder(
        request_id=job.request_id,
        stage=job.stage,
        piece=job.piece,
        key=job.key,
        inputs=job.inputs,
        seconds_left=max(0.0, job.deadline - now),
    )
