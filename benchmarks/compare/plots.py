"""Plot the worth of each time window and the losses by cause, for both sides."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from benchmarks.compare.differences import losses_by_cause  # noqa: E402

_SIDES = ("old", "new")


def draw(pairs, folder: Path) -> list[Path]:
    """Write a plot for each day and seed and one of the causes; return the paths."""
    paths = [_draw_windows(pair, folder) for pair in pairs]
    return [*paths, _draw_causes(pairs, folder)] if pairs else []


def _draw_windows(pair, folder):
    play = pair[0].play
    figure, axes = pyplot.subplots(figsize=(9, 3))
    for side, one in zip(_SIDES, pair, strict=True):
        seconds = [float(window.name) for window in one.report.windows]
        axes.step(seconds, [w.worth for w in one.report.windows], where="post", label=side)
    axes.set(xlabel="second", ylabel="credit earned / owed", ylim=(0, 1.05))
    axes.set_title(f"{play.day}, seed {play.seed}")
    axes.legend()
    return _save(figure, folder / f"windows-{play.day}-{play.seed}.png")


def _draw_causes(pairs, folder):
    causes = losses_by_cause(pairs)
    names = list(causes)
    figure, axes = pyplot.subplots(figsize=(9, 0.3 * len(names) + 1.5))
    rows = range(len(names))
    axes.barh([row - 0.2 for row in rows], [causes[n].old for n in names], 0.4, label="old")
    axes.barh([row + 0.2 for row in rows], [causes[n].new for n in names], 0.4, label="new")
    axes.set_yticks(list(rows), names)
    axes.invert_yaxis()
    axes.set_xlabel("worth lost")
    axes.legend()
    return _save(figure, folder / "causes.png")


def _save(figure, path):
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
    return path
