"""A sound target that is silent for a second or so keeps its connections and their requests.

The failure: bytes that a target had not taken for 0.9 s ended the connection, also if it went on
right after; callers got 502.
"""

import asyncio
import socket

from tests.support.emulator.runner import Runner
from tests.support.site import entities, play

SILENT_SECONDS = 1.5
BODY_BYTES = 3_000_000


class PausingRunner(Runner):
    """Stop to read for a while after the head of each request with a body."""

    async def start(self):
        listening = socket.socket()
        # A small buffer is full at once, so that the rest of the body is not acknowledged.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listening.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=4096)
        host, port = listening.getsockname()
        self.address = f"{host}:{port}"
        self.is_up = True
        return self

    async def _serve(self, reader, writer):
        reader._transport.pause_reading()
        await asyncio.sleep(SILENT_SECONDS)
        reader._transport.resume_reading()
        await super()._serve(reader, writer)


def test_request_survives_a_target_that_takes_no_bytes_for_a_second(tmp_path):
    async def scenario(site):
        await site.group.apply_entities("a", 1, entities())
        runner = await PausingRunner("plain-0").start()
        site.runners.append(runner)
        await site.report(runner, "plain")
        await asyncio.sleep(1.0)
        statuses = [(await site.call(0, "/once/x", b"x" * BODY_BYTES))[0] for _ in range(2)]
        assert statuses == [200, 200]

    play(tmp_path, scenario, 1)
