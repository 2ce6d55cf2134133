"""Checksummed records of a log segment, and the distinction between a torn tail and corruption.

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
    """Hold the valid payloads of a segment and the length in bytes of its valid part."""

    payloads: list[bytes]
    valid_bytes: int


def encode_record(payload: bytes) -> bytes:
    """Return `payload` with its header in front."""
    length = len(payload)
    return _HEADER.pack(length, _length_checksum(length), xxhash.xxh32_intdigest(payload)) + payload


def scan(data: bytes, name: str, is_last: bool) -> ScanResult:
    """Return the valid records of a segment; raise CorruptLog if it is damaged before its tail.

    Only the last segment may end in a torn record.
    """
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
    """Return the payload of the record at `offset`, or None if it is not valid."""
    if offset + _HEADER.size > len(data):
        return None
    length, length_checksum, payload_checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if length_checksum != _length_checksum(length) or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if xxhash.xxh32_intdigest(payload) == payload_checksum else None


def _require_torn_tail(data, offset, name, is_last):
    if is_last and not _valid_record_follows(data, offset):
        return
    raise CorruptLog(
        f"{name} is damaged at byte {offset}, before valid records. This disk can't be trusted: "
        "move its data folder away and replace this member (see the repair page)."
    )


def _valid_record_follows(data, offset):
    """Return whether any data or valid record follows the invalid record at `offset`.

    If the record's length is intact, any data after it counts.
    """
    if offset + _HEADER.size <= len(data):
        length, length_checksum, _ = _HEADER.unpack_from(data, offset)
        end = offset + _HEADER.size + length
        if length_checksum == _length_checksum(length):
            return end < len(data)
    return any(_read_at(data, start) for start in range(offset + 1, len(data) - _HEADER.size))


def _length_checksum(length):
    return xxhash.xxh32_intdigest(length.to_bytes(4, "big"), seed=length & 0xFFFF)
