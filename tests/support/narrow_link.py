"""A narrow link between a gateway and all its control daemons, shared with other traffic.

Relays listen at the addresses that control daemons advertise. Data from the daemons to the
gateway shares one link of a given bandwidth; connections with pending bytes take turns of one
segment each. Other traffic takes a fixed share of the bandwidth at all times. Each connection has
small bounded buffers: when they are full, the relay stops reading and the daemon's writes block.
Data from the gateway, and data between control daemons, is not shaped.

Bandwidths are bytes a second, sizes bytes, times seconds. The link has its own clock, which does
not advance while the machine delays the event loop. A bound in seconds of this clock states what
the link could have carried, however busy the machine is.
"""

import asyncio
import collections
import contextlib
import socket

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.rpc.framing import read_frame
from traystall.rpc.gen.wire.ttypes import Hello
from traystall.rpc.messages import decode, encode

# Bytes that one connection sends before the turn of the next connection.
_SEGMENT_BYTES = 1400
# Bytes that wait for a turn on one connection; the kernel's buffer is additional.
_QUEUE_BYTES = 8 * 1024
_KERNEL_BUFFER_BYTES = 8 * 1024
# Interval at which the bandwidth is distributed, in seconds.
_TURN_SECONDS = 0.01
# Largest advance of the link's clock between two turns, in seconds.
_LONGEST_TURN_SECONDS = 0.1
_CHUNK_BYTES = 64 * 1024
_GATEWAY_ROLE = "gateway"


class NarrowLink:
    """Carry data from control daemons to one gateway; count the delivered bytes."""

    def __init__(self, bytes_per_second: float, busy_share: float):
        # Bandwidth that other traffic leaves, in bytes a second.
        self.free_bytes_per_second = bytes_per_second * (1 - busy_share)
        # Bytes delivered to the gateway, by the name of the sending control daemon.
        self.delivered: collections.Counter[str] = collections.Counter()
        # Time that the link has been in use by its own clock, in seconds.
        self.seconds = 0.0
        self._credit_bytes = 0.0
        self._is_stalled = False
        self._stalled_daemons: set[str] = set()
        self._connections: collections.deque[_Connection] = collections.deque()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self._carrier = asyncio.create_task(self._distribute_forever())

    async def add(self, name: str, target: str) -> str:
        """Return the address of a relay to the control daemon `name`, which listens at `target`."""

        async def serve(reader, writer):
            await self._serve(name, target, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def stand_still(self) -> None:
        """Stall all data in both directions until `go_on`; no connection is closed."""
        self._is_stalled = True

    def go_on(self) -> None:
        """End the stall that `stand_still` started."""
        self._is_stalled = False

    def silence(self, name: str) -> None:
        """Stall all data between the gateway and one daemon for good; no connection is closed."""
        self._stalled_daemons.add(name)

    def reset(self, name: str) -> None:
        """Reset the gateway's connections to one daemon as if it ended; pending data is lost."""
        for connection in list(self._connections):
            if connection.name == name:
                connection.close()

    async def close(self) -> None:
        """Close every connection and stop listening."""
        for server in self._servers:
            server.close()
        tasks = [self._carrier, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_held(self, name: str) -> bool:
        """Return whether the data of a daemon is stalled now."""
        return self._is_stalled or name in self._stalled_daemons

    async def _serve(self, name, target, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._relay(name, target, reader, writer)
        except (OSError, asyncio.IncompleteReadError, RpcError):
            pass
        except asyncio.CancelledError:
            pass  # Cancelled by `close`; asyncio would log it as an error of the stream's task.
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _relay(self, name, target, reader, writer):
        greeting = await read_frame(reader)
        is_gateway = decode(Hello, greeting.body).role == _GATEWAY_ROLE
        inner_reader, inner_writer = await _connect(target, is_gateway)
        try:
            data = encode(greeting)
            inner_writer.write(len(data).to_bytes(4, "big") + data)
            if is_gateway:
                await self._relay_gateway(name, (reader, writer), (inner_reader, inner_writer))
            else:
                await _wait_for_first(_pump(reader, inner_writer), _pump(inner_reader, writer))
        finally:
            inner_writer.transport.abort()

    async def _relay_gateway(self, name, outer, inner):
        connection = _Connection(name, outer[1])
        self._connections.append(connection)
        try:
            await _wait_for_first(
                connection.fill(inner[0]),
                _pump(outer[0], inner[1], lambda: self.is_held(name)),
                connection.closed.wait(),
            )
        finally:
            self._connections.remove(connection)

    async def _distribute_forever(self):
        before = clock.monotonic()
        while True:
            await asyncio.sleep(_TURN_SECONDS)
            now = clock.monotonic()
            passed = min(now - before, _LONGEST_TURN_SECONDS)
            before = now
            self.seconds += passed
            if not self._is_stalled:
                self._credit_bytes += passed * self.free_bytes_per_second
                self._distribute()

    def _distribute(self):
        """Distribute the bandwidth of one turn; bandwidth that no connection needs is lost."""
        idle = 0
        while self._credit_bytes > 0 and idle < len(self._connections):
            connection = self._connections[0]
            self._connections.rotate(-1)
            sent = (
                0 if connection.name in self._stalled_daemons else connection.send(_SEGMENT_BYTES)
            )
            idle = 0 if sent else idle + 1
            self._credit_bytes -= sent
            self.delivered[connection.name] += sent
        self._credit_bytes = min(self._credit_bytes, 0.0)


class _Connection:
    """Hold the pending data of one connection of the gateway."""

    def __init__(self, name, writer):
        self.name = name
        self.closed = asyncio.Event()
        self._writer = writer
        self._waiting = bytearray()
        self._sent = asyncio.Event()

    async def fill(self, reader):
        """Read from the daemon while the buffer has space; return once all data is delivered."""
        while data := await reader.read(_SEGMENT_BYTES):
            self._waiting += data
            await self._until_below(_QUEUE_BYTES)
        await self._until_below(1)

    def send(self, max_bytes):
        """Send at most `max_bytes` to the gateway; return the number of bytes sent."""
        if self.closed.is_set() or self._writer.is_closing():
            return 0
        data = bytes(self._waiting[:max_bytes])
        if data:
            del self._waiting[:max_bytes]
            self._writer.write(data)
            self._sent.set()
        return len(data)

    def close(self):
        """Abort the connection; pending data is lost."""
        self._waiting.clear()
        self.closed.set()

    async def _until_below(self, limit):
        while len(self._waiting) >= limit:
            self._sent.clear()
            await self._sent.wait()


async def _connect(target, narrow):
    """Open a connection to a daemon; a narrow one has small buffers and segments."""
    host, port = target.split(":")
    if not narrow:
        return await asyncio.open_connection(host, int(port))
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock, limit=_SEGMENT_BYTES)


async def _pump(reader, writer, is_held=lambda: False):
    """Relay bytes from reader to writer, none while the link is stalled."""
    while data := await reader.read(_CHUNK_BYTES):
        while is_held():
            await asyncio.sleep(_TURN_SECONDS)
        writer.write(data)
        await writer.drain()


async def _wait_for_first(*coroutines):
    """Return once one of the coroutines has ended; cancel the others."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
