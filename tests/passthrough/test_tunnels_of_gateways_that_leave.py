"""A tunnel ends when its gateway closes it while the target reads nothing."""

import asyncio

from tests.support.emulator.gateway import run
from traystall.passthrough.exchange.connection import connect
from traystall.passthrough.tunnels import service
from traystall.passthrough.tunnels.service import Tunnel


def test_tunnel_to_a_target_that_does_not_read_ends_with_its_gateway(monkeypatch):
    """The close was hidden until the target read again, and the target got the request late."""
    monkeypatch.setattr(service, "_accepts_work", lambda view: True)

    async def scenario():
        connected, forwarded = asyncio.Event(), asyncio.Event()

        async def silent_target(reader, writer):
            writer.transport.pause_reading()
            connected.set()

        target = await asyncio.start_server(silent_target, "127.0.0.1", 0)
        target_address = target.sockets[0].getsockname()

        async def forward(reader, writer):
            to_target = await asyncio.open_connection(*target_address)
            await connected.wait()
            tunnel = Tunnel(None, None, *to_target, set())
            try:
                await tunnel.forward(reader, writer)
            finally:
                tunnel.close()
                forwarded.set()

        relay = await asyncio.start_server(forward, "127.0.0.1", 0)
        host, port = relay.sockets[0].getsockname()
        connection = await connect(f"{host}:{port}", 1.0)
        # More than the kernel buffers of both hops take.
        connection.send(bytes(40_000_000))
        await asyncio.sleep(0.5)
        assert not forwarded.is_set()
        connection.close()
        async with asyncio.timeout(0.5):
            await forwarded.wait()
        relay.close()
        target.close()

    run(scenario())
