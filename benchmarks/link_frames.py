"""Measure the cost of a frame and of a call on a link between two processes.

    python -m benchmarks.link_frames

The output has the processor time, in microseconds, of writing a frame, of reading one, and of a
whole call over the loopback interface with both ends in this process (two frames written, two
read), each as the median of several rounds.
"""

import asyncio
import statistics
import time

from traystall.rpc.client import Link, LinkIdentity
from traystall.rpc.framing import read_frame, write_frame
from traystall.rpc.gen.wire.ttypes import Frame, Method, ProbeReply, ProbeRequest
from traystall.rpc.server import RpcServer

_FRAMES = 3000
_CALLS = 2000
_ROUNDS = 9
_BODY_BYTES = 200
_TIMEOUT_SECONDS = 5.0


class _MemoryWriter:
    """Collect the bytes that a link would send."""

    def __init__(self):
        self.data = bytearray()

    def write(self, data):
        """Append the bytes."""
        self.data += data


def main() -> None:
    """Print one line for each operation."""
    for name, seconds in asyncio.run(_measure()).items():
        print(f"{name}: {statistics.median(seconds) * 1e6:.1f} us")


async def _measure():
    found = {"frame written": [], "frame read": [], "call": []}
    for _ in range(_ROUNDS):
        writer = _MemoryWriter()
        found["frame written"].append(_write(writer))
        found["frame read"].append(await _read(bytes(writer.data)))
        found["call"].append(await _call())
    return found


def _write(writer):
    frame = Frame(call_id=1, method=Method.CLAIM, reply=True, body=bytes(_BODY_BYTES))
    began = time.process_time()
    for _ in range(_FRAMES):
        write_frame(writer, frame)
    return (time.process_time() - began) / _FRAMES


async def _read(data):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    began = time.process_time()
    for _ in range(_FRAMES):
        await read_frame(reader)
    return (time.process_time() - began) / _FRAMES


async def _call():
    server = RpcServer("127.0.0.1:0", "cluster", "", _answer)
    await server.start()
    host, port = server._server.sockets[0].getsockname()
    link = Link(f"{host}:{port}", LinkIdentity("cluster", "gateway", "benchmark"))
    await link.call(ProbeRequest(), _TIMEOUT_SECONDS)
    began = time.process_time()
    for _ in range(_CALLS):
        await link.call(ProbeRequest(), _TIMEOUT_SECONDS)
    seconds = (time.process_time() - began) / _CALLS
    await link.close()
    await server.stop()
    return seconds


async def _answer(request):
    return ProbeReply(identity="benchmark")


if __name__ == "__main__":
    main()
