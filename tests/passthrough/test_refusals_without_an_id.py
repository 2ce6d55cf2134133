"""A refusal without an id counts only where it can't belong to an earlier request."""

import asyncio

import pytest

from tests.support.emulator.gateway import EmulatedGateway, run, table
from traystall.passthrough.dialect import HeaderNames

NAMES = HeaderNames()
REFUSAL = f"HTTP/1.1 503 Full\r\n{NAMES.not_run}: 1\r\nContent-Length: 0\r\n\r\n".encode()


class _Target:
    """Refuse the first request without an id; repeat this late, before the next answer."""

    def __init__(self, *, repeats):
        self.identity, self.version, self.address = "t-1", "", ""
        self._repeats = repeats
        self.runs = []
        self._requests = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(headers.get("Content-Length", "0")))
                self._requests += 1
                if self._requests == 1:
                    writer.write(REFUSAL)
                    continue
                self.runs.append(headers[NAMES.request_id])
                if self._repeats:
                    writer.write(REFUSAL)
                    await writer.drain()
                lines = [
                    "HTTP/1.1 200 OK",
                    f"{NAMES.request_id}: {headers[NAMES.request_id]}",
                    f"{NAMES.signature}: signed",
                    "Content-Length: 2",
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def call_twice(target, path):
    """Return the statuses of two requests, one after the other."""
    await target.start()
    async with EmulatedGateway(table(max_attempts=1), [("plain", target)]) as gateway:
        statuses = [(await gateway.call(path))[0]]
        # The target gets no work for a moment after it has refused some.
        await asyncio.sleep(0.1)
        statuses.append((await gateway.call(path))[0])
    target.close()
    return statuses


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_late_refusal_of_an_earlier_request_does_not_say_that_a_request_has_not_run(path):
    """The request had run, and its caller was told that it had not and never would."""
    target = _Target(repeats=True)
    first, second = run(call_twice(target, path))
    assert first == 503
    assert len(target.runs) == 1
    assert second != 503


def test_first_refusal_on_a_connection_needs_no_id():
    target = _Target(repeats=False)
    assert run(call_twice(target, "/once/x")) == [503, 200]
    assert len(target.runs) == 1
