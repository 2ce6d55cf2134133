"""Checksummed records of a log segment, and how a torn tail is told from damage.

A record is a header (length, checksum of the length, checksum of the payload)
and a payload. One group commit is one record, and each record is synced before
the next is written, so a crash can tear only the last one.
"""

import struct

import msgspec
import xxhash

from traystall.core.exceptions import CorruptLog

_HEADER = struct.Struct(">III")


class ScanResult(msgspec.Struct, frozen=True):
    """Hold the payloads of a segment and the length of its sound part in bytes."""

    payloads: list[bytes]
    sound_bytes: int


def encode_record(payload: bytes) -> bytes:
    """Return `payload` behind its header."""
    length = len(payload)
    return _HEADER.pack(length, _length_sum(length), xxhash.xxh32_intdigest(payload)) + payload


def scan(data: bytes, name: str, is_last: bool) -> ScanResult:
    """Return the sound records of a segment; raise CorruptLog on damage before its tail."""
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_at(data, offset)
        if payload is None:
            _require_torn_tail(data, offset, name, is_last)
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return ScanResult(payloads, offset)


def _read_at(data, offset):
    """Return the payload of the record at `offset`, or None if it is not sound."""
    if offset + _HEADER.size > len(data):
        return None
    length, length_sum, payload_sum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if length_sum != _length_sum(length) or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if xxhash.xxh32_intdigest(payload) == payload_sum else None


def _require_torn_tail(data, offset, name, is_last):
    if is_last and not _sound_record_follows(data, offset):
        return
    raise CorruptLog(
        f"{name} is damaged at byte {offset}, before sound records. This disk can't be trusted: "
        "move its data folder away and replace this member (see the repair page)."
    )


def _sound_record_follows(data, offset):
    """Return whether any sound record starts after the unsound one at `offset`."""
    if offset + _HEADER.size <= len(data):
        length, length_sum, _ = _HEADER.unpack_from(data, offset)
        end = offset + _HEADER.size + length
        if length_sum == _length_sum(length):
            return end < len(data)
    return any(_read_at(data, start) for start in range(offset + 1, len(data) - _HEADER.size))


def _length_sum(length):
    return xxhash.xxh32_intdigest(length.to_bytes(4, "big"), seed=length & 0xFFFF)
