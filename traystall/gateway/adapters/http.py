"""Make HTTP requests to targets and classify the outcome: result, not run, failed or unknown.

Work is always sent with POST, which the client library never retries by itself. Work that is not
repeatable uses a new connection: on a reused one that the target has just closed its outcome
would be unknown.
"""

import asyncio
import json
from collections.abc import Callable, Mapping
from contextlib import asynccontextmanager

import aiohttp

from traystall.core.exceptions import (
    ProtocolMismatch,
    TargetDoubt,
    TargetFailed,
    TargetNotRun,
)
from traystall.core.limited_body import read_limited
from traystall.core.peer_timeout import PeerTimeout
from traystall.gateway.adapters.base import (
    ATTEMPT_HEADER,
    KEY_HEADER,
    PRIORITY_HEADER,
    PRIORITY_LEVEL,
    RUN_HEADER,
    STATE_HEADER,
    Call,
)
from traystall.tables.requests import RunState

_CONNECT_SECONDS = 0.5
_READ_BYTES = 256 * 1024
MAX_REPLY_BYTES = 16 * 1024 * 1024
# The timers of the client library fire before bytes that have arrived are read.
_NO_TIMEOUT = aiohttp.ClientTimeout()


class TargetHttp:
    """HTTP client for targets, with and without connection reuse; call `open` and `close`."""

    def __init__(self):
        self._pooled: aiohttp.ClientSession | None = None
        self._unpooled: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pools."""
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_on_headers_sent)
        self._pooled = _session(trace, force_close=False)
        self._unpooled = _session(trace, force_close=True)

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._pooled, self._unpooled):
            if session is not None:
                await session.close()

    async def get_json(
        self,
        url: str,
        seconds: float,
        headers: dict | None = None,
        on_head: Callable[[int, Mapping], None] = lambda status, headers: None,
    ) -> dict:
        """Return a small JSON object; raise TargetFailed if there is none.

        `on_head` is called with the status and headers of any response.
        """
        try:
            async with (
                PeerTimeout(seconds),
                self._unpooled.get(url, timeout=_NO_TIMEOUT, headers=headers) as response,
            ):
                on_head(response.status, response.headers)
                if response.status != 200:
                    raise TargetFailed(response.status, url)
                document = json.loads(await read_limited(response))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TargetFailed(0, type(error).__name__) from error
        if not isinstance(document, dict):
            raise TargetFailed(200, "not a JSON object")
        return document

    @asynccontextmanager
    async def post(self, call: Call, path: str, document: dict):
        """Yield the target's 200 response; raise a TargetError for anything else."""
        session = self._pooled if call.repeatable else self._unpooled
        headers = {
            ATTEMPT_HEADER: call.attempt_id,
            PRIORITY_HEADER: str(PRIORITY_LEVEL[call.priority]),
        }
        if call.key:
            headers[KEY_HEADER] = call.key
        connecting = PeerTimeout(_CONNECT_SECONDS)
        progress = _Progress(call, connecting)
        try:
            async with (
                PeerTimeout(max(0.001, call.budget)),
                connecting,
                session.post(
                    f"http://{call.target.address}{path}",
                    json=document,
                    headers=headers,
                    timeout=_NO_TIMEOUT,
                    allow_redirects=False,
                    trace_request_ctx=progress,
                ) as response,
            ):
                call.on_head(response.status, response.headers)
                await _require_success(response, call)
                yield response
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _translate(error, progress) from error


class _Progress:
    """Record whether a byte of the attempt may have been sent."""

    def __init__(self, call, connecting):
        self.call = call
        self._connecting = connecting
        self.sending = False

    def mark(self):
        if not self.sending:
            self.call.on_sending()
            self.sending = True
            self._connecting.lift()


async def _on_headers_sent(session, context, params):
    progress = context.trace_request_ctx
    if progress is not None:
        progress.mark()


def _session(trace, force_close):
    connector = aiohttp.TCPConnector(limit=0, force_close=force_close)
    return aiohttp.ClientSession(connector=connector, trace_configs=[trace], trust_env=False)


async def _require_success(response, call):
    if response.status == 200:
        _require_same_attempt(response, call)
        return
    leaving = response.headers.get(STATE_HEADER) == "leaving"
    if response.headers.get(RUN_HEADER) == RunState.NOT_RUN:
        _require_same_attempt(response, call)
        response.close()
        raise TargetNotRun(f"status {response.status}", leaving, sent=True)
    response.close()
    raise TargetFailed(response.status, "no result")


def _require_same_attempt(response, call):
    answered = response.headers.get(ATTEMPT_HEADER)
    if answered is not None and answered != call.attempt_id:
        response.close()
        raise ProtocolMismatch("the answer belongs to another attempt")


async def read_json(response: aiohttp.ClientResponse, call: Call) -> dict:
    """Return the JSON object of a response; raise an error if it belongs to another attempt."""
    chunks = []
    size = 0
    async for chunk in response.content.iter_chunked(_READ_BYTES):
        size += len(chunk)
        if size > MAX_REPLY_BYTES:
            raise TargetDoubt(f"its answer is over {MAX_REPLY_BYTES} bytes")
        chunks.append(chunk)
    try:
        document = json.loads(b"".join(chunks))
    except ValueError as error:
        raise TargetDoubt("its answer is not JSON") from error
    if not isinstance(document, dict):
        raise TargetDoubt("its answer is not a JSON object")
    if document.get("id", call.attempt_id) != call.attempt_id:
        response.close()
        raise ProtocolMismatch("the answer belongs to another attempt")
    return document


def _translate(error, progress):
    if not progress.sending:
        return TargetNotRun(type(error).__name__)
    if isinstance(error, asyncio.TimeoutError | TimeoutError):
        return TargetDoubt("no answer in time", timed_out=True)
    return TargetDoubt(f"the connection failed ({type(error).__name__})", broken=True)
