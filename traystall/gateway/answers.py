"""Write responses to callers: JSON, problem+json, or server-sent events with a final event."""

import asyncio
import contextlib
import hashlib
import json

from aiohttp import web

from traystall.gateway.problems import Refusal
from traystall.tables.requests import RequestRow, RunState

EVENT_STREAM = "text/event-stream"
PROBLEM_JSON = "application/problem+json"
# A stream with more unread bytes than this is aborted: its caller reads too slowly.
MAX_UNREAD_BYTES = 4 * 1024 * 1024


def whole_document(row: RequestRow, result: dict) -> dict:
    """Return the response document: the result, and where each stage ran and its cost."""
    return {
        "request": row.request_id,
        "status": "complete",
        "result": result,
        "stages": stage_documents(row),
    }


def stage_documents(row: RequestRow) -> list[dict]:
    """Return where each stage of a request ran and its cost, without payload."""
    return [
        {
            "stage": record.stage,
            "target": record.target,
            "data_centre": record.data_centre,
            "attempts": record.attempts,
            "seconds": round(record.seconds, 6),
            "queued_seconds": round(record.queued_seconds, 6),
            "wasted_seconds": round(record.wasted_seconds, 6),
            "tokens": record.tokens,
        }
        for record in row.stages
    ]


def problem_document(refusal: Refusal, run: RunState, request_id: str = "") -> dict:
    """Return the problem+json document of a refusal."""
    return {
        "type": f"urn:traystall:problem:{refusal.problem.code}",
        "title": refusal.problem.title,
        "status": refusal.problem.status,
        "code": refusal.problem.code,
        "detail": refusal.detail,
        "run": run.value,
        "request": request_id,
    }


def problem_response(refusal: Refusal, run: RunState, request_id: str = "") -> web.Response:
    """Return the response for a refusal, with a Retry-After header."""
    return web.Response(
        status=refusal.problem.status,
        text=json.dumps(problem_document(refusal, run, request_id)),
        content_type=PROBLEM_JSON,
        headers={"Retry-After": str(refusal.retry_after)},
    )


def wants_stream(request: web.Request) -> bool:
    """Return whether the caller accepts server-sent events."""
    return EVENT_STREAM in request.headers.get("Accept", "")


class EventStream:
    """Write tokens as events; a response without its final event is incomplete."""

    def __init__(self, request: web.Request):
        self._request = request
        self._response = web.StreamResponse(
            headers={"Content-Type": EVENT_STREAM, "Cache-Control": "no-store"}
        )
        self._count = 0
        self._digest = hashlib.sha256()
        self._unsent = bytearray()
        self._has_unsent = asyncio.Event()
        self._writer: asyncio.Task | None = None
        self._broken = False

    @property
    def response(self) -> web.StreamResponse:
        """Return the response that carries the stream."""
        return self._response

    async def open(self) -> None:
        """Send the headers and start to send events in the background."""
        self._response.enable_chunked_encoding()
        await self._response.prepare(self._request)
        self._writer = asyncio.create_task(self._write_forever())

    def on_token(self, index: int, text: str) -> None:
        """Write the next token without waiting for the caller to read it; skip repeated ones."""
        if index != self._count:
            return
        self._count += 1
        self._digest.update(text.encode())
        self._write("token", {"index": index, "text": text})

    async def finish(self, answer: dict) -> None:
        """Write the final event of a complete response."""
        final = {"count": self._count, "digest": self._digest.hexdigest(), **answer}
        await self._end(final)

    async def fail(self, refusal: Refusal, run: RunState, request_id: str) -> None:
        """Write the final event of a response that failed."""
        document = problem_document(refusal, run, request_id)
        document["retry_after"] = refusal.retry_after
        await self._end({"status": "failed", "problem": document})

    def abandon(self) -> None:
        """Stop sending."""
        if self._writer is not None:
            self._writer.cancel()

    async def _end(self, document):
        self.abandon()
        self._write("final", document)
        if not self._broken:
            with contextlib.suppress(ConnectionError):
                await self._response.write(bytes(self._unsent))
                await self._response.write_eof()

    def _write(self, event, document):
        if self._broken:
            return
        self._unsent += f"event: {event}\ndata: {json.dumps(document)}\n\n".encode()
        if len(self._unsent) > MAX_UNREAD_BYTES:
            self._break()
        self._has_unsent.set()

    async def _write_forever(self):
        try:
            while True:
                await self._has_unsent.wait()
                self._has_unsent.clear()
                data, self._unsent = self._unsent, bytearray()
                await self._response.write(bytes(data))
        except ConnectionError:
            self._broken = True

    def _break(self):
        """Abort the connection of a slow caller, which can tell the response is incomplete."""
        self._broken = True
        self._unsent.clear()
        if self._request.transport is not None:
            self._request.transport.abort()
