"""Departures of targets, as commands of the log and the table hold them."""

import msgspec


class Departure(msgspec.Struct, frozen=True):
    """A target's announcement that it leaves, or that it is gone.

    `started` is the Unix time of the target's start in milliseconds, 0 if unknown. It tells the
    lives of one identity apart.
    """

    identity: str
    gone: bool
    started: int = 0


class KeptDeparture(msgspec.Struct, frozen=True):
    """A departure with the log time (seconds) and the version of the table at its last change."""

    departure: Departure
    time: float
    version: int
