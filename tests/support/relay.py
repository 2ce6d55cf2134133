"""Relays in front of control daemons that can cut a link without a reset.

A relay reads the greeting of a link to identify the peer that opened it. While the link is cut,
bytes are held back in both directions. When the cut ends, links that were cut are closed, as a
network does to connections that have timed out.
"""

import asyncio
import contextlib
import threading

from traystall.rpc.framing import read_frame
from traystall.rpc.gen.wire.ttypes import Hello
from traystall.rpc.messages import decode, encode

_CHUNK_BYTES = 64 * 1024


class CuttingRelay:
    """Forward links to control daemons, in a separate thread."""

    def __init__(self):
        self._blocked: set[tuple[str, str]] = set()
        self._links: list[tuple[str, str, asyncio.StreamWriter, asyncio.StreamWriter]] = []
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def add(self, name, address, target):
        """Listen at `address` for the daemon `name`, which listens at `target`."""
        host, port = address.split(":")

        def serve(reader, writer):
            return self._serve(name, target, reader, writer)

        self._run(asyncio.start_server(serve, host, int(port)))

    def cut(self, name, others):
        """Cut the links between `name` and the `others` without a reset, in both directions."""
        self._blocked |= {(name, other) for other in others}
        self._blocked |= {(other, name) for other in others}

    def heal(self):
        """End every cut and close the links that were cut."""
        blocked, self._blocked = self._blocked, set()
        for source, target, *writers in self._links:
            if (source, target) in blocked:
                for writer in writers:
                    self._loop.call_soon_threadsafe(writer.close)

    def close(self):
        """Stop the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _serve(self, name, target, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            greeting = await read_frame(reader)
            source = decode(Hello, greeting.body).sender.split("/")[0]
            while (source, name) in self._blocked:
                await asyncio.sleep(0.05)
            host, port = target.split(":")
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
            data = encode(greeting)
            inner_writer.write(len(data).to_bytes(4, "big") + data)
            self._links.append((source, name, writer, inner_writer))
            await asyncio.gather(
                self._pump(source, name, reader, inner_writer),
                self._pump(source, name, inner_reader, writer),
            )
        writer.close()

    async def _pump(self, source, name, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                while (source, name) in self._blocked:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        writer.close()
