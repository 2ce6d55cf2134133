"""Storage of the targets on disk, so that a control group knows them at once after a power loss.

The stored targets are a hint. A starting daemon publishes them as targets whose last report is some
time ago: they are used at first, and dropped soon unless they report again. A lost, truncated or
outdated file does no harm, so nothing waits for it to be written.
"""

import os
from pathlib import Path

import msgspec
import xxhash

from traystall.core.exceptions import DiskFailed
from traystall.core.serialization import pack, unpack
from traystall.registry.models import TargetReport

_FILE = "targets"
_CHECKSUM_BYTES = 8


class TargetStore:
    """The file of stored targets in a data folder. All methods block."""

    def __init__(self, folder: str):
        self._path = Path(folder) / _FILE

    def load(self) -> list[TargetReport]:
        """Return the stored targets, or none if the file is missing or corrupt."""
        try:
            data = self._path.read_bytes()
        except OSError:
            return []
        if xxhash.xxh64_digest(data[_CHECKSUM_BYTES:]) != data[:_CHECKSUM_BYTES]:
            return []
        try:
            return unpack(data[_CHECKSUM_BYTES:], list[TargetReport])
        except msgspec.DecodeError:
            return []

    def save(self, reports: list[TargetReport]) -> None:
        """Replace the stored targets; raise DiskFailed if they can't be written."""
        data = pack(reports)
        try:
            with open(self._path, "wb") as file:
                file.write(xxhash.xxh64_digest(data) + data)
                file.flush()
                os.fsync(file.fileno())
        except OSError as error:
            raise DiskFailed(f"{self._path} could not be written: {error}.") from error
