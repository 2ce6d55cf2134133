"""Length-prefixed frames over asyncio streams, and the signed `Hello` that opens a link."""

import asyncio
import hashlib
import hmac
import secrets

from traystall.core.exceptions import RpcError
from traystall.rpc import traffic
from traystall.rpc.gen.wire.ttypes import Frame, Hello
from traystall.rpc.messages import PROTOCOL_VERSION, decode, encode

MAX_FRAME_BYTES = 64 * 1024 * 1024
_LENGTH_BYTES = 4
_NONCE_BYTES = 16


def write_frame(writer: asyncio.StreamWriter, frame: Frame) -> int:
    """Queue `frame` on `writer` and return its size in bytes."""
    data = encode(frame)
    writer.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
    size = len(data) + _LENGTH_BYTES
    traffic.count_out(frame.method, size)
    return size


async def read_frame(reader: asyncio.StreamReader, limit: int = MAX_FRAME_BYTES) -> Frame:
    """Return the next frame; raise RpcError if it is over `limit` bytes or malformed."""
    frame, _ = await read_sized_frame(reader, limit)
    return frame


async def read_sized_frame(
    reader: asyncio.StreamReader, limit: int = MAX_FRAME_BYTES
) -> tuple[Frame, int]:
    """Return the next frame and its size in bytes; raise as `read_frame` does."""
    prefix = await reader.readexactly(_LENGTH_BYTES)
    length = int.from_bytes(prefix, "big")
    if length > limit:
        raise RpcError(f"A frame of {length} bytes is over the limit of {limit}.")
    data = await reader.readexactly(length)
    size = length + _LENGTH_BYTES
    try:
        frame = decode(Frame, data)
    except RpcError:
        traffic.count_in(None, size)
        raise
    traffic.count_in(frame.method, size)
    return frame, size


def split_frame(data: bytes) -> tuple[Frame, bytes] | None:
    """Return the first frame in `data` and the bytes after it, or None if it is incomplete."""
    length = int.from_bytes(data[:_LENGTH_BYTES], "big")
    if length > MAX_FRAME_BYTES:
        raise RpcError(f"A frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}.")
    end = _LENGTH_BYTES + length
    if len(data) < max(end, _LENGTH_BYTES):
        return None
    return decode(Frame, data[_LENGTH_BYTES:end]), data[end:]


def make_hello(cluster: str, role: str, sender: str, secret: str) -> Hello:
    """Return the `Hello` of a link, signed if a shared secret is set."""
    hello = Hello(
        cluster=cluster,
        role=role,
        protocol=PROTOCOL_VERSION,
        sender=sender,
        nonce=secrets.token_bytes(_NONCE_BYTES),
    )
    hello.signature = _sign(hello, secret)
    return hello


def refusal_reason(hello: Hello, cluster: str, secret: str) -> str:
    """Return why a `Hello` must be refused, or an empty string if it is valid."""
    if hello.cluster != cluster:
        return f"This process belongs to cluster '{cluster}', not '{hello.cluster}'."
    if hello.protocol != PROTOCOL_VERSION:
        return f"Protocol {hello.protocol} is not spoken here, only {PROTOCOL_VERSION}."
    if secret and not hmac.compare_digest(hello.signature or b"", _sign(hello, secret)):
        return "The greeting is not signed with this cluster's secret."
    return ""


def _sign(hello: Hello, secret: str) -> bytes:
    if not secret:
        return b""
    text = f"{hello.cluster}\n{hello.role}\n{hello.protocol}\n{hello.sender}\n".encode()
    return hmac.new(secret.encode(), text + (hello.nonce or b""), hashlib.sha256).digest()
