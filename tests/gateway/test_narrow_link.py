"""The narrow link carries what its width allows, in fair turns, and holds writers up."""

import asyncio
import socket

import pytest

from tests.support.narrow_link import NarrowLink
from traystall.rpc.client import LinkIdentity
from traystall.rpc.framing import write_frame
from traystall.rpc.gen.wire.ttypes import Frame, Method
from traystall.rpc.messages import encode

BYTES_PER_SECOND = 400_000
BUSY_SHARE = 0.75
FREE_BYTES_PER_SECOND = 100_000
SECONDS = 0.6
# What one turn hands out more than the width allows, and what comes before the measure, in bytes.
TOLERANCE_BYTES = 6_000
# The buffer in the kernel of one that sends, in bytes; else it would grow to some hundred thousand.
SEND_BUFFER_BYTES = 8 * 1024
# What a sender may be ahead of its reader: its own buffer and those of the link, in bytes.
MOST_AHEAD_BYTES = 80_000
PIECE = b"x" * 4_000


class Sender:
    """Stand for a control daemon that sends without end to whoever opens a connection."""

    def __init__(self):
        self.sent = 0

    async def start(self):
        """Return the address at which it listens."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        for sock in self._server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        writer.transport.set_write_buffer_limits(0)
        try:
            while True:
                writer.write(PIECE)
                await writer.drain()
                self.sent += len(PIECE)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()


class Site:
    """Hold a narrow link, senders behind it, and what readers got from each."""

    async def start(self, names, role):
        self.link = NarrowLink(BYTES_PER_SECOND, BUSY_SHARE)
        self.senders = {name: Sender() for name in names}
        self.got = dict.fromkeys(names, 0)
        self._readers = []
        for name, sender in self.senders.items():
            address = await self.link.add(name, await sender.start())
            self._readers.append(asyncio.create_task(self._read(name, address, role)))
        while not all(self.got.values()):
            await asyncio.sleep(0.01)

    async def measure(self):
        """Return what the readers get while the link's clock runs on, and by how many seconds."""
        before, began = dict(self.got), self.link.seconds
        while self.link.seconds - began < SECONDS:
            await asyncio.sleep(0.01)
        return {name: self.got[name] - before[name] for name in before}, self.link.seconds - began

    async def stop(self):
        for reader in self._readers:
            reader.cancel()
        await self.link.close()
        for sender in self.senders.values():
            sender.close()

    async def _read(self, name, address, role):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        hello = LinkIdentity("test", role, name).hello()
        write_frame(writer, Frame(0, Method.HELLO, False, body=encode(hello)))
        while data := await reader.read(64 * 1024):
            self.got[name] += len(data)


def play(story, names="ab", role="gateway"):
    """Run a story on a site of its own."""

    async def bounded():
        site = Site()
        try:
            async with asyncio.timeout(30):
                await site.start(names, role)
                await story(site)
        finally:
            await site.stop()

    asyncio.run(bounded())


def test_connections_share_what_other_traffic_leaves_free():
    async def story(site):
        got, seconds = await site.measure()
        width = FREE_BYTES_PER_SECOND * seconds
        assert sum(got.values()) == pytest.approx(width, abs=TOLERANCE_BYTES)
        assert got["a"] == pytest.approx(got["b"], abs=TOLERANCE_BYTES)
        assert sum(site.link.delivered.values()) == pytest.approx(
            sum(site.got.values()), abs=TOLERANCE_BYTES
        )

    play(story)


def test_writer_is_held_up():
    async def story(site):
        await site.measure()
        for name, sender in site.senders.items():
            assert sender.sent - site.got[name] < MOST_AHEAD_BYTES

    play(story)


def test_silent_daemon_leaves_the_width_to_the_other():
    async def story(site):
        site.link.silence("a")
        got, seconds = await site.measure()
        assert got["a"] < TOLERANCE_BYTES
        width = FREE_BYTES_PER_SECOND * seconds
        assert got["b"] == pytest.approx(width, abs=TOLERANCE_BYTES)

    play(story)


def test_nothing_comes_while_the_link_stands_still():
    async def story(site):
        site.link.stand_still()
        got, _ = await site.measure()
        assert sum(got.values()) < TOLERANCE_BYTES

    play(story)


def test_connections_of_one_daemon_can_be_reset():
    async def story(site):
        site.link.reset("a")
        await asyncio.sleep(0.05)
        got, _ = await site.measure()
        assert got["a"] == 0
        assert got["b"] > 0

    play(story)


def test_control_daemons_are_not_held_up():
    async def story(site):
        got, seconds = await site.measure()
        assert min(got.values()) > 2 * BYTES_PER_SECOND * seconds

    play(story, role="control")
