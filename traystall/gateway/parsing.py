"""Parse a caller's request: headers, deadline, key and body."""

import hashlib
import json

import msgspec
from aiohttp import web

from traystall.core import ids
from traystall.gateway import problems
from traystall.gateway.problems import Refusal
from traystall.tables.configuration import ConfigurationTables
from traystall.tables.entities import Customer, Pipeline, PriorityClass
from traystall.tables.requests import RequestRow

CUSTOMER_HEADER = "Traystall-Customer"
DEADLINE_HEADER = "Traystall-Deadline-Ms"
CLASS_HEADER = "Traystall-Class"
NOT_REPEATABLE_HEADER = "Traystall-Not-Repeatable"
RELAYED_HEADER = "Traystall-Relayed"
KEY_HEADER = "Idempotency-Key"

MAX_DEADLINE_MS = 3_600_000
MAX_KEY_LENGTH = 200
_FINGERPRINT_BYTES = 16


class Envelope(msgspec.Struct, frozen=True):
    """Parsed headers of a request."""

    customer: Customer
    pipeline: Pipeline
    deadline_seconds: float
    priority: PriorityClass
    not_repeatable: bool
    key: str
    relayed: bool


def read_envelope(request: web.Request, tables: ConfigurationTables) -> Envelope:
    """Return the parsed headers of a request, or raise Refusal; the body is not read."""
    pipeline = tables.pipeline(request.match_info["pipeline"])
    if pipeline is None:
        raise Refusal(problems.UNKNOWN_PIPELINE, f"'{request.match_info['pipeline']}'.")
    customer = tables.customer(request.headers.get(CUSTOMER_HEADER, ""))
    if customer is None:
        raise Refusal(problems.UNKNOWN_CUSTOMER, f"Name one in the {CUSTOMER_HEADER} header.")
    return Envelope(
        customer=customer,
        pipeline=pipeline,
        deadline_seconds=_read_deadline(request, pipeline),
        priority=_read_class(request, pipeline),
        not_repeatable=_read_mark(request),
        key=_read_key(request),
        relayed=RELAYED_HEADER in request.headers,
    )


async def read_body(request: web.Request) -> bytes:
    """Return the complete body, or raise Refusal if it is too large."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise Refusal(problems.TOO_LARGE) from error


def parse_body(data: bytes) -> dict:
    """Return the body as a JSON object, or raise Refusal."""
    try:
        body = json.loads(data)
    except ValueError as error:
        raise Refusal(problems.BAD_JSON) from error
    if not isinstance(body, dict):
        raise Refusal(problems.BAD_JSON, "The body must be an object.")
    _check_max_tokens(body)
    return body


def make_row(envelope: Envelope, data: bytes, now: float) -> RequestRow:
    """Return the row of an accepted request."""
    request_id = ids.new_id()
    return RequestRow(
        request_id=request_id,
        customer=envelope.customer.name,
        pipeline=envelope.pipeline,
        priority=envelope.priority,
        started_at=now,
        deadline=now + envelope.deadline_seconds,
        marked_not_repeatable=envelope.not_repeatable,
        key=envelope.key,
        fingerprint=fingerprint(envelope.pipeline.name, data),
        claim_id=request_id,
    )


def fingerprint(pipeline: str, data: bytes) -> bytes:
    """Return a hash that tells different requests with the same key apart."""
    return hashlib.sha256(pipeline.encode() + b"\0" + data).digest()[:_FINGERPRINT_BYTES]


def _read_deadline(request, pipeline):
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return pipeline.deadline
    try:
        milliseconds = float(text)
    except ValueError as error:
        raise Refusal(problems.BAD_DEADLINE, f"{DEADLINE_HEADER} is '{text[:20]}'.") from error
    if not 0 < milliseconds <= MAX_DEADLINE_MS:
        raise Refusal(problems.BAD_DEADLINE, f"Give 1 to {MAX_DEADLINE_MS} milliseconds.")
    return milliseconds / 1000


def _read_class(request, pipeline):
    text = request.headers.get(CLASS_HEADER)
    if text is None:
        return pipeline.priority
    try:
        return PriorityClass(text)
    except ValueError as error:
        names = ", ".join(PriorityClass)
        raise Refusal(problems.BAD_REQUEST, f"{CLASS_HEADER} must be one of {names}.") from error


def _read_mark(request):
    text = request.headers.get(NOT_REPEATABLE_HEADER, "false").lower()
    if text not in ("true", "false"):
        raise Refusal(problems.BAD_REQUEST, f"{NOT_REPEATABLE_HEADER} must be true or false.")
    return text == "true"


def _read_key(request):
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise Refusal(problems.BAD_KEY, f"Use up to {MAX_KEY_LENGTH} printable characters.")
    return key


def _check_max_tokens(body):
    value = body.get("max_tokens", 1)
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise Refusal(problems.BAD_REQUEST, "max_tokens must be a whole number above zero.")
