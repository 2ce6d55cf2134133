"""A lost connection gives back at once what its response held."""

import asyncio
import gc
import weakref

from traystall.http.messages import Response
from traystall.http.server import HttpServer

# Far more than the kernel takes of a response that nobody reads.
BODY_BYTES = 16_000_000


class _Response(Response, weakref=True):
    """A response that can be referenced weakly."""


def test_response_of_a_lost_connection_is_released_without_a_collection():
    """The connection, its cancelled task and the frames of the task kept each other alive."""
    kept = []

    async def handle(request):
        response = _Response(200, [], bytes(BODY_BYTES))
        kept.append(weakref.ref(response))
        return response

    async def scenario():
        server = HttpServer(handle)
        await server.listen("127.0.0.1:0")
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readexactly(1)
        writer.transport.abort()
        async with asyncio.timeout(5):
            while kept[0]() is not None:
                await asyncio.sleep(0.01)
        await server.close(0.1)

    gc.collect()
    gc.disable()
    try:
        asyncio.run(scenario())
    finally:
        gc.enable()
