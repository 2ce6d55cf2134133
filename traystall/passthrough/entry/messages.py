"""Convert callers' requests for targets, and targets' responses for callers.

Method, path, query and body are forwarded unchanged. Hop-by-hop headers, and headers that only a
gateway may set, are removed.
"""

import msgspec

from traystall.http.messages import Header
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.exchange.connection import ResponseHead

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_BODY_METHODS = ("POST", "PUT", "PATCH")


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request: the raw request target and headers, and the complete body."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the first header with this name, ignoring case, or None."""
        return next(iter(self.get_all(name)), None)

    def get_all(self, name: str) -> list[str]:
        """Return the values of all headers with this name, ignoring case."""
        wanted = name.lower().encode()
        return [value.decode("latin-1") for key, value in self.headers if key.lower() == wanted]


class RequestWriter:
    """Write a caller's request for targets; only the headers set here differ between attempts."""

    def __init__(self, request: CallerRequest, names: HeaderNames):
        self._request = request
        gateway_headers = [
            names.customer,
            names.expected_incarnation,
            names.deadline_ms,
            names.inputs,
        ]
        dropped = {name.lower().encode() for name in (*gateway_headers, *names.gateway_only)}
        self._forwarded = _end_to_end(request.headers, dropped, names.key_scheme)

    def write(self, extra: dict[str, str]) -> bytes:
        """Return the encoded request; headers in `extra` are added or replace the caller's."""
        request = self._request
        replaced = {name.lower().encode() for name in extra}
        lines = [f"{request.method} {request.target} HTTP/1.1".encode("utf-8", "surrogateescape")]
        lines += [
            name + b": " + value for name, value in self._forwarded if name.lower() not in replaced
        ]
        lines += [f"{name}: {value}".encode("latin-1") for name, value in extra.items()]
        if request.body or request.method in _BODY_METHODS:
            lines.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def _end_to_end(headers, dropped, key_scheme):
    connection_headers = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_headers |= {word.strip().lower() for word in value.split(b",")}
    scheme = key_scheme.lower().encode() + b" "
    forwarded = []
    for name, value in headers:
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered in connection_headers or lowered in dropped:
            continue
        if lowered == b"authorization" and value.lower().startswith(scheme):
            continue  # Targets must not see customers' keys.
        forwarded.append((name, value))
    return forwarded


def response_headers(head: ResponseHead) -> list[Header]:
    """Return the headers of a target's response that are forwarded to the caller."""
    return _end_to_end(head.headers, frozenset(), "\0")
