"""Canonical MessagePack encoding of typed structs, used for entities and commands."""

import hashlib

import msgspec

_encoder = msgspec.msgpack.Encoder(order="deterministic")

DIGEST_BYTES = 16


def pack(value) -> bytes:
    """Return the canonical encoding of `value`: equal values give equal bytes."""
    return _encoder.encode(value)


def unpack(data: bytes, kind):
    """Return `data` decoded and validated as `kind`; raise msgspec.DecodeError if it is not."""
    return msgspec.msgpack.decode(data, type=kind)


def digest(data: bytes) -> bytes:
    """Return the first 16 bytes of the SHA-256 hash, which identify the content."""
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]
