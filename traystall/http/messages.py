"""Answers, and how they are written. Pure.

Header names and values are bytes, as they go over the wire.
"""

from http import HTTPStatus

import msgspec

Header = tuple[bytes, bytes]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# The end of a body that is sent in chunks.
LAST_CHUNK = b"0\r\n\r\n"
_BODILESS = (204, 304)


class Response(msgspec.Struct):
    """Hold a whole answer."""

    status: int
    headers: list[Header] = []
    body: bytes = b""


def text_response(status: int, text: str, headers: list[Header] | None = None) -> Response:
    """Return an answer of plain text."""
    own = (b"Content-Type", b"text/plain; charset=utf-8")
    return Response(status, [own, *(headers or [])], text.encode())


def json_response(value: object, status: int = 200) -> Response:
    """Return an answer that holds `value` as JSON."""
    return Response(status, [(b"Content-Type", b"application/json")], msgspec.json.encode(value))


def encode_head(status: int, headers: list[Header], framing: list[Header], close: bool) -> bytes:
    """Return the head of an answer; `framing` says where its body ends."""
    lines = [b"HTTP/1.1 %d %s" % (status, _reason(status))]
    lines += [name + b": " + value for name, value in (*headers, *framing)]
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(response: Response, close: bool, with_body: bool = True) -> bytes:
    """Return a whole answer; the one to a HEAD request goes without its body."""
    if response.status in _BODILESS:
        return encode_head(response.status, response.headers, [], close)
    framing = [(b"Content-Length", b"%d" % len(response.body))]
    head = encode_head(response.status, response.headers, framing, close)
    return head + response.body if with_body else head


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body; empty data would end the body, and gives nothing."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def _reason(status):
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
