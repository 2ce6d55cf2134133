"""Paired differences between two sides, with confidence intervals computed by scipy."""

from collections.abc import Iterable

import msgspec
from scipy import stats

from benchmarks.compare.plays import Played

CONFIDENCE = 0.95


class Difference(msgspec.Struct, frozen=True):
    """Hold the mean of paired differences (new minus old) and its confidence interval.

    With fewer than two pairs the interval is unbounded: `low` and `high` are infinite.
    """

    pairs: int
    old: float
    new: float
    mean: float
    low: float
    high: float

    def verdict(self) -> str:
        """Return which side is better, if the interval excludes zero."""
        if self.low > 0:
            return "better"
        if self.high < 0:
            return "worse"
        return "inconclusive"


def difference(old: list[float], new: list[float]) -> Difference:
    """Return the difference of paired values; raise ValueError if their numbers differ."""
    if len(old) != len(new) or not old:
        raise ValueError(f"{len(old)} old values and {len(new)} new values do not pair up")
    deltas = [after - before for before, after in zip(old, new, strict=True)]
    mean = sum(deltas) / len(deltas)
    low, high = _interval(deltas, mean)
    return Difference(len(deltas), sum(old) / len(old), sum(new) / len(new), mean, low, high)


def _interval(deltas, mean):
    if len(deltas) < 2:
        return float("-inf"), float("inf")
    if len(set(deltas)) == 1:
        return mean, mean
    interval = stats.ttest_1samp(deltas, 0.0).confidence_interval(CONFIDENCE)
    return float(interval.low), float(interval.high)


def pair_up(played: Iterable[Played]) -> list[tuple[Played, Played]]:
    """Return pairs of finished runs of both sides with the same day and seed."""
    sides: dict[tuple[str, int], dict[str, Played]] = {}
    for one in played:
        if one.report is not None:
            sides.setdefault((one.play.day, one.play.seed), {})[one.play.side] = one
    return [
        (both["old"], both["new"])
        for _, both in sorted(sides.items())
        if both.keys() >= {"old", "new"}
    ]


def losses_by_cause(pairs: list[tuple[Played, Played]]) -> dict[str, Difference]:
    """Return the loss of each part and price on either side, largest first."""
    names = sorted({name for pair in pairs for one in pair for name in one.report.losses()})
    found = {
        name: difference(
            [old.report.losses().get(name, 0.0) for old, _ in pairs],
            [new.report.losses().get(name, 0.0) for _, new in pairs],
        )
        for name in names
    }
    return dict(sorted(found.items(), key=lambda item: -max(item[1].old, item[1].new)))
