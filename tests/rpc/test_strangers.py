"""Peers that open links and never greet, or send a large first frame."""

import asyncio

import pytest

from traystall.rpc.client import Link, LinkIdentity
from traystall.rpc.framing import MAX_FRAME_BYTES
from traystall.rpc.gen.wire.ttypes import ProbeReply, ProbeRequest
from traystall.rpc.server import MAX_HELLO_BYTES, RpcServer

_MAX_UNGREETED = 8


async def _answer(request):
    return ProbeReply(identity="i")


async def _start():
    server = RpcServer("127.0.0.1:0", "c", "", _answer, max_ungreeted=_MAX_UNGREETED)
    await server.start()
    host, port = server._server.sockets[0].getsockname()
    return server, host, port


async def _call(host, port):
    link = Link(f"{host}:{port}", LinkIdentity("c", "gateway", "g"))
    try:
        return await link.call(ProbeRequest(), 5.0)
    finally:
        await link.close()


@pytest.mark.parametrize("length", [MAX_HELLO_BYTES + 1, MAX_FRAME_BYTES])
def test_first_frame_is_limited_before_it_is_read(length):
    """It was kept whole before the greeting was checked."""

    async def scenario():
        server, host, port = await _start()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(length.to_bytes(4, "big"))
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()
        assert await _call(host, port)
        await server.stop()

    asyncio.run(scenario())


def test_oldest_links_without_a_greeting_are_closed():
    async def scenario():
        server, host, port = await _start()
        greeted = Link(f"{host}:{port}", LinkIdentity("c", "gateway", "g"))
        assert await greeted.call(ProbeRequest(), 5.0)
        strangers = [await asyncio.open_connection(host, port) for _ in range(4 * _MAX_UNGREETED)]
        async with asyncio.timeout(5):
            for reader, _ in strangers[: 3 * _MAX_UNGREETED]:
                assert await reader.read() == b""
        assert len(server._ungreeted) <= _MAX_UNGREETED
        assert await greeted.call(ProbeRequest(), 5.0)
        assert await _call(host, port)
        await greeted.close()
        for _, writer in strangers:
            writer.close()
        await server.stop()

    asyncio.run(scenario())
