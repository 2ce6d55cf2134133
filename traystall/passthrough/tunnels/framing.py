"""Frames of the responses in a tunnel: a length and that many bytes, or an end mark.

The end mark says that the target closed its connection in order. The end of the tunnel itself says
nothing about the target: a kernel closes the connections of a killed process in order too.
"""

from collections.abc import Iterator

from traystall.core.exceptions import RpcError

_LENGTH_BYTES = 4
# A longer frame is invalid; the gateway that writes the frames reads less at once.
MAX_FRAME_BYTES = 1024 * 1024
END_MARK = bytes(_LENGTH_BYTES)


def frame(data: bytes) -> bytes:
    """Return the frame of some bytes of a response; there is none for no bytes."""
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


class FrameDecoder:
    """Collect bytes of a tunnel, and return what its frames carry."""

    def __init__(self):
        self._buffer = bytearray()
        # Whether the end mark has come.
        self.has_ended = False

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the contents of the frames that are complete now.

        Raise RpcError for a frame that is too long, or bytes after the end mark.
        """
        self._buffer += data
        while len(self._buffer) >= _LENGTH_BYTES:
            if self.has_ended:
                raise RpcError("Bytes came after the end of a tunnel.")
            length = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise RpcError(f"A frame of {length} bytes is over {MAX_FRAME_BYTES}.")
            end = _LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            content = bytes(self._buffer[_LENGTH_BYTES:end])
            del self._buffer[:end]
            if content:
                yield content
            else:
                self.has_ended = True
