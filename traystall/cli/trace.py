"""Trace one request through collected log lines. Pure.

Each line holds one JSON object as the daemons write it; a prefix that a log collector
adds is skipped. Times are compared as strings because all daemons use the same format.
"""

from collections.abc import Iterable

import msgspec

# Events that belong to no request but may explain a request at the same instance and time.
_CONTEXT_EVENTS = frozenset(
    {
        "configuration",
        "data-centre-heard",
        "draining",
        "log-lines-left-out",
        "pieces-failed",
        "pieces-overdue",
        "room",
        "started",
        "watch failed",
    }
)
# Fields that every line has or that are shown separately.
_COMMON = ("time", "level", "logger", "message", "instance", "data_centre", "request", "taskName")
_OUTCOME_EVENT = "passed"


class LogLine(msgspec.Struct, frozen=True):
    """Hold one log line: its time, instance, message, request and other fields."""

    time: str
    instance: str
    message: str
    request: str
    fields: tuple[tuple[str, object], ...]

    def text(self) -> str:
        """Return the line as readable text."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.time} {self.instance} {self.message} {fields}".rstrip()


class Trace(msgspec.Struct, frozen=True):
    """Hold the log lines of one request, sorted by time.

    `context_lines` are the context events of the same instances during the request.
    """

    request: str
    outcome: str
    steps: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]


def read_line(text: str) -> LogLine | None:
    """Parse a log line; return None if the text is not one."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = msgspec.json.decode(text[start:], type=dict)
    except msgspec.DecodeError:
        return None
    if not isinstance(found.get("message"), str):
        return None
    fields = tuple((name, value) for name, value in found.items() if name not in _COMMON)
    return LogLine(
        str(found.get("time", "")),
        str(found.get("instance", "")),
        found["message"],
        str(found.get("request") or ""),
        fields,
    )


def trace(request: str, lines: Iterable[LogLine]) -> Trace:
    """Return the trace of a request; it has no steps if no line names the request."""
    steps = []
    others = []
    for line in lines:
        if line.request == request:
            steps.append(line)
        elif line.message in _CONTEXT_EVENTS:
            others.append(line)
    steps.sort(key=lambda line: line.time)
    return Trace(request, _outcome(steps), tuple(steps), _context_lines(steps, others))


def _outcome(steps) -> str:
    for line in reversed(steps):
        if line.message == _OUTCOME_EVENT:
            return str(dict(line.fields).get("outcome", ""))
    return "unknown"


def _context_lines(steps, others) -> tuple[LogLine, ...]:
    """Return the context events of the request's instances between its first and last step."""
    if not steps:
        return ()
    first, last = steps[0].time, steps[-1].time
    instances = {line.instance for line in steps}
    found = [line for line in others if line.instance in instances and first <= line.time <= last]
    return tuple(sorted(found, key=lambda line: line.time))
