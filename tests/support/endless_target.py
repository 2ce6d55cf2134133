"""A target that sends bytes without end, in one of several ways, until its peer closes."""

import asyncio

from tests.support.raw_target import RawTarget
from traystall.core import clock
from traystall.passthrough.dialect import HeaderNames

_CHUNK = 16 * 1024
_FILLER = b"x" * _CHUNK
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# By way: what is sent first, and what is then sent without end.
WAYS = {
    "header lines": (_HEAD, b"X-More: " + b"y" * 50 + b"\r\n"),
    "short header lines": (_HEAD, b"a:b\r\n"),
    "header value": (_HEAD + b"X-More: ", _FILLER),
    "status line": (b"HTTP/1.1 200 O", b"K" * _CHUNK),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk extension": (_CHUNKED + b"4;ext=", _FILLER),
    "extension of a later chunk": (_CHUNKED + b"4\r\ndata\r\n4;ext=", _FILLER),
    "body": (_HEAD + b"\r\n", _FILLER),
    "chunks": (_CHUNKED, b"%x\r\n" % _CHUNK + _FILLER + b"\r\n"),
    "trailers": (_CHUNKED + b"4\r\ndata\r\n0\r\n", b"X-More: y\r\n"),
    "surplus bytes": (_HEAD + b"Content-Length: 2\r\n\r\nok", _FILLER),
    "surplus answers": (b"", _HEAD + b"Content-Length: 0\r\n\r\n"),
    "no HTTP": (b"", _FILLER),
    "empty lines": (b"", b"\r\n"),
}


def _id_line(head):
    """Return the line of a request's head that names it, to be sent back."""
    name = HeaderNames().request_id.lower().encode()
    lines = [line for line in head.split(b"\r\n") if line.lower().startswith(name + b":")]
    return lines[0] + b"\r\n" if lines else b""


class EndlessTarget(RawTarget):
    """Answer each request with bytes without end; record the bytes and seconds until the close."""

    def __init__(self, way, identity="endless", version=""):
        super().__init__()
        self.identity = identity
        self.version = version
        self.sent: list[int] = []
        self.seconds: list[float] = []
        self._first, self._endless = WAYS[way]

    async def _serve(self, reader, writer):
        began, sent = clock.monotonic(), 0
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            began = clock.monotonic()
            writer.write(self._first.replace(_HEAD, _HEAD + _id_line(head)))
            data = self._endless * max(1, _CHUNK // len(self._endless))
            while clock.monotonic() < began + 5:
                writer.write(data)
                sent += len(data)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if sent:
                self.sent.append(sent)
                self.seconds.append(clock.monotonic() - began)
            writer.transport.abort()
