"""Relays in front of control daemons with limited bandwidth towards each daemon."""

import asyncio
import contextlib

_CHUNK_BYTES = 8 * 1024


class SlowRelay:
    """Forward links; data to the daemon passes at a bounded rate on each connection."""

    def __init__(self, bytes_per_second):
        self.bytes_per_second = bytes_per_second
        # Bytes sent to each daemon, by its address behind the relay.
        self.carried = {}
        self._servers = []
        self._tasks = set()

    async def add(self, address, target):
        """Listen at `address` for the daemon that listens at `target`."""
        host, port = address.split(":")
        self.carried[target] = 0

        async def serve(reader, writer):
            self._tasks.add(asyncio.current_task())
            await self._serve(target, reader, writer)

        self._servers.append(await asyncio.start_server(serve, host, int(port)))

    async def close(self):
        """Stop listening and end every link."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, target, reader, writer):
        host, port = target.split(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
            try:
                await asyncio.gather(
                    self._pump_slowly(target, reader, inner_writer), _pump(inner_reader, writer)
                )
            finally:
                inner_writer.close()
        writer.close()

    async def _pump_slowly(self, target, reader, writer):
        while data := await reader.read(_CHUNK_BYTES):
            await asyncio.sleep(len(data) / self.bytes_per_second)
            self.carried[target] += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()


async def _pump(reader, writer):
    while data := await reader.read(_CHUNK_BYTES):
        writer.write(data)
        await writer.drain()
    writer.close()
