"""Run days and seeds of the bench with two checkouts and print the differences.

    python -m benchmarks.compare BENCH SITE OLD NEW --days=scale-1,scale-2 --why="..."

docs/howto/compare.md explains the output.
"""

from pathlib import Path

import fire

from benchmarks.compare.differences import difference, losses_by_cause, pair_up
from benchmarks.compare.plays import Bench, Play, play_all
from benchmarks.compare.plots import draw

# The first of consecutive seeds. Any value works, because both checkouts use the same seeds.
_FIRST_SEED = 20_261_202
_MAX_CAUSES = 12


def compare(bench, site, old, new, days, why, seeds=3, jobs=4, folder="target/compare", plots=True):
    """Run every day with every seed in both checkouts; print differences of the worth.

    BENCH is the bench's program, SITE a site file, OLD and NEW two checkouts,
    DAYS names of days of the site. SEEDS is the number of seeds, JOBS the number of
    parallel runs. Reports and plots are written to FOLDER.
    """
    out = Path(folder)
    out.mkdir(parents=True, exist_ok=True)
    sides = {"old": Path(old).resolve(), "new": Path(new).resolve()}
    played_by = Bench(Path(bench).resolve(), Path(site).resolve(), out, str(why))
    for checkout in sides.values():
        played_by.build(checkout)
    names = [days] if isinstance(days, str) and "," not in days else _names(days)
    plays = [
        Play(side, checkout, day, _FIRST_SEED + number)
        for day in names
        for number in range(int(seeds))
        for side, checkout in sides.items()
    ]
    played = play_all(played_by, plays, int(jobs), lambda line: print(line, flush=True))
    pairs = pair_up(played)
    print(f"{len(pairs)} pairs of {len(plays) // 2}")
    if not pairs:
        return
    _print_days(pairs, names)
    _print_causes(pairs)
    if plots:
        draw(pairs, out)


def _names(days):
    return days.split(",") if isinstance(days, str) else [str(day) for day in days]


def _print_days(pairs, names):
    print("\n| day | pairs | old | new | difference (95 %) | verdict |\n|---|---|---|---|---|---|")
    for day in [*names, "all"]:
        chosen = [pair for pair in pairs if day in ("all", pair[0].play.day)]
        if chosen:
            worths = [[one.report.worth for one in side] for side in zip(*chosen, strict=True)]
            print(f"| {day} | {_row(difference(*worths))} |")


def _print_causes(pairs):
    print("\n| worth lost to | pairs | old | new | difference (95 %) | verdict |")
    print("|---|---|---|---|---|---|")
    for name, found in list(losses_by_cause(pairs).items())[:_MAX_CAUSES]:
        # For a loss, a lower value is better, so the verdict is stated as a direction.
        verdict = {"better": "more", "worse": "less"}.get(found.verdict(), found.verdict())
        print(f"| {name} | {_row(found, verdict)} |")


def _row(found, verdict=None):
    interval = f"{found.mean:+.3f} ({found.low:+.3f} to {found.high:+.3f})"
    shown = verdict or found.verdict()
    return f"{found.pairs} | {found.old:.3f} | {found.new:.3f} | {interval} | {shown}"


if __name__ == "__main__":
    fire.Fire(compare)
