"""Partition a gateway in the test process from targets, while its other connections stay up.

The gateway is recognized by the context in which it was started: its tasks, its servers and their
connections inherit that context. New and existing connections are intercepted at the event loop, so
the code under test is unchanged.
"""

import asyncio
import contextvars
import errno

from traystall.core.sockets import TARGET_UNACKNOWLEDGED_TIMEOUT_MS

HOW = ("hang", "reset", "refuse")
# Linux closes a connection after this time without an acknowledgement of sent bytes, or of
# keepalive probes if nothing was sent.
_UNACKNOWLEDGED_SECONDS = TARGET_UNACKNOWLEDGED_TIMEOUT_MS / 1000
_IDLE_SECONDS = 3.0

_gateway: contextvars.ContextVar[str] = contextvars.ContextVar("gateway", default="")


async def run_as(gateway, coroutine):
    """Run `coroutine` in a context of its own, which marks its connections as this gateway's."""

    async def marked():
        _gateway.set(gateway)
        return await coroutine

    return await asyncio.create_task(marked())


class Partition:
    """Intercept connections of gateways; use one instance per event loop."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self._create_connection = loop.create_connection
        loop.create_connection = self._connect
        # Open connections as (gateway, address, transport).
        self._open = []
        # How each gateway is cut off, by gateway and address.
        self._cuts: dict[tuple[str, str], str] = {}
        # (gateway, address) of each connection that was established.
        self.established = []

    def cut(self, gateway, addresses, how):
        """Cut a gateway off from targets.

        `hang`: nothing arrives, `reset`: connections are reset, `refuse`: existing connections keep
        working; new ones are refused in the last two cases.
        """
        for address in addresses:
            self._cuts[gateway, address] = how
        for owner, address, transport in self._open:
            if owner != gateway or address not in addresses or transport.is_closing():
                continue
            if how == "reset":
                transport._force_close(ConnectionResetError(errno.ECONNRESET, "reset"))
            elif how == "hang":
                _hang(transport)

    def heal(self, gateway):
        """Restore the paths of a gateway; connections that hang stay lost."""
        self._cuts = {key: how for key, how in self._cuts.items() if key[0] != gateway}

    async def _connect(self, factory, host=None, port=None, **options):
        gateway, address = _gateway.get(), f"{host}:{port}"
        how = self._cuts.get((gateway, address))
        if how == "hang":
            await asyncio.sleep(3600)
        if how is not None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"{address} is cut off")
        transport, protocol = await self._create_connection(factory, host, port, **options)
        self._open.append((gateway, address, transport))
        self.established.append((gateway, address))
        return transport, protocol


def _hang(transport):
    """Deliver nothing on a connection any more, until its kernel would give up."""
    loop = asyncio.get_running_loop()

    def time_out():
        transport._force_close(TimeoutError(errno.ETIMEDOUT, "timed out"))

    def drop(data):
        loop.call_later(_UNACKNOWLEDGED_SECONDS, time_out)

    transport.pause_reading()
    transport.write = drop
    loop.call_later(_IDLE_SECONDS, time_out)
