"""Fake targets that a test or the demo starts as a separate program.

One process serves any number of targets, each on its own port. A target records every run, and
`POST /test/mode` makes it slow, failing, unresponsive or leaving. Models, durations and texts are
invented; the protocol is the real one.
"""

import asyncio
import heapq
import itertools
import json
import sys

import msgspec
import uvloop
import xxhash
from aiohttp import web

from traystall.gateway.adapters.base import (
    ATTEMPT_HEADER,
    INCARNATION_HEADER,
    KEY_HEADER,
    PRIORITY_HEADER,
    RUN_HEADER,
    STATE_HEADER,
)

_MAX_RECORDS = 200_000
_MAX_EVENTS = 1000
# One of this many cache events is lost, because real engines lose some.
_LOST_EVENT_INTERVAL = 7


class FakeSpec(msgspec.Struct):
    """Describe one fake target; `seconds` is its duration for a call, or for a token."""

    name: str
    kind: str
    host: str
    port: int
    slots: int = 4
    seconds: float = 0.002
    reports_load: bool = True
    load_delay: float = 1.0
    models: list[dict] = []


class Mode(msgspec.Struct):
    """Hold the failure mode of a fake target; the defaults cause no failure."""

    factor: float = 1.0
    load_delay: float = 0.0
    fail: int = 0
    silent: bool = False
    leaving: bool = False
    not_run: bool = False
    crossed: bool = False
    truncate: bool = False
    reset_after: bool = False
    cut_after_tokens: int = 0
    repeat_tokens: bool = False


class Slots:
    """Grant slots by priority, then in order of arrival."""

    def __init__(self, count):
        self.free = count
        self.count = count
        self._order = itertools.count()
        self._waiting = []

    async def acquire(self, priority):
        if self.free:
            self.free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self):
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.free += 1

    @property
    def waiting(self):
        return sum(1 for _, _, future in self._waiting if not future.done())


