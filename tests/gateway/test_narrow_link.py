"""The simulated narrow link limits bandwidth, shares it fairly and applies backpressure."""

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
# Allowed excess: bytes that one round may send above the bandwidth, or that arrive before the
# measurement.
TOLERANCE_BYTES = 6_000
# Kernel send buffer of a sender; it would grow to hundreds of thousands of bytes otherwise.
SEND_BUFFER_BYTES = 8 * 1024
# Allowed bytes between a sender and its reader: the sender's buffer and those of the link.
MAX_BUFFERED_BYTES = 80_000
CHUNK = b"x" * 4_000


class Sender:
    """Stand-in for a control daemon that sends endless data on every connection."""

    def __init__(self):
        self.sent = 0

    async def start(self):
        """Start to listen; return the address."""
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
                writer.write(CHUNK)
                await writer.drain()
                self.sent += len(CHUNK)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()


class Site:
    """A narrow link, the senders behind it, and the bytes that readers got from each."""

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
        """Return the bytes that readers get in a span of the link's clock, and its seconds."""
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


def run_scenario(scenario, names="ab", role="gateway"):
    """Run a scenario on a new site."""

    async def bounded():
        site = Site()
        try:
            async with asyncio.timeout(30):
                await site.start(names, role)
                await scenario(site)
        finally:
            await site.stop()

    asyncio.run(bounded())


def test_connections_share_the_free_bandwidth():
    async def scenario(site):
        got, seconds = await site.measure()
        width = FREE_BYTES_PER_SECOND * seconds
        assert sum(got.values()) == pytest.approx(width, abs=TOLERANCE_BYTES)
        assert got["a"] == pytest.approx(got["b"], abs=TOLERANCE_BYTES)
        assert sum(site.link.delivered.values()) == pytest.approx(
            sum(site.got.values()), abs=TOLERANCE_BYTES
        )

    run_scenario(scenario)


def test_writer_gets_backpressure():
    async def scenario(site):
        await site.measure()
        for name, sender in site.senders.items():
            assert sender.sent - site.got[name] < MAX_BUFFERED_BYTES

    run_scenario(scenario)


def test_silent_daemon_leaves_the_bandwidth_to_the_other():
    async def scenario(site):
        site.link.silence("a")
        got, seconds = await site.measure()
        assert got["a"] < TOLERANCE_BYTES
        width = FREE_BYTES_PER_SECOND * seconds
        assert got["b"] == pytest.approx(width, abs=TOLERANCE_BYTES)

    run_scenario(scenario)


def test_nothing_arrives_while_the_link_is_stalled():
    async def scenario(site):
        site.link.stand_still()
        got, _ = await site.measure()
        assert sum(got.values()) < TOLERANCE_BYTES

    run_scenario(scenario)


def test_connections_of_one_daemon_can_be_reset():
    async def scenario(site):
        site.link.reset("a")
        await asyncio.sleep(0.05)
        got, _ = await site.measure()
        assert got["a"] == 0
        assert got["b"] > 0

    run_scenario(scenario)


def test_links_between_control_daemons_are_not_limited():
    async def scenario(site):
        got, seconds = await site.measure()
        assert min(got.values()) > 2 * BYTES_PER_SECOND * seconds

    run_scenario(scenario, role="control")
