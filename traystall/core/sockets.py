"""Socket options that make a silent cut of the network show."""

import contextlib
import socket

# A peer that has not acknowledged bytes for this long is taken for cut off, in milliseconds.
UNACKNOWLEDGED_MS = 900
# An idle or listening side asks after this many seconds whether the peer is there.
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2


def notice_silence(transport) -> None:
    """Let the kernel end a TCP connection whose peer has fallen silent.

    Without this a connection through a cut hangs for many minutes.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    # A socket that is closed already, or of another family, is left as it is.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
