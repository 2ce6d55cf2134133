"""Say what one day lost, and to what: from the bench's report and, if given, its logs.

    python -m benchmarks.account REPORT [LOG]

REPORT is what `run --report` writes, LOG what the same run with `--log edge` prints.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import fire
import msgspec

from benchmarks.compare.reports import Group, Report, read_report

# Windows that earn less than this part of what is owed are listed.
_WEAK_WINDOW = 0.85
_PIECES = "pieces"
_PASSED = "passed"
_NOT_ADMITTED = "not-admitted"


class CallFill(msgspec.Struct):
    """Sum the calls of one pool: how many, how full, and how many were not full in a crowd.

    The largest call that was seen is taken for a full one.
    """

    calls: int = 0
    pieces: int = 0
    seconds: float = 0.0
    largest: int = 0
    rows: list[tuple[int, int]] = []
    targets: set[str] = set()

    def add(self, record: dict) -> None:
        """Count one call as the log tells of it."""
        self.calls += 1
        self.pieces += record["pieces"]
        self.seconds += record["seconds"]
        self.largest = max(self.largest, record["pieces"])
        self.rows.append((record["pieces"], record["waiting"]))
        self.targets.add(record["target"])

    def partial_in_a_crowd(self) -> int:
        """Return the calls that were not full though a full one's pieces were waiting."""
        return sum(1 for taken, left in self.rows if taken < self.largest <= left)


def account(report, log=None) -> None:
    """Print parts and prices, classes, data centres, weak windows and, from a log, the calls."""
    found = read_report(Path(report))
    print(f"worth {found.worth:.3f}, served {found.served:.3f}")
    print(f"refused {found.refused:.3f}, failed {found.failed:.3f} of what is owed")
    _print_losses(found)
    _print_groups("class", found.classes)
    _print_groups("data centre", found.zones)
    _print_groups("weak window", [w for w in found.windows if w.worth < _WEAK_WINDOW])
    _print_endings(found)
    if log is not None:
        with Path(log).open(errors="replace") as lines:
            records = list(decisions(lines))
        _print_calls(records)
        _print_stages(records)
        _print_refusals(records)


def decisions(lines) -> Iterator[dict]:
    """Return the JSON records of a log; lines that are none are passed over."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            # The bench's own lines stand between the daemons'.
            continue
        if isinstance(record, dict):
            yield record


def fill_of_calls(records: list[dict]) -> dict[str, CallFill]:
    """Return the calls of each pool."""
    fills: dict[str, CallFill] = {}
    for record in records:
        if record.get("message") == _PIECES:
            fills.setdefault(record["pool"], CallFill()).add(record)
    return fills


class StageTimes(msgspec.Struct):
    """Hold how long a stage of one route took, request by request, in milliseconds."""

    seconds: list[float] = []
    waited: list[float] = []
    called: list[float] = []
    handed_over: list[float] = []

    def add(self, seconds: float, waited: float, called: float) -> None:
        """Count one stage of one request; what its call leaves of it is the hand-over."""
        self.seconds.append(seconds)
        self.waited.append(waited)
        self.called.append(called)
        self.handed_over.append(seconds - waited - called)


def times_of_stages(records: list[dict]) -> dict[tuple[str, int], StageTimes]:
    """Return the times of the stages of each route."""
    times: dict[tuple[str, int], StageTimes] = {}
    for record in records:
        if record.get("message") == _PASSED:
            for stage, *figures in record.get("stages") or ():
                times.setdefault((record["route"], stage), StageTimes()).add(*figures)
    return times


def part_of(values: list[float], part: float) -> float:
    """Return the value that `part` of the values don't exceed."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * part))]


def refusals(records: list[dict]) -> Counter[tuple[str, bool]]:
    """Count refusals before the first stage by route, and whether the caller had come back."""
    return Counter(
        (record["route"], record["came_back"])
        for record in records
        if record.get("message") == _NOT_ADMITTED
    )


def _print_losses(found: Report):
    print("\n| worth lost to | |\n|---|---|")
    for name, worth in sorted(found.losses().items(), key=lambda item: -item[1]):
        if worth >= 0.0005:
            print(f"| {name} | {worth:.3f} |")


def _print_groups(title: str, groups: list[Group]):
    print(f"\n| {title} | requests | in time | late | refused | failed | earned |")
    print("|---|---|---|---|---|---|---|")
    for group in groups:
        counts = f"{group.n} | {group.in_aim} | {group.late} | {group.refused} | {group.failed}"
        print(f"| {group.name} | {counts} | {group.worth:.3f} |")


def _print_endings(found: Report):
    print("\n| not served, last try | requests |\n|---|---|")
    for name, count, _ in found.unserved_by:
        print(f"| {name} | {count} |")


def _print_calls(records):
    print("\n| pool | targets | calls | pieces a call | largest | busy s | partial in a crowd |")
    print("|---|---|---|---|---|---|---|")
    for name, fill in sorted(fill_of_calls(records).items()):
        mean = fill.pieces / fill.calls
        print(
            f"| {name} | {len(fill.targets)} | {fill.calls} | {mean:.1f} | {fill.largest} "
            f"| {fill.seconds:.0f} | {fill.partial_in_a_crowd()} |"
        )


def _print_stages(records):
    print("\n| stage, ms (10, 50, 90 of 100) | made | in all | waited | called | handed over |")
    print("|---|---|---|---|---|---|")
    for (route, stage), times in sorted(times_of_stages(records).items()):
        columns = (times.seconds, times.waited, times.called, times.handed_over)
        cells = [
            ", ".join(f"{part_of(values, part):.0f}" for part in (0.1, 0.5, 0.9))
            for values in columns
        ]
        print(f"| {route} {stage} | {len(times.seconds)} | {' | '.join(cells)} |")


def _print_refusals(records):
    print("\n| refused before its stages | first | after coming back |\n|---|---|---|")
    counts = refusals(records)
    for route in sorted({route for route, _ in counts}):
        print(f"| {route} | {counts[route, False]} | {counts[route, True]} |")


if __name__ == "__main__":
    sys.exit(fire.Fire(account))
