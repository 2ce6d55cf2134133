"""Build the request for each kind of target and read its result.

Encoders, rerankers and engines use the common JSON formats (`/v1/embeddings`, `/v1/rerank`,
`/v1/completions`); retrievers use `/v1/search`; a plain service gets the caller's body at its
declared path.
"""

import json

from traystall.core.exceptions import TargetDoubt
from traystall.gateway.adapters.base import PRIORITY_LEVEL, Call, Reply
from traystall.gateway.adapters.http import TargetHttp, read_json
from traystall.tables.entities import Kind

_MAX_LINE_BYTES = 1024 * 1024


async def run(http: TargetHttp, call: Call) -> Reply:
    """Run one attempt and return its complete result; raise a TargetError otherwise."""
    if call.stage.kind is Kind.ENGINE:
        return await _run_engine(http, call)
    path, document = _BUILDERS[call.stage.kind](call)
    async with http.post(call, path, document) as response:
        answer = await read_json(response, call)
    answer.pop("id", None)
    return Reply(answer)


def _encoder(call):
    return "/v1/embeddings", {"model": call.stage.model, "input": call.body.get("input", "")}


def _retriever(call):
    document = {
        "query": call.body.get("input", ""),
        "embedding": _last_field(call.results, "embedding"),
        "top_k": call.body.get("top_k", 8),
    }
    return "/v1/search", document


def _reranker(call):
    document = {
        "model": call.stage.model,
        "query": call.body.get("input", ""),
        "documents": _last_field(call.results, "documents") or [],
    }
    return "/v1/rerank", document


def _service(call):
    return call.stage.path or "/", {"request": call.body, "results": call.results}


_BUILDERS = {
    Kind.ENCODER: _encoder,
    Kind.RETRIEVER: _retriever,
    Kind.RERANKER: _reranker,
    Kind.SERVICE: _service,
}


def _last_field(results, field):
    for result in reversed(list(results.values())):
        if field in result:
            return result[field]
    return None


async def _run_engine(http, call):
    """Stream a completion; tokens are added to the call as they arrive, so it can be resumed."""
    document = {
        "model": call.stage.model,
        "prompt": call.body.get("input", ""),
        "documents": _last_field(call.results, "documents") or [],
        "max_tokens": min(
            call.stage.max_tokens, call.body.get("max_tokens", call.stage.max_tokens)
        ),
        "priority": PRIORITY_LEVEL[call.priority],
        "stream": True,
        "resume_tokens": call.tokens,
    }
    async with http.post(call, "/v1/completions", document) as response:
        finish = await _read_tokens(response, call)
    return Reply(
        {"text": "".join(call.tokens), "tokens": len(call.tokens), "finish_reason": finish},
        tokens=len(call.tokens),
    )


async def _read_tokens(response, call):
    """Append tokens to the call until the end marker of the stream; return the finish reason."""
    finish = None
    async for line in _lines(response):
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == b"[DONE]":
            if finish is None:
                raise TargetDoubt("its stream ended without a finish reason")
            return finish
        finish = _read_event(data, call) or finish
    raise TargetDoubt("its stream was cut")


def _read_event(data, call):
    try:
        chunk = json.loads(data)
        choice = chunk["choices"][0]
        text, reason = choice.get("text", ""), choice.get("finish_reason")
        index = chunk.get("token_index")
    except (ValueError, KeyError, IndexError, TypeError) as error:
        raise TargetDoubt("its stream holds a malformed event") from error
    if chunk.get("id", call.attempt_id) != call.attempt_id:
        raise TargetDoubt("its stream belongs to another attempt")
    if reason is not None:
        _require_token_count(chunk, call)
        return reason
    if index is not None and index < len(call.tokens):
        return None  # The engine has sent a token again.
    if index is not None and index > len(call.tokens):
        raise TargetDoubt("its stream has a gap")
    call.tokens.append(text)
    call.on_token(len(call.tokens) - 1, text)
    return None


def _require_token_count(chunk, call):
    count = chunk.get("token_count")
    if count is not None and count != len(call.tokens):
        raise TargetDoubt("its stream lost tokens")


async def _lines(response):
    """Yield the lines of a body, which may be split across chunks."""
    rest = b""
    async for chunk in response.content.iter_any():
        rest += chunk
        *lines, rest = rest.split(b"\n")
        for line in lines:
            yield line
        if len(rest) > _MAX_LINE_BYTES:
            raise TargetDoubt("its stream holds an event over the limit")
