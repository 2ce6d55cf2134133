"""Responses and their encoding. Pure.

Header names and values are bytes, as on the wire.
"""

from http import HTTPStatus

import msgspec

Header = tuple[bytes, bytes]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# End of a body in chunked transfer encoding.
LAST_CHUNK = b"0\r\n\r\n"
BODILESS = (204, 304)


class Response(msgspec.Struct):
    """Hold a whole response."""

    status: int
    headers: list[Header] = []
    body: bytes = b""


def text_response(status: int, text: str, headers: list[Header] | None = None) -> Response:
    """Return a plain text response."""
    own = (b"Content-Type", b"text/plain; charset=utf-8")
    return Response(status, [own, *(headers or [])], text.encode())


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with `value` as JSON."""
    return Response(status, [(b"Content-Type", b"application/json")], msgspec.json.encode(value))


def encode_head(status: int, headers: list[Header], framing: list[Header], close: bool) -> bytes:
    """Return the head of a response; `framing` holds the headers that delimit the body."""
    lines = [b"HTTP/1.1 %d %s" % (status, _reason(status))]
    lines += [name + b": " + value for name, value in (*headers, *framing)]
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(response: Response, close: bool, with_body: bool = True) -> bytes:
    """Return an encoded response; the response to a HEAD request has no body."""
    if response.status in BODILESS:
        return encode_head(response.status, response.headers, [], close)
    framing = [(b"Content-Length", b"%d" % len(response.body))]
    head = encode_head(response.status, response.headers, framing, close)
    return head + response.body if with_body else head


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body, or nothing for empty data, which would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def _reason(status):
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
