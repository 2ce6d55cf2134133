"""Pack deltas and full copies of a configuration into bytes that are transferred in chunks.

A slow link may not carry a whole configuration before a reasonable timeout. With chunks a
timeout loses none of the received data, and another source that packs the same bytes can
continue the transfer. Everything here is pure.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from traystall.catalog.deltas import Delta
from traystall.core.exceptions import DeltaMismatch
from traystall.core.serialization import digest, pack, unpack

# The fastest level: 600 KB of routes become 37 KB in 4 ms, at the highest 33 KB in 7 ms.
_COMPRESSION_LEVEL = 1
# Number of packed copies that a source caches: one for each base that gateways still hold.
MAX_CACHED_COPIES = 16
# The same in bytes; the newest copy is cached whatever its size.
MAX_CACHED_BYTES = 8 * 1024 * 1024
# Limit on the unpacked size, equal to the frame limit, as a protection against corrupt data.
_MAX_UNPACKED_BYTES = 64 * 1024 * 1024

# Chunk sizes: on an idle 5 Mbit/s link the first takes 26 ms and the smallest 3 ms.
INITIAL_CHUNK_BYTES = 16 * 1024
_MIN_CHUNK_BYTES = 2 * 1024
_MAX_CHUNK_BYTES = 64 * 1024
# Timeout of a chunk: the initial value, and the limit after repeated timeouts.
INITIAL_CHUNK_TIMEOUT_SECONDS = 0.6
_MAX_CHUNK_TIMEOUT_SECONDS = 4.8
# After a chunk that took less than this the next chunk is larger.
_FAST_CHUNK_SECONDS = 0.1


class RevisionCopy(msgspec.Struct, frozen=True):
    """Hold the revision with digest `result`: as a delta from `base`, or whole if `full`."""

    full: bool
    base: bytes
    result: bytes
    puts: dict[str, bytes]
    deletes: list[str]


class PackedCopy(msgspec.Struct, frozen=True):
    """Hold a packed copy; `digest` identifies its bytes, which may come from several sources."""

    digest: bytes
    data: bytes


def full_copy(entities: dict[str, bytes], result: bytes) -> RevisionCopy:
    """Return the copy that holds a whole revision."""
    return RevisionCopy(True, b"", result, entities, [])


def delta_copy(delta: Delta) -> RevisionCopy:
    """Return the copy that holds a delta."""
    return RevisionCopy(False, delta.base, delta.result, delta.puts, sorted(delta.deletes))


def pack_copy(copy: RevisionCopy) -> PackedCopy:
    """Return a copy packed; equal copies give equal bytes at every source of one release."""
    data = zlib.compress(pack(copy), _COMPRESSION_LEVEL)
    return PackedCopy(digest(data), data)


def unpack_copy(data: bytes) -> RevisionCopy:
    """Return a packed copy unpacked; raise DeltaMismatch if it is damaged."""
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, _MAX_UNPACKED_BYTES)
        if not inflater.eof:
            raise DeltaMismatch("A packed revision is cut or too large.")
        return unpack(raw, RevisionCopy)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DeltaMismatch(f"A packed revision can't be read: {error}.") from error


class PackedCopyCache:
    """Cache packed copies and evict the least recently used one.

    Hundreds of gateways request the same copy within a second or two; it is packed once.
    """

    def __init__(self, kept: int = MAX_CACHED_COPIES):
        self._kept = kept
        self._packed: OrderedDict[tuple[bytes, bytes], PackedCopy] = OrderedDict()

    def get(self, base: bytes, result: bytes, make: Callable[[], RevisionCopy]) -> PackedCopy:
        """Return the copy from `base` to `result`, made by `make` if it is not kept."""
        pair = (base, result)
        packed = self._packed.get(pair)
        if packed is None:
            packed = self._packed[pair] = pack_copy(make())
            self._evict()
        self._packed.move_to_end(pair)
        return packed

    def _evict(self):
        size = sum(len(packed.data) for packed in self._packed.values())
        while len(self._packed) > self._kept or (size > MAX_CACHED_BYTES and len(self._packed) > 1):
            _, evicted = self._packed.popitem(last=False)
            size -= len(evicted.data)

    def find(self, packed_digest: bytes) -> PackedCopy | None:
        """Return the copy whose packed bytes have this digest if it is kept."""
        for pair, packed in self._packed.items():
            if packed.digest == packed_digest:
                self._packed.move_to_end(pair)
                return packed
        return None


class IncomingCopy:
    """Gather the chunks of one packed copy, in order."""

    def __init__(self, packed_digest: bytes, size: int):
        self.digest = packed_digest
        self.size = size
        self._data = bytearray()

    @property
    def offset(self) -> int:
        """Return how many bytes have arrived; the next chunk starts there."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Return whether every byte has arrived."""
        return len(self._data) >= self.size

    def add(self, offset: int, data: bytes) -> bool:
        """Append a chunk if it starts at the current offset; return whether it was appended."""
        if offset != len(self._data) or not data:
            return False
        self._data += data
        return True

    def unpack(self) -> RevisionCopy:
        """Return the copy; raise DeltaMismatch if the bytes do not match the offered digest."""
        data = bytes(self._data)
        if digest(data) != self.digest:
            raise DeltaMismatch("A packed revision does not have the digest it came with.")
        return unpack_copy(data)


class ChunkSizer:
    """Choose the size and the timeout of the next chunk.

    A chunk that arrives after its timeout is discarded, so each failure halves the size of the
    next chunk and doubles its timeout. Consecutive failures waste less than two chunks, and the
    transfer makes progress at any bandwidth.
    """

    def __init__(self):
        self.bytes = INITIAL_CHUNK_BYTES
        self.seconds = INITIAL_CHUNK_TIMEOUT_SECONDS

    def on_chunk(self, seconds: float) -> None:
        """Record a chunk that arrived after `seconds`."""
        self.seconds = INITIAL_CHUNK_TIMEOUT_SECONDS
        if seconds < _FAST_CHUNK_SECONDS:
            self.bytes = min(_MAX_CHUNK_BYTES, 2 * self.bytes)

    def on_failure(self) -> None:
        """Record a chunk that timed out."""
        self.bytes = max(_MIN_CHUNK_BYTES, self.bytes // 2)
        self.seconds = min(_MAX_CHUNK_TIMEOUT_SECONDS, 2 * self.seconds)
