"""The stages of one request: each begins when those that it reads are done."""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import GatewayError
from traystall.core.ids import new_id
from traystall.passthrough.entry.request import MadeStage
from traystall.quarantine.ends import NOT_LISTENING
from traystall.rpc.gen.wire.ttypes import StageRequest

# The reason of a piece whose inputs are lost.
GONE = "gone"
# The part of the learned difference between two chains that the shorter one waits.
_DELAY_SHARE = 0.7


class StageFailed(GatewayError):
    """Report a stage whose pieces can't all be made in time; the request itself has not run.

    `retry_after` is set where the request was refused before it began, in seconds.
    """

    def __init__(self, detail, retry_after=None):
        self.retry_after = retry_after
        super().__init__(detail)


class InputsLost(StageFailed):
    """Report results that were lost with their worker: the stages have to be run again."""


def away_bytes(stages, counts, index: int) -> int:
    """Return what crosses data centres if a piece of stage `index` is made away from the others.

    Each piece reads every result of the stages before it.
    """
    read = sum(counts[earlier] * stages[earlier].result_bytes for earlier in stages[index].after)
    readers = sum(counts[i] for i, stage in enumerate(stages) if index in stage.after)
    return read + stages[index].result_bytes * max(1, readers)


class StageChain:
    """Run the stages of one request and give their results up when they are of no more use."""

    def __init__(self, context, passed):
        self._context = context
        self._passed = passed
        self._handles: dict[int, list[str]] = {}
        self._freed: set[str] = set()

    async def run(self) -> tuple[str, ...]:
        """Return the handles that the request itself reads; raise StageFailed."""
        counts = self._passed.piece_counts
        wanted = [index for index, count in enumerate(counts) if count]
        tasks: dict[int, asyncio.Task] = {}
        for index in wanted:
            earlier = [tasks[i] for i in self._passed.route.stages[index].after if i in tasks]
            tasks[index] = asyncio.create_task(self._run_stage(index, counts[index], earlier))
        try:
            await asyncio.gather(*tasks.values())
        except BaseException:
            for task in tasks.values():
                task.cancel()
            await asyncio.gather(*tasks.values(), return_exceptions=True)
            self._context.batcher.abandon(self._passed.request_id, self._passed.stages_data_centre)
            raise
        return tuple(
            handle
            for index in self._passed.route.final_stages()
            for handle in self._handles.get(index, ())
        )

    def free(self) -> None:
        """Give up every result that is still held."""
        for index, handles in self._handles.items():
            self._free(index, handles)

    async def _run_stage(self, index, count, earlier):
        if earlier:
            await asyncio.gather(*earlier)
        else:
            await asyncio.sleep(self._delay(index))
        passed = self._passed
        plan = passed.route.stages[index]
        inputs = [handle for i in plan.after for handle in self._handles.get(i, ())]
        if plan.after and not inputs:
            raise StageFailed(f"Stage {index} has nothing to read.")
        request = StageRequest(
            pool=plan.pool,
            request_id=passed.request_id,
            stage=index,
            pieces=list(range(count)),
            key="" if plan.after else passed.piece_key,
            inputs=inputs,
            seconds_left=passed.stage_seconds_left(),
            seconds_to_start=self._seconds_to_start(index),
            priority=passed.priority,
            result_bytes=plan.result_bytes,
            call_id=new_id(),
            data_centre=passed.stages_data_centre,
            route=passed.route.name,
            counts=passed.piece_counts,
            mark=passed.mark,
            places=list(passed.places),
            refuse_at_once=passed.refuse_at_once,
            away_bytes=away_bytes(passed.route.stages, passed.piece_counts, index),
            alone=self._context.guard.suspect(passed.guarded) is not None,
            customer=passed.customer.name if passed.customer is not None else "",
        )
        began = clock.monotonic()
        reply = await self._context.batcher.run(request)
        for life in reply.ended or ():
            self._context.guard.ended(passed.guarded, plan.pool, life, NOT_LISTENING)
        if all(reply.handles):
            self._note_made(index, clock.monotonic() - began, reply)
            self._context.learn_stage(plan.pool, clock.monotonic() - began)
        self._handles[index] = [handle for handle in reply.handles if handle]
        if len(self._handles[index]) < count:
            reasons = sorted({reason for reason in reply.reasons if reason})
            detail = f"Stage {index} was not made: {', '.join(reasons)}."
            if GONE in reasons:
                raise InputsLost(detail)
            raise StageFailed(detail, reply.retry_after)
        self._free_read(index)

    def _note_made(self, index, seconds, reply):
        """Note how long a stage took, for the log; a request that was refused made none."""
        if reply.handles:
            made = MadeStage(index, seconds, reply.waited or 0.0, reply.called or 0.0)
            self._passed.made_stages.append(made)

    def _delay(self, index) -> float:
        """Return how long a stage may wait so that its results are not ready before the others.

        Results that wait for a longer chain beside them take room for nothing.
        """
        learned = self._context.stage_seconds
        longest = max(
            (
                self._seconds_from(i, learned)
                for i, count in enumerate(self._passed.piece_counts)
                if count
            ),
            default=0.0,
        )
        return max(0.0, longest - self._seconds_from(index, learned)) * _DELAY_SHARE

    def _seconds_to_start(self, index) -> float:
        """Return when this stage should begin so that the request can still be in time."""
        passed = self._passed
        left = passed.started + passed.route.aim - clock.monotonic()
        usual = self._context.usual_stage_seconds
        engine = self._context.engine_seconds(passed.prompt.seconds())
        return left - self._seconds_from(index, usual) - engine

    def _seconds_from(self, index, seconds_of) -> float:
        """Return how long this stage and the longest chain after it take by `seconds_of(pool)`."""
        route = self._passed.route
        count = self._passed.piece_counts[index]
        own = seconds_of(route.stages[index].pool) if count else 0.0
        later = [i for i, stage in enumerate(route.stages) if index in stage.after]
        return own + max((self._seconds_from(i, seconds_of) for i in later), default=0.0)

    def _free_read(self, index):
        """Give up the results that only finished stages read."""
        stages = self._passed.route.stages
        for earlier in stages[index].after:
            readers = [
                i
                for i, stage in enumerate(stages)
                if earlier in stage.after and self._passed.piece_counts[i]
            ]
            if all(reader in self._handles for reader in readers):
                self._free(earlier, self._handles.get(earlier, ()))

    def _free(self, index, handles):
        news = [handle for handle in handles if handle not in self._freed]
        self._freed.update(news)
        if news:
            self._context.batcher.free(self._passed.route.stages[index].pool, news)
