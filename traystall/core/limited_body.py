"""Read the body of a response up to a limit: a body without end must not fill the memory."""

import aiohttp

_READ_BYTES = 64 * 1024
# For documents about a target's state.
MAX_DOCUMENT_BYTES = 1024 * 1024


async def read_limited(response: aiohttp.ClientResponse, limit: int = MAX_DOCUMENT_BYTES) -> bytes:
    """Return the body; close the connection and raise ClientPayloadError over `limit` bytes."""
    body = bytearray()
    async for part in response.content.iter_chunked(_READ_BYTES):
        body += part
        if len(body) > limit:
            response.close()
            raise aiohttp.ClientPayloadError(f"The body is over {limit} bytes.")
    return bytes(body)
