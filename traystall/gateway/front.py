"""Handle callers' requests, and send exactly one final response to each within its deadline."""

import asyncio
import logging
from collections import OrderedDict

from aiohttp import web

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.gateway import answers, parsing, problems
from traystall.gateway.allowances import Allowances
from traystall.gateway.context import GatewayContext
from traystall.gateway.problems import Refusal
from traystall.gateway.relay import Relay
from traystall.gateway.runner import RequestRunner
from traystall.systems import admission
from traystall.systems.residency import is_allowed
from traystall.tables.requests import RequestRow, RunState

MAX_RECENT_REQUESTS = 2000

logger = logging.getLogger(__name__)


class Frontend:
    """Handle `POST /v1/pipelines/{pipeline}/requests` and `GET /v1/requests/{request}`."""

    def __init__(self, context: GatewayContext, relay: Relay):
        self._context = context
        self._relay = relay
        self._runner = RequestRunner(context)
        self._allowances = Allowances(context)
        self._detached: set[asyncio.Task] = set()
        self._recent: OrderedDict[str, RequestRow] = OrderedDict()
        self.in_flight = 0
        self.draining = False

    def add_routes(self, app: web.Application) -> None:
        """Add the callers' routes to `app`."""
        app.router.add_post("/v1/pipelines/{pipeline}/requests", self.handle)
        app.router.add_get("/v1/requests/{request}", self.explain)

    async def drain(self, seconds: float) -> None:
        """Return once nothing is in flight, or after `seconds`."""
        deadline = clock.monotonic() + seconds
        while (self.in_flight or self._detached) and clock.monotonic() < deadline:
            await asyncio.sleep(0.02)
        await self._context.ledger.drain()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle one request, here or through a gateway in the customer's data centres."""
        self.in_flight += 1
        try:
            response = await self._answer(request)
            if self.draining:
                response.force_close()
            return response
        except Refusal as refusal:
            return self._refuse(request, refusal)
        except Exception:
            # An unexpected error: the traceback is logged, and the request may have run.
            logger.exception("request failed")
            refusal = Refusal(problems.INTERNAL, run=RunState.MAY_HAVE_RUN)
            return self._refuse(request, refusal)
        finally:
            self.in_flight -= 1

    def _refuse(self, request, refusal):
        run = refusal.run or RunState.NOT_RUN
        self._count(request.match_info["pipeline"], refusal.problem.code)
        decision("refuse", code=refusal.problem.code, run=run.value, why=refusal.detail)
        response = answers.problem_response(refusal, run)
        # Unread bytes of the body would be parsed as the next request.
        response.force_close()
        return response

    async def explain(self, request: web.Request) -> web.Response:
        """Return where the stages of a recent request ran and why, without payload."""
        row = self._recent.get(request.match_info["request"])
        if row is None:
            return web.json_response({"error": "This gateway does not know it."}, status=404)
        return web.json_response(explanation(row, self._context))

    async def _answer(self, request):
        started = clock.monotonic()
        if not self._context.follower.held.number:
            raise Refusal(problems.NOT_READY)
        envelope = parsing.read_envelope(request, self._context.tables)
        if not is_allowed(envelope.customer, self._context.data_centre):
            return await self._relay.forward(request, envelope)
        data = await parsing.read_body(request)
        body = parsing.parse_body(data)
        self._admit(envelope, started)
        await self._allowances.admit(envelope)
        row = parsing.make_row(envelope, data, started)
        self._remember(row)
        try:
            if answers.wants_stream(request):
                return await self._run_streamed(request, row, body)
            return await self._run_whole(row, body)
        finally:
            self._context.limiter.finish(row.customer)

    def _admit(self, envelope, started):
        context = self._context
        now = clock.monotonic()
        deadline = started + envelope.deadline_seconds
        admitted = admission.admit(context.times, envelope.pipeline, deadline, now)
        if not admitted.admitted:
            raise Refusal(problems.TOO_LATE, admitted.why, admitted.retry_after)

    async def _run_whole(self, row, body):
        try:
            answer = await self._run_in_time(row, body, lambda index, text: None)
        except Refusal as refusal:
            run = self._close(row, refusal)
            return answers.problem_response(refusal, run, row.request_id)
        self._count(row.pipeline.name, "complete")
        return web.json_response(answer)

    async def _run_streamed(self, request, row, body):
        stream = answers.EventStream(request)
        await stream.open()
        try:
            answer = await self._run_in_time(row, body, stream.on_token)
            self._count(row.pipeline.name, "complete")
            await stream.finish(answer)
        except Refusal as refusal:
            run = self._close(row, refusal)
            await stream.fail(refusal, run, row.request_id)
        finally:
            stream.abandon()
        return stream.response

    async def _run_in_time(self, row, body, on_token) -> dict:
        """Return the answer by the deadline or raise Refusal; claimed work keeps running."""
        task = asyncio.create_task(self._runner.run(row, body, on_token))
        try:
            await asyncio.wait({task}, timeout=max(0.0, row.deadline - clock.monotonic()))
        except asyncio.CancelledError:
            await self._detach(row, task)
            raise
        if task.done():
            return task.result()
        await self._detach(row, task)
        if task.done() and not task.cancelled() and task.exception() is None:
            return task.result()
        run = RunState.MAY_HAVE_RUN if row.claimed else row.run_state
        raise Refusal(problems.TOO_LATE, "The deadline passed.", 1, run)

    async def _detach(self, row, task):
        """Cancel the work and wait until it has stopped, or let it finish if it must."""
        if row.claimed or self._must_finish(row):
            self._detached.add(task)
            task.add_done_callback(self._on_detached_done)
            return
        task.cancel()
        await asyncio.wait({task})

    def _must_finish(self, row):
        """Return whether unkeyed work that is not repeatable may be running at a target.

        Cancelling it would only lose its result. Work that has not been sent is always cancelled:
        the caller may get a "not-run" response, and then the work must not run.
        """
        if row.run_state is RunState.NOT_RUN or not row.stages:
            return False
        return not row.is_repeatable(row.pipeline.stages[len(row.stages) - 1])

    def _on_detached_done(self, task):
        self._detached.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.info(
                "claimed work failed after the response", extra={"why": str(task.exception())}
            )

    def _close(self, row, refusal) -> RunState:
        """Close the row of a refused request and return the run state to report."""
        row.closed = True
        run = refusal.run or row.run_state
        self._count(row.pipeline.name, refusal.problem.code)
        decision(
            "refuse",
            request=row.request_id,
            code=refusal.problem.code,
            run=run.value,
            why=refusal.detail,
        )
        return run

    def _remember(self, row):
        self._recent[row.request_id] = row
        if len(self._recent) > MAX_RECENT_REQUESTS:
            self._recent.popitem(last=False)

    def _count(self, pipeline, outcome):
        if self._context.tables.pipeline(pipeline) is None:
            pipeline = "unknown"
        metrics.requests_total.inc({"pipeline": pipeline, "outcome": outcome})


def explanation(row: RequestRow, context: GatewayContext) -> dict:
    """Return what this gateway knows about a request, without payload."""
    return {
        "request": row.request_id,
        "customer": row.customer,
        "pipeline": row.pipeline.name,
        "class": row.priority.value,
        "gateway": context.settings.instance,
        "data_centre": context.data_centre,
        "run": row.run_state.value,
        "finished": row.finished,
        "attempts_sent": row.attempts_sent,
        "attempts_not_run": row.attempts_not_run,
        "stages": answers.stage_documents(row),
    }
