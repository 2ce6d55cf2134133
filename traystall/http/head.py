"""Collect the head of one request within a limit that holds while its lines are parsed. Pure."""

from traystall.http.exceptions import HeadTooLarge
from traystall.http.messages import Header

# What a header is sent with besides its name and value: a colon and the end of the line.
_LINE_BYTES = 3
# Memory of one header besides its bytes: a tuple and two objects.
_HEADER_OVERHEAD_BYTES = 160


class RequestHead:
    """The target and the headers received so far.

    Sizes are what the parts take on the wire at least, so that a head of exactly the limit passes.
    The size of a line also limits the number of headers: the memory of a short one is many times
    its bytes.
    """

    __slots__ = ("target", "headers", "_limit_bytes", "_size", "_unparsed_bytes")

    def __init__(self, limit_bytes: int):
        self.target = b""
        self.headers: list[Header] = []
        self._limit_bytes = limit_bytes
        self._size = 0
        self._unparsed_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory that the head takes."""
        size = max(self._size, self._unparsed_bytes)
        return size + len(self.headers) * _HEADER_OVERHEAD_BYTES

    def add_target(self, part: bytes) -> None:
        """Add a part of the target; raise HeadTooLarge."""
        self.target += part
        self._grow(len(part))

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header; raise HeadTooLarge."""
        self.headers.append((name, value.strip()))
        self._grow(len(name) + len(value) + _LINE_BYTES)

    def on_received(self, size: int) -> None:
        """Count `size` bytes on the wire; raise HeadTooLarge.

        The parser keeps a name or a value until it is complete.
        """
        self._unparsed_bytes += size
        if self._unparsed_bytes > self._limit_bytes:
            raise HeadTooLarge

    def _grow(self, size):
        self._size += size
        if self._size > self._limit_bytes:
            raise HeadTooLarge
