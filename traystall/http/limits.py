"""What one client may send on a connection, and how long it may take. Pure; seconds and bytes."""

import enum

import msgspec


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limit the size and the duration of what a client sends.

    `head_bytes` limits a head, as it is sent. It also limits blank lines before a request, and the
    bytes between two parts of a body.
    """

    head_bytes: int = 64 * 1024
    head_seconds: float = 10.0
    # Keep-alive connections are closed after this long without a request. A client that stops for
    # this long inside a body, or while it reads a response, has given up too.
    idle_seconds: float = 60.0
    # After a response that precedes the end of the request body, the rest of the body is read
    # for this long and up to this size, so that the client gets the response and not a connection
    # reset.
    linger_seconds: float = 2.0
    linger_bytes: int = 16 * 1024 * 1024


class Stage(enum.Enum):
    """What a connection is waiting for."""

    # The client: a request, the rest of a head or of a body, reading a response.
    REQUEST = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    READING = enum.auto()
    # The rest of a request that was answered before its end.
    LINGERING = enum.auto()
    # The handler; its time is not limited here.
    HANDLER = enum.auto()


def is_overdue(stage: Stage, seconds: float, limits: ConnectionLimits) -> bool:
    """Return whether a connection has been at a stage for too long.

    `seconds` is the time since the stage began for `REQUEST`, `HEAD` and `LINGERING`, and the time
    since the client last moved for `BODY` and `READING`.
    """
    if stage is Stage.HANDLER:
        return False
    if stage is Stage.HEAD:
        return seconds > limits.head_seconds
    if stage is Stage.LINGERING:
        return seconds > limits.linger_seconds
    return seconds > limits.idle_seconds
