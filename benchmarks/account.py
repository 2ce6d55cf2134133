"""Summarize the losses of one day from the bench's report and, if given, its logs.

    python -m benchmarks.account REPORT [LOG]

REPORT is the file that `run --report` writes, LOG the output of the same run with `--log edge`.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import fire
import msgspec

from benchmarks.compare.reports import Group, Report, read_report

# Windows that earn a smaller ratio of the credit owed are listed.
_WEAK_WINDOW_RATIO = 0.85
_PIECES = "pieces"
_PASSED = "passed"
_NOT_ADMITTED = "not-admitted"


class PoolCalls(msgspec.Struct):
    """Sum the calls of one pool: their number, their size, and partial calls despite a full queue.

    The largest observed call counts as a full one.
    """

    calls: int = 0
    pieces: int = 0
    seconds: float = 0.0
    largest: int = 0
    rows: list[tuple[int, int]] = []
    targets: set[str] = set()

    def add(self, record: dict) -> None:
        """Add one call from its log record."""
        self.calls += 1
        self.pieces += record["pieces"]
        self.seconds += record["seconds"]
        self.largest = max(self.largest, record["pieces"])
        self.rows.append((record["pieces"], record["waiting"]))
        self.targets.add(record["target"])

    def partial_with_full_queue(self) -> int:
        """Return the number of partial calls made while a full call's pieces were waiting."""
        return sum(1 for taken, left in self.rows if taken < self.largest <= left)


def account(report, log=None) -> None:
    """Print the losses by cause and by group, and the figures of the log if one is given."""
    found = read_report(Path(report))
    print(f"worth {found.worth:.3f}, served {found.served:.3f}")
    print(f"refused {found.refused:.3f}, failed {found.failed:.3f} of the credit owed")
    _print_losses(found)
    _print_groups("class", found.classes)
    _print_groups("data centre", found.zones)
    _print_groups("weak window", [w for w in found.windows if w.worth < _WEAK_WINDOW_RATIO])
    _print_endings(found)
    if log is not None:
        with Path(log).open(errors="replace") as lines:
            records = list(decisions(lines))
        _print_calls(records)
        _print_stages(records)
        _print_refusals(records)


def decisions(lines) -> Iterator[dict]:
    """Yield the JSON records of a log and skip all other lines."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            # The bench's own lines are mixed with those of the daemons.
            continue
        if isinstance(record, dict):
            yield record


def calls_by_pool(records: list[dict]) -> dict[str, PoolCalls]:
    """Return the summed calls of each pool."""
    fills: dict[str, PoolCalls] = {}
    for record in records:
        if record.get("message") == _PIECES:
            fills.setdefault(record["pool"], PoolCalls()).add(record)
    return fills


class StageTimes(msgspec.Struct):
    """Hold the durations of one stage of a route for each request, in milliseconds."""

    seconds: list[float] = []
    waited: list[float] = []
    called: list[float] = []
    handed_over: list[float] = []

    def add(self, seconds: float, waited: float, called: float) -> None:
        """Add one request; the time outside of queue and call counts as hand-over."""
        self.seconds.append(seconds)
        self.waited.append(waited)
        self.called.append(called)
        self.handed_over.append(seconds - waited - called)


def stage_times(records: list[dict]) -> dict[tuple[str, int], StageTimes]:
    """Return the durations of the stages of each route."""
    times: dict[tuple[str, int], StageTimes] = {}
    for record in records:
        if record.get("message") == _PASSED:
            for stage, *figures in record.get("stages") or ():
                times.setdefault((record["route"], stage), StageTimes()).add(*figures)
    return times


def quantile(values: list[float], part: float) -> float:
    """Return the value that a share of `ratio` of the values does not exceed."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * part))]


def refusals(records: list[dict]) -> Counter[tuple[str, bool]]:
    """Count refusals before the first stage by route, and by whether the caller retried."""
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
    print("\n| not served, last attempt | requests |\n|---|---|")
    for name, count, _ in found.unserved_by:
        print(f"| {name} | {count} |")


def _print_calls(records):
    print("\n| pool | targets | calls | pieces a call | largest | busy s | partial, full queue |")
    print("|---|---|---|---|---|---|---|")
    for name, fill in sorted(calls_by_pool(records).items()):
        mean = fill.pieces / fill.calls
        print(
            f"| {name} | {len(fill.targets)} | {fill.calls} | {mean:.1f} | {fill.largest} "
            f"| {fill.seconds:.0f} | {fill.partial_with_full_queue()} |"
        )


def _print_stages(records):
    print("\n| stage, ms (p10, p50, p90) | run | total | queue | call | hand-over |")
    print("|---|---|---|---|---|---|")
    for (route, stage), times in sorted(stage_times(records).items()):
        columns = (times.seconds, times.waited, times.called, times.handed_over)
        cells = [
            ", ".join(f"{quantile(values, part):.0f}" for part in (0.1, 0.5, 0.9))
            for values in columns
        ]
        print(f"| {route} {stage} | {len(times.seconds)} | {' | '.join(cells)} |")


def _print_refusals(records):
    print("\n| refused before the first stage | first attempt | retry |\n|---|---|---|")
    counts = refusals(records)
    for route in sorted({route for route, _ in counts}):
        print(f"| {route} | {counts[route, False]} | {counts[route, True]} |")


if __name__ == "__main__":
    sys.exit(fire.Fire(account))
