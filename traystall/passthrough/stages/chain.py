"""Run the stages of one request; a stage starts when the stages that it reads are complete."""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import GatewayError
from traystall.core.ids import new_id
from traystall.passthrough.entry.request import CompletedStage
from traystall.quarantine.ends import NOT_LISTENING
from traystall.rpc.gen.wire.ttypes import StageRequest

# The reason of a piece whose inputs are lost.
INPUTS_LOST = "gone"
# The ratio of the measured difference between two chains by which the shorter one is delayed.
_DELAY_RATIO = 0.7


class StageFailed(GatewayError):
    """Report a stage whose pieces did not all run in time; the request itself has not run.

    `retry_after` is set in seconds if the request was refused or its targets are in backoff.
    """

    def __init__(self, detail, retry_after=None):
        self.retry_after = retry_after
        super().__init__(detail)


class InputsLost(StageFailed):
    """Report results that were lost with their worker, so that the stages have to run again."""


def away_bytes(stages, counts, index: int) -> int:
    """Return the bytes that cross data centres if a piece of stage `index` runs away from the rest.

    Each piece reads every result of the stages before it.
    """
    read = sum(counts[earlier] * stages[earlier].result_bytes for earlier in stages[index].after)
    readers = sum(counts[i] for i, stage in enumerate(stages) if index in stage.after)
    return read + stages[index].result_bytes * max(1, readers)


class StageChain:
    """Run the stages of one request and free their results when no stage reads them any more."""

    def __init__(self, context, passed):
        self._context = context
        self._passed = passed
        self._handles: dict[int, list[str]] = {}
        self._freed: set[str] = set()

    async def run(self) -> tuple[str, ...]:
        """Return the handles that the request itself reads; raise StageFailed.

        A second run starts anew, and frees what is left of the first.
        """
        self.free()
        self._handles.clear()
        counts = self._passed.piece_counts
        requested_stages = [index for index, count in enumerate(counts) if count]
        tasks: dict[int, asyncio.Task] = {}
        for index in requested_stages:
            earlier_tasks = [tasks[i] for i in self._passed.route.stages[index].after if i in tasks]
            tasks[index] = asyncio.create_task(self._run_stage(index, counts[index], earlier_tasks))
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

    @property
    def holds_results(self) -> bool:
        """Return whether results have been made that were not freed since."""
        made = {handle for handles in self._handles.values() for handle in handles}
        return not made <= self._freed

    def free(self) -> None:
        """Free all results that are still held."""
        for index, handles in self._handles.items():
            self._free(index, handles)

    async def _run_stage(self, index, count, earlier_tasks):
        if earlier_tasks:
            await asyncio.gather(*earlier_tasks)
        else:
            await asyncio.sleep(self._delay(index))
        passed = self._passed
        plan = passed.route.stages[index]
        inputs = [handle for i in plan.after for handle in self._handles.get(i, ())]
        if plan.after and not inputs:
            raise StageFailed(f"Stage {index} has nothing to read.")
        response_seconds = self._context.response_seconds(passed.route.name)
        request = StageRequest(
            pool=plan.pool,
            request_id=passed.request_id,
            stage=index,
            pieces=list(range(count)),
            key="" if plan.after else passed.piece_key,
            inputs=inputs,
            seconds_left=passed.stage_seconds_left(response_seconds),
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
        started_at = clock.monotonic()
        reply = await self._context.batcher.run(request)
        for life in reply.ended or ():
            self._context.guard.ended(
                passed.guarded, plan.pool, life, NOT_LISTENING, with_parts=False
            )
        if all(reply.handles):
            self._record_stage(index, clock.monotonic() - started_at, reply)
            self._context.record_stage_seconds(plan.pool, clock.monotonic() - started_at)
        self._handles[index] = [handle for handle in reply.handles if handle]
        if len(self._handles[index]) < count:
            reasons = sorted({reason for reason in reply.reasons if reason})
            detail = f"Stage {index} was not made: {', '.join(reasons)}."
            if INPUTS_LOST in reasons:
                raise InputsLost(detail)
            raise StageFailed(detail, reply.retry_after)
        self._free_consumed(index)

    def _record_stage(self, index, seconds, reply):
        """Record the duration of a stage for the log; a refused request has no results."""
        if reply.handles:
            made = CompletedStage(index, seconds, reply.waited or 0.0, reply.called or 0.0)
            self._passed.completed_stages.append(made)

    def _delay(self, index) -> float:
        """Return the delay of a first stage, so that its results are not ready long before others.

        Results that wait for a longer parallel chain hold memory without use.
        """
        measured = self._context.stage_seconds
        longest = max(
            (
                self._seconds_from(i, measured)
                for i, count in enumerate(self._passed.piece_counts)
                if count
            ),
            default=0.0,
        )
        return max(0.0, longest - self._seconds_from(index, measured)) * _DELAY_RATIO

    def _seconds_to_start(self, index) -> float:
        """Return the seconds within which a stage should start to meet the latency goal."""
        passed = self._passed
        left = passed.started + passed.route.aim - clock.monotonic()
        usual = self._context.usual_stage_seconds
        engine = self._context.engine_seconds(passed.prompt.seconds())
        return left - self._seconds_from(index, usual) - engine

    def _seconds_from(self, index, seconds_of) -> float:
        """Return the duration of a stage and its longest successor chain by `seconds_of(pool)`."""
        route = self._passed.route
        count = self._passed.piece_counts[index]
        own = seconds_of(route.stages[index].pool) if count else 0.0
        later = [i for i, stage in enumerate(route.stages) if index in stage.after]
        return own + max((self._seconds_from(i, seconds_of) for i in later), default=0.0)

    def _free_consumed(self, index):
        """Free the results of earlier stages whose readers have all completed."""
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
        unfreed = [handle for handle in handles if handle not in self._freed]
        self._freed.update(unfreed)
        if unfreed:
            self._context.batcher.free(self._passed.route.stages[index].pool, unfreed)
