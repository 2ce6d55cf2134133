"""Run days of the users' bench in several checkouts and collect their reports."""

import subprocess
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

import msgspec

from benchmarks.compare.reports import Report, read_report


class Play(msgspec.Struct, frozen=True):
    """Describe one run: the checkout (`side`), the day, and the seed."""

    side: str
    checkout: Path
    day: str
    seed: int


class Played(msgspec.Struct, frozen=True):
    """Hold the result of a run: its report, or an error."""

    play: Play
    report: Report | None = None
    error: str = ""


class Bench(msgspec.Struct, frozen=True):
    """Hold the bench's program, the site, the folder for reports, and the reason for the runs."""

    program: Path
    site: Path
    folder: Path
    why: str

    def build(self, checkout: Path) -> None:
        """Build a checkout once, before several runs use it in parallel."""
        subprocess.run([self.program, "build"], cwd=checkout, check=True, capture_output=True)

    def play(self, play: Play) -> Played:
        """Run one day; a failure is returned as an error, not raised."""
        name = f"{self.site.stem}-{play.day}-{play.seed}-{play.side}"
        path = (self.folder / f"{name}.json").resolve()
        path.unlink(missing_ok=True)
        command = [self.program, "run", self.site, play.day, "--seed", str(play.seed)]
        command += ["--report", path, "--why", f"{self.why} ({play.side})"]
        found = subprocess.run(
            command, cwd=play.checkout, capture_output=True, text=True, check=False
        )
        path.with_suffix(".txt").write_text(found.stdout + found.stderr)
        try:
            return Played(play, read_report(path))
        except (OSError, msgspec.DecodeError) as error:
            lines = (found.stderr or found.stdout).strip().splitlines()
            return Played(play, error=f"{error}; {lines[-1] if lines else 'no output'}")


def play_all(bench: Bench, plays: Iterable[Play], jobs: int, tell) -> list[Played]:
    """Run days, `jobs` at a time; `tell` is called with a line for each finished run."""
    plays = list(plays)
    played = []
    with ThreadPoolExecutor(jobs) as pool:
        for future in as_completed([pool.submit(bench.play, play) for play in plays]):
            one = future.result()
            played.append(one)
            tell(f"{len(played)} of {len(plays)}: {_line(one)}")
    return played


def _line(played: Played) -> str:
    play = played.play
    name = f"{play.day} {play.seed} {play.side}"
    if played.report is None:
        return f"{name} not finished: {played.error}"
    broken = f" BROKEN {played.report.breaks}" if played.report.breaks else ""
    return f"{name} worth {played.report.worth:.3f}{broken}"
