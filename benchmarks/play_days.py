"""Run generated days on the users' bench; print broken rules, gate and score of each.

    python -m benchmarks.play_days BENCH SITE --why "..." [--days FILE] [--only NAME,...]
                                   [--jobs N] [--small]

BENCH is the bench's program and SITE one of its site files. Traffic, goals and marks are taken
from the site's first quiet day; the faults are those of benchmarks/days/troubles.toml unless
`--days` names another file.
Days are written to target/days/ and run in sequence, `--jobs` in parallel; `--small` uses the
small variant of a large site.
"""

import argparse
import re
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FAULTS_FILE = ROOT / "benchmarks" / "days" / "troubles.toml"
OUTPUT_FOLDER = ROOT / "target" / "days"
_SEED = 20_261_202
_LENGTH_SECONDS = 24.0
_RECOVERY_SECONDS = 20.0
_CLOSING_SECONDS = 14.0


def main() -> None:
    """Run the days and print a table."""
    arguments = _parse()
    quiet = _quiet_day(Path(arguments.site))
    days = tomllib.loads(Path(arguments.days).read_text())["day"]
    wanted = set(arguments.only.split(",")) if arguments.only else None
    chosen = [day for day in days if wanted is None or day["name"] in wanted]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        lines = list(pool.map(lambda day: _play(arguments, quiet, day), chosen))
    print("| day | result |\n|---|---|")
    for line in lines:
        print(line)


def _parse():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", default=str(FAULTS_FILE))
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--small", action="store_true")
    return parser.parse_args()


def _quiet_day(site: Path) -> dict:
    days = tomllib.loads(site.read_text())["day"]
    return next(day for day in days if day["slot"] == "quiet")


def _play(arguments, quiet, scenario) -> str:
    day = {**quiet, **scenario, "seed": _SEED, "length_s": _LENGTH_SECONDS}
    day["plan"] = scenario.get("plan", [])
    day["faults"] = scenario.get("faults", [])
    if "closing" in scenario:
        day["length_s"] = _LENGTH_SECONDS + _CLOSING_SECONDS
    else:
        day.pop("closing", None)
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_FOLDER / f"{Path(arguments.site).stem}-{scenario['name']}.toml"
    path.write_text(_toml(day))
    command = [arguments.bench, "run", arguments.site, str(path), "--why", arguments.why]
    if arguments.small:
        command.append("--small")
    found = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=False)
    path.with_suffix(".txt").write_text(found.stdout + found.stderr)
    return f"| {scenario['name']} | {_result(found.stdout, found.stderr)} |"


def _result(output, errors) -> str:
    """Return the result line of the day and the broken rules from the bench's output."""
    row = re.search(r"^\S+ +\d+/\d+ +(.*)$", output, re.MULTILINE)
    broken = re.search(r"^rules broken: (.*)$", output, re.MULTILINE)
    text = " ".join(row.group(1).split()) if row else (errors or output).strip()[-200:]
    return f"{text}{' BROKEN ' + broken.group(1) if broken else ''}"


def _toml(day) -> str:
    return "\n".join(f"{key} = {_value(value)}" for key, value in day.items()) + "\n"


def _value(value) -> str:
    if isinstance(value, dict):
        inner = ", ".join(f"{key} = {_value(entry)}" for key, entry in value.items())
        return "{ " + inner + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_value(entry) for entry in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + value + '"'
    return repr(value)


if __name__ == "__main__":
    sys.exit(main())
