"""Traffic of a process's links: bytes and calls by message type, late replies, unsent bytes.

Counts are kept as plain numbers because they change with every frame; they are published
as metrics when the metrics are rendered.
"""

import asyncio
from collections import Counter

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcRefused, RpcTimeout, RpcUnavailable
from traystall.rpc.gen.wire.ttypes import Method

# Label of a frame that can't be decoded or whose method this process does not know.
UNKNOWN_KIND = "unknown"
# Peers report their own role; an unknown role is counted under this label.
OTHER_ROLE = "other"
_ROLES = ("control", "gateway", "operator", OTHER_ROLE)
# An opened link knows the address of its peer but not the role of the peer.
_ANY_ROLE = "any"

_ACCEPTED = "accepted"
_OPENED = "opened"
_LINKS = ((_OPENED, _ANY_ROLE), *((_ACCEPTED, role) for role in _ROLES))
_KINDS = {value: name.lower() for value, name in Method._VALUES_TO_NAMES.items()}
_ANSWERED = "answered"
_FAILED = "failed"
_OUTCOMES = {
    RpcRefused: "refused",
    RpcTimeout: "timed-out",
    RpcUnavailable: "unavailable",
    asyncio.CancelledError: "cancelled",
}

_bytes_in: Counter[str] = Counter()
_bytes_out: Counter[str] = Counter()
_late_bytes: Counter[str] = Counter()
_calls: Counter[tuple[str, str]] = Counter()
_open_writers: dict[asyncio.StreamWriter, tuple[str, str]] = {}


def kind_of(method: int | None) -> str:
    """Return the kind of message that a method stands for, in lower case."""
    return _KINDS.get(method, UNKNOWN_KIND)


def count_in(method: int | None, size: int) -> None:
    """Count a frame of `size` bytes that was read; its method is None if it can't be read."""
    _bytes_in[kind_of(method)] += size


def count_out(method: int, size: int) -> None:
    """Count a frame of `size` bytes that was queued for sending."""
    _bytes_out[kind_of(method)] += size


def count_late(method: int | None, size: int) -> None:
    """Count a reply of `size` bytes whose caller had given up."""
    _late_bytes[kind_of(method)] += size


class CountedCall:
    """Count the call made in its `with` block, by outcome, and the seconds until its end."""

    __slots__ = ("_kind", "_started_at")

    def __init__(self, method: int):
        self._kind = kind_of(method)

    def __enter__(self):
        self._started_at = clock.monotonic()

    def __exit__(self, error_type, error, traceback):
        outcome = _ANSWERED if error_type is None else _OUTCOMES.get(error_type, _FAILED)
        _calls[self._kind, outcome] += 1
        seconds = clock.monotonic() - self._started_at
        metrics.rpc_call_seconds.observe({"kind": self._kind}, seconds)


def watch_opened(writer: asyncio.StreamWriter) -> None:
    """Start to report the unsent bytes of a link that this process opened."""
    _open_writers[writer] = (_OPENED, _ANY_ROLE)


def watch_accepted(writer: asyncio.StreamWriter, role: str | None) -> None:
    """Start to report the unsent bytes of a link that a peer of `role` opened."""
    _open_writers[writer] = (_ACCEPTED, role if role in _ROLES else OTHER_ROLE)


def unwatch(writer: asyncio.StreamWriter) -> None:
    """Stop reporting a closed link."""
    _open_writers.pop(writer, None)


def _publish() -> None:
    """Write the counts into the metrics."""
    for direction, counts in (("in", _bytes_in), ("out", _bytes_out)):
        for kind, size in counts.items():
            metrics.rpc_bytes_total.set({"direction": direction, "kind": kind}, size)
    for kind, size in _late_bytes.items():
        metrics.rpc_late_reply_bytes_total.set({"kind": kind}, size)
    for (kind, outcome), calls in _calls.items():
        metrics.rpc_calls_total.set({"kind": kind, "outcome": outcome}, calls)
    for (side, role), size in _unsent_bytes().items():
        metrics.rpc_unsent_bytes.set({"link": side, "peer": role}, size)


def _unsent_bytes() -> dict[tuple[str, str], int]:
    """Return the bytes that wait in this process's write buffers, by side and peer's role."""
    found = dict.fromkeys(_LINKS, 0)
    for writer, link in _open_writers.items():
        found[link] += writer.transport.get_write_buffer_size()
    return found


metrics.render_callbacks.append(_publish)
