"""Detection of peers that have gone, silently or while nothing is read from them."""

import contextlib
import select
import socket
import struct

# A peer that does not acknowledge sent bytes for this long counts as unreachable. The kernel gives
# up keepalive probes after the same time, whatever their count.
UNACKNOWLEDGED_TIMEOUT_MS = 900
# The same for targets: a sound one may be silent for a second or two and then go on.
TARGET_UNACKNOWLEDGED_TIMEOUT_MS = 2500
# Interval of keepalive probes on a connection without unacknowledged bytes.
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
# Interval in which connections that are not read are checked with `has_peer_closed`.
PEER_CHECK_SECONDS = 0.1
# SO_LINGER with a time of 0.
_LINGER_ZERO = struct.pack("ii", 1, 0)
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


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


def has_peer_closed(transport) -> bool:
    """Return whether the peer has closed or reset a connection, also behind unread data.

    A transport that does not read reports no close. A close behind data that the kernel has no
    room for is not seen.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(events & _CLOSED_EVENTS for _, events in poll.poll(0))


def has_unread_bytes(transport) -> bool:
    """Return whether bytes have arrived that the event loop has not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return any(events & select.POLLIN for _, events in poll.poll(0))


def limit_receive_buffer(sock, size: int) -> None:
    """Limit what the kernel keeps of a peer that is not read; accepted sockets inherit it.

    The kernel reserves twice the size.
    """
    # A closed socket, or one of another family, rejects the option.
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def reset_on_close(transport) -> None:
    """Make the close of a connection reset it, so that the kernel drops what is not sent yet."""
    sock = transport.get_extra_info("socket")
    # The option fails only on a socket that is closed already.
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
