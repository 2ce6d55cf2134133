"""Chunked transfer yields the same revision for any chunk sizes, sources and lost chunks."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from traystall.catalog.deltas import apply_delta, entities_digest, make_delta
from traystall.catalog.transfers import (
    INITIAL_CHUNK_BYTES,
    INITIAL_CHUNK_TIMEOUT_SECONDS,
    MAX_CACHED_BYTES,
    ChunkSizer,
    IncomingCopy,
    PackedCopyCache,
    RevisionCopy,
    delta_copy,
    full_copy,
    pack_copy,
    unpack_copy,
)
from traystall.core import clock
from traystall.core.exceptions import DeltaMismatch

ENTITIES = st.dictionaries(st.text(max_size=8), st.binary(max_size=64), max_size=12)


@settings(deadline=None, derandomize=True)
@given(old=ENTITIES, new=ENTITIES)
def test_pack_and_unpack(old, new):
    for copy in (delta_copy(make_delta(old, new)), full_copy(new, entities_digest(new))):
        assert unpack_copy(pack_copy(copy).data) == copy


@settings(deadline=None, derandomize=True)
@given(new=ENTITIES, seed=st.integers())
def test_bytes_do_not_depend_on_the_order_of_entities(new, seed):
    """Another source must be able to continue a transfer, so its packed bytes must be equal."""
    keys = list(new)
    random.Random(seed).shuffle(keys)
    shuffled = {key: new[key] for key in keys}
    result = entities_digest(new)
    assert pack_copy(full_copy(new, result)) == pack_copy(full_copy(shuffled, result))


@settings(max_examples=50, deadline=None, derandomize=True)
@given(
    data=st.binary(min_size=1, max_size=2000),
    chunks=st.lists(st.tuples(st.integers(0, 2000), st.integers(1, 700)), max_size=20),
)
def test_chunks_that_are_late_doubled_or_ahead_change_nothing(data, chunks):
    copy = RevisionCopy(True, b"", b"r", {"a": data}, [])
    packed = pack_copy(copy)
    incoming = IncomingCopy(packed.digest, len(packed.data))
    for offset, length in chunks:
        before = incoming.offset
        moved = incoming.add(offset, packed.data[offset : offset + length])
        assert moved == (offset == before and offset < len(packed.data))
    while not incoming.is_complete:
        incoming.add(incoming.offset, packed.data[incoming.offset : incoming.offset + 100])
    assert incoming.unpack() == copy


@pytest.mark.parametrize("damage", ["cut", "changed", "none of ours"])
def test_damaged_bytes_are_rejected(damage):
    packed = pack_copy(full_copy({"a": b"1"}, b"r"))
    data = {
        "cut": packed.data[:-1],
        "changed": packed.data[:-1] + bytes([packed.data[-1] ^ 1]),
        "none of ours": b"no such thing",
    }[damage]
    with pytest.raises(DeltaMismatch):
        unpack_copy(data)
    incoming = IncomingCopy(packed.digest, len(data))
    incoming.add(0, data)
    with pytest.raises(DeltaMismatch):
        incoming.unpack()


def test_copy_is_packed_once_and_the_oldest_is_evicted_first():
    made = []

    def make(name):
        def copy():
            made.append(name)
            return full_copy({"a": name}, name)

        return copy

    kept = PackedCopyCache(kept=2)
    first = kept.get(b"", b"1", make(b"1"))
    kept.get(b"", b"2", make(b"2"))
    assert kept.get(b"", b"1", make(b"1")) is first
    kept.get(b"", b"3", make(b"3"))
    assert made == [b"1", b"2", b"3"]
    assert kept.find(first.digest) is first
    assert kept.find(pack_copy(full_copy({"a": b"2"}, b"2")).digest) is None


def test_bytes_wasted_by_consecutive_failures_are_bounded():
    """Late chunks are discarded: failures in a row waste less than two initial chunks."""
    pace, wasted = ChunkSizer(), 0
    for _ in range(4):
        wasted += pace.bytes
        pace.on_failure()
    assert wasted < 2 * INITIAL_CHUNK_BYTES
    assert pace.seconds > 4 * INITIAL_CHUNK_TIMEOUT_SECONDS
    pace.on_chunk(1.0)
    assert pace.seconds == INITIAL_CHUNK_TIMEOUT_SECONDS


def test_deltas_of_renamed_entities_take_linear_time():
    """Inserting a route before the others changes all 4,000 keys."""
    old = {f"routes/{i:06d}": b"%d" % i for i in range(4000)}
    new = {f"routes/{i + 9000:06d}": b"%d" % i for i in range(4000)}
    delta = make_delta(old, new)
    began = clock.monotonic()
    assert apply_delta(old, entities_digest(old), delta) == new
    assert clock.monotonic() - began < 0.5


@settings(deadline=None, derandomize=True)
@given(old=ENTITIES, new=ENTITIES)
def test_entities_are_kept_in_order_of_their_keys(old, new):
    """Packing sorted entities takes linear time."""
    delta = make_delta(old, new)
    assert list(delta.puts) == sorted(delta.puts)
    result = apply_delta(old, entities_digest(old), delta)
    assert result == new and list(result) == sorted(result)


def test_cached_copies_are_limited_by_their_bytes():
    """Copies of large configurations were limited by their number alone."""
    cache = PackedCopyCache()
    rng = random.Random(1)
    for number in range(10):
        result = bytes([number])
        content = {"k": rng.randbytes(3 * 1024 * 1024)}
        cache.get(b"", result, lambda content=content, result=result: full_copy(content, result))
    cached = list(cache._packed.values())
    assert sum(len(packed.data) for packed in cached) <= MAX_CACHED_BYTES
    assert cached[-1] == pack_copy(full_copy(content, result))