class FakeTarget:
    """Serve one target."""

    def __init__(self, spec: FakeSpec):
        self.spec = spec
        self.mode = Mode()
        self.incarnation = "1"
        self.slots = Slots(spec.slots)
        self.runs: list[dict] = []
        self.orders: list[dict] = []
        self.fence = (0, 0)
        self.models = list(spec.models)
        self.busy: dict[str, float] = {}
        self.cancelled = 0
        self.events: list[dict] = []
        self.event_count = 0
        self.reported = (0, 0)

    def app(self):
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/v1/state", self.state)
        app.router.add_get("/v1/cache/events", self.cache_events)
        app.router.add_post("/v1/orders", self.order)
        app.router.add_post("/test/mode", self.set_mode)
        app.router.add_get("/test/records", self.records)
        app.router.add_post("/{path:.*}", self.work)
        return app

    async def state(self, request):
        if self.mode.silent:
            await asyncio.sleep(3600)
        document = {
            "state": "leaving" if self.mode.leaving else "live",
            "incarnation": self.incarnation,
        }
        if self.spec.reports_load:
            document["load"] = {"running": self.reported[0], "waiting": self.reported[1]}
        if self.models:
            document["ready"] = self.models
        return web.json_response(document)

    async def report_forever(self):
        """Refresh the published load with a delay, as real engines do."""
        while True:
            now = (self.slots.count - self.slots.free, self.slots.waiting)
            await asyncio.sleep(self.mode.load_delay or self.spec.load_delay)
            self.reported = now

    async def cache_events(self, request):
        """Return the prefix cache events after a sequence number; some events are missing."""
        after = int(request.query.get("after", "0"))
        return web.json_response({"events": [e for e in self.events if e["sequence"] > after]})

    def note_prefix(self, prompt):
        """Publish that a prefix is cached, unless this event is one that is lost."""
        self.event_count += 1
        if self.event_count % _LOST_EVENT_INTERVAL:
            prefix = xxhash.xxh64_hexdigest(str(prompt)[:64].encode())
            event = {"sequence": self.event_count, "kind": "stored", "prefix": prefix}
            self.events = [*self.events[-_MAX_EVENTS:], event]

    async def order(self, request):
        body = await request.json()
        token = (body["term"], body["sequence"])
        if token <= self.fence:
            return web.json_response({"error": "fenced"}, status=409)
        self.fence = token
        self.models = body["models"]
        self.orders.append(body)
        return web.json_response({"ok": True})

    async def set_mode(self, request):
        body = await request.json()
        if "incarnation" in body:
            self.incarnation = body.pop("incarnation")
        self.mode = msgspec.convert(body, Mode)
        return web.json_response({})

    async def records(self, request):
        return web.json_response(
            {
                "runs": self.runs,
                "orders": self.orders,
                "busy": self.busy,
                "cancelled": self.cancelled,
            }
        )

    def headers(self, request):
        attempt = request.headers.get(ATTEMPT_HEADER, "")
        if self.mode.crossed:
            attempt = "another.attempt.1"
        headers = {ATTEMPT_HEADER: attempt, INCARNATION_HEADER: self.incarnation}
        if self.mode.leaving:
            headers[STATE_HEADER] = "leaving"
        return headers

    async def work(self, request):
        body = await request.read()
        if self.mode.silent:
            await asyncio.sleep(3600)
        headers = self.headers(request)
        if self.mode.not_run or self.mode.leaving:
            headers[RUN_HEADER] = "not-run"
            return web.Response(status=503, headers=headers)
        if self.mode.fail:
            return web.Response(status=self.mode.fail, headers=headers)
        priority = int(request.headers.get(PRIORITY_HEADER, "1"))
        await self.slots.acquire(priority)
        started = asyncio.get_running_loop().time()
        try:
            self._record(request, body)
            if self.spec.kind == "engine":
                return await self._generate(request, json.loads(body), headers)
            return await self._answer(request, json.loads(body), headers)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled += 1
            raise
        finally:
            owner = request.headers.get(ATTEMPT_HEADER, "").split(".")[0]
            seconds = asyncio.get_running_loop().time() - started
            self.busy[owner] = self.busy.get(owner, 0.0) + seconds
            self.slots.release()

    def _record(self, request, body):
        if len(self.runs) < _MAX_RECORDS:
            self.runs.append(
                {
                    "attempt": request.headers.get(ATTEMPT_HEADER, ""),
                    "key": request.headers.get(KEY_HEADER, ""),
                    "path": request.path,
                    "body": body.decode()[:200],
                }
            )

    async def _answer(self, request, body, headers):
        await asyncio.sleep(self.spec.seconds * self.mode.factor)
        if self.mode.reset_after:
            request.transport.abort()
            return web.Response()
        document = {"id": headers[ATTEMPT_HEADER], **self._result(request, body)}
        text = json.dumps(document)
        if self.mode.truncate:
            response = web.StreamResponse(headers=headers)
            response.content_length = len(text)
            await response.prepare(request)
            await response.write(text[: len(text) // 2].encode())
            request.transport.abort()
            return response
        return web.Response(text=text, content_type="application/json", headers=headers)

    def _result(self, request, body):
        if self.spec.kind == "encoder":
            return {"embedding": [len(str(body["input"])), 1.0]}
        if self.spec.kind == "retriever":
            return {"documents": [f"document {n} on {body['query']}" for n in range(3)]}
        if self.spec.kind == "reranker":
            return {"documents": list(reversed(body["documents"]))}
        return {
            "service": self.spec.name,
            "path": request.path,
            "echo": body["request"].get("input"),
            "run": len(self.runs),
        }

    async def _generate(self, request, body, headers):
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        self.note_prefix(body["prompt"])
        done = len(body["resume_tokens"])
        if self.mode.repeat_tokens:
            done = max(0, done - 2)
        for written, index in enumerate(range(done, body["max_tokens"])):
            await asyncio.sleep(self.spec.seconds * self.mode.factor)
            if self.mode.cut_after_tokens and written >= self.mode.cut_after_tokens:
                request.transport.abort()
                return response
            await self._event(response, headers, index, token_text(body["prompt"], index))
        await self._event(response, headers, None, "", count=body["max_tokens"])
        await response.write(b"data: [DONE]\n\n")
        return response

    async def _event(self, response, headers, index, text, count=None):
        choice = {"index": 0, "text": text, "finish_reason": None if count is None else "length"}
        chunk = {"id": headers[ATTEMPT_HEADER], "choices": [choice], "token_index": index}
        if count is not None:
            chunk["token_count"] = count
        await response.write(f"data: {json.dumps(chunk)}\n\n".encode())


def token_text(prompt, index):
    """Return the token that every fake engine generates at `index` for `prompt`."""
    return f"{str(prompt)[:12]}:{index} "


async def serve(specs: list[FakeSpec]) -> None:
    """Serve the targets until cancelled."""
    for spec in specs:
        target = FakeTarget(spec)
        runner = web.AppRunner(target.app(), access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, spec.host, spec.port, backlog=1024).start()
        asyncio.get_running_loop().create_task(target.report_forever())
    await asyncio.Event().wait()


def main():
    """Serve the targets described by the JSON list in the first argument."""
    specs = msgspec.json.decode(sys.argv[1], type=list[FakeSpec])
    uvloop.run(serve(specs))


if __name__ == "__main__":
    main()
