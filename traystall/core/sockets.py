"""Socket options that detect a silently broken network path."""

import contextlib
import socket

# A peer that does not acknowledge sent bytes for this long counts as unreachable. The kernel gives
# up keepalive probes after the same time, whatever their count.
UNACKNOWLEDGED_TIMEOUT_MS = 900
# The same for targets: a sound one may be silent for a second or two and then go on.
TARGET_UNACKNOWLEDGED_TIMEOUT_MS = 2500
# Interval of keepalive probes on a connection without unacknowledged bytes.
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(transport, timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS) -> None:
    """Make the kernel close a TCP connection whose peer has not responded for `timeout_ms`.

    Without these options a connection across a network partition hangs for many minutes.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    # A closed socket, or one of another address family, rejects these options.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
