"""The origin of a stream, and the digest that names the stream."""

import hashlib

import msgspec

_DIGEST_BYTES = 16
_PURPOSE = b"stream"


class StreamOrigin(msgspec.Struct, frozen=True):
    """The pool and the software version of the targets that have written a stream.

    `targets` holds their incarnations, each with the time of its first event. The version is None
    if two versions were reported for one digest or if it is uncertain, so that the stream can't be
    continued. Times are monotonic seconds.
    """

    digest: bytes
    pool: str
    version: str | None
    expires_at: float
    targets: dict[str, float] = {}


def stream_digest(key: bytes, customer: str, request_id: str) -> bytes:
    """Return the digest of the stream that began with a request of a customer.

    It depends on the customer, so that no customer can refer to a stream of another one.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=key, person=_PURPOSE)
    digest.update(f"{customer}\0{request_id}".encode("utf-8", "surrogateescape"))
    return digest.digest()
