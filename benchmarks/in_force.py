"""Measure the latency of configuration changes and refusals in a recorded day, as histograms.

    python -m benchmarks.in_force LOG [LOG ...]

LOG is the output of the users' bench with `--log all`: each line begins with the simulated
second and the instance. The output has the seconds from the acceptance of a revision by the
control group until it is in force at each gateway (from the gateway's start, if the gateway was
down in between), and from the arrival of a request to its refusal.
"""

import re
import sys
from collections import defaultdict

import msgspec

_LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
# A revision applied this shortly before the "started" record belongs to the new incarnation.
_STARTING_SECONDS = 1.0
# Upper bounds of the histogram's columns, in seconds.
_BOUNDS = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0)


class Event(msgspec.Struct, frozen=True):
    """Hold one log line: simulated time in seconds, instance, message and fields."""

    at: float
    instance: str
    message: str
    fields: dict


def read_events(path: str) -> list[Event]:
    """Return the JSON lines of one recorded day."""
    events = []
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            found = _LINE.match(text)
            if not found:
                continue
            try:
                fields = msgspec.json.decode(found[3], type=dict)
            except msgspec.DecodeError:
                continue
            events.append(Event(float(found[1]), found[2], fields.get("message", ""), fields))
    return sorted(events, key=lambda event: event.at)


def seconds_to_force(events: list[Event]) -> list[float]:
    """Return the time until each revision was in force at each gateway."""
    accepted: dict[int, float] = {}
    started: dict[str, float] = {}
    held: dict[str, int] = defaultdict(int)
    taken: dict[str, float] = {}
    found = []
    for event in events:
        if event.message == "apply" and event.fields.get("outcome") == "accepted":
            accepted.setdefault(event.fields["number"], event.at)
        elif event.message == "started":
            started[event.instance] = event.at
            if event.at - taken.get(event.instance, float("-inf")) > _STARTING_SECONDS:
                held[event.instance] = 0
        elif event.message == "configuration":
            number = event.fields["number"]
            skipped = [n for n in accepted if held[event.instance] < n <= number]
            since = started.get(event.instance, float("-inf"))
            found += [event.at - max(accepted[n], since) for n in skipped]
            held[event.instance] = number
            taken[event.instance] = event.at
    return found


def seconds_to_refusal(events: list[Event]) -> list[float]:
    """Return the time until the refusal of each refused request."""
    return [
        event.fields["seconds"]
        for event in events
        if event.message == "passed" and event.fields["outcome"].startswith("refused")
    ]


def table_row(name: str, values: list[float]) -> str:
    """Return one row of the table: count, histogram, largest value."""
    counts = []
    low = float("-inf")
    for bound in (*_BOUNDS, float("inf")):
        counts.append(sum(low < value <= bound for value in values))
        low = bound
    largest = f"{max(values):.2f}" if values else "-"
    return f"| {name} | {len(values)} | {' | '.join(map(str, counts))} | {largest} |"


def main() -> None:
    """Print one table for all logs together."""
    days = [read_events(path) for path in sys.argv[1:]]
    heads = [f"<= {bound}" for bound in _BOUNDS]
    print(f"| seconds | n | {' | '.join(heads)} | more | largest |")
    print("|---" * (len(_BOUNDS) + 4) + "|")
    print(table_row("accepted to in force", [s for day in days for s in seconds_to_force(day)]))
    print(table_row("arrival to refusal", [s for day in days for s in seconds_to_refusal(day)]))


if __name__ == "__main__":
    main()
