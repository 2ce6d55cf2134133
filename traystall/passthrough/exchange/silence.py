"""Decide whether a request whose target is silent should go on at another one. Pure functions.

A sound target may be silent for a second or two and then go on. Silence is therefore no reason to
end an attempt by itself; it is one to look for another target, and to end the attempt once that
target can take the request.
"""

import math

import msgspec

from traystall.passthrough.health.board import QUIET_SECONDS, TargetView

# If most targets of a pool are silent at once, they have a common cause, which most likely is over
# soon. A request that costs much to repeat then stays where it is for this long.
_COMMON_SILENCE_SECONDS = 2.0
# Callers give up a stream after the longest of this time and these multiples of the aims. It has to
# go on before, and needs the rest of that time to begin elsewhere.
_MIN_CALLER_PATIENCE_SECONDS = 2.0
_CALLER_PATIENCE_AIM_FACTOR = 4.0
_CALLER_PATIENCE_PAUSE_FACTOR = 8.0
_CALLER_PATIENCE_RATIO = 0.7
# This many targets have to be silent before they can have a common cause.
_MIN_COMMON_TARGETS = 2
# A probe that was answered within this time tells that its target is there.
_JUST_HEARD_SECONDS = 0.8
# The targets of a pool do not go on at the same instant after a common silence. A request waits for
# its own for this long.
_SETTLE_SECONDS = 0.3
# A target that has been heard for this long, while one of its connections stays silent, does not
# answer on that connection any more.
_DEAD_CONNECTION_SECONDS = 0.3


class PoolSilence(msgspec.Struct, frozen=True):
    """Count the targets of a pool that are known to be silent or heard now, and the silent ones.

    Targets that run no request of this gateway and have not been heard just now are unknown.
    """

    known: int = 0
    silent: int = 0

    @property
    def is_common(self) -> bool:
        """Return whether most targets are silent."""
        return self.silent >= _MIN_COMMON_TARGETS and self.silent * 2 > self.known


def pool_silence(views: list[TargetView], now: float) -> PoolSilence:
    """Return how many of the targets of a pool are silent; `now` is in monotonic seconds."""
    silent = [v for v in views if is_silent(v, now)]
    heard = [v for v in views if (v.running or is_just_heard(v, now)) and not is_silent(v, now)]
    return PoolSilence(len(silent) + len(heard), len(silent))


def is_silent(view: TargetView, now: float) -> bool:
    """Return whether a target was found silent, or owes bytes for some time."""
    return view.is_silent or view.silent_seconds(now) >= QUIET_SECONDS


def is_just_heard(view: TargetView, now: float) -> bool:
    """Return whether bytes have arrived from a target a moment ago."""
    return now - view.heard_at < _JUST_HEARD_SECONDS


class Silence(msgspec.Struct, frozen=True):
    """Describe an attempt without data.

    `seconds` is for how long, in time in which this process could read. `heard_seconds` tells for
    how long the target has been heard on other connections meanwhile, 0 if it has not.
    `is_unreachable` tells that it takes no new connection, `is_costly` that much would have to be
    read or run again elsewhere. `uncommon_seconds` is the time since most of the pool was silent,
    or since the request found several silent targets. `resumed_seconds` is the time since one of
    them was heard again. The caller gives up `caller_patience` seconds after the last data.
    """

    seconds: float
    pool: PoolSilence
    heard_seconds: float = 0.0
    is_unreachable: bool = False
    is_costly: bool = False
    uncommon_seconds: float = math.inf
    resumed_seconds: float = math.inf
    caller_patience: float = math.inf


def caller_patience(aim: float, pause_aim: float) -> float:
    """Return after how long without data callers give up a stream, in seconds."""
    return max(
        _MIN_CALLER_PATIENCE_SECONDS,
        aim * _CALLER_PATIENCE_AIM_FACTOR,
        pause_aim * _CALLER_PATIENCE_PAUSE_FACTOR,
    )


def should_move(silence: Silence) -> bool:
    """Return whether a request goes on elsewhere as soon as another target can take it."""
    if silence.is_unreachable or silence.heard_seconds >= _DEAD_CONNECTION_SECONDS:
        return True
    if not silence.is_costly:
        return True
    longest = silence.caller_patience * _CALLER_PATIENCE_RATIO
    has_settled = silence.resumed_seconds >= _SETTLE_SECONDS or silence.seconds >= longest
    if not silence.pool.is_common:
        return has_settled and silence.uncommon_seconds >= _SETTLE_SECONDS
    return has_settled and silence.seconds >= min(_COMMON_SILENCE_SECONDS, longest)
