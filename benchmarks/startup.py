"""Measure the processor time of a daemon's imports, by module.

    python -m benchmarks.startup [MODULE ...]

For each module: the least processor time of an import over several fresh interpreters, next to
that of an empty one, and the imported modules that take the most time.
"""

import resource
import subprocess
import sys

_DAEMONS = ("traystall.passthrough.daemon", "traystall.control.daemon", "traystall.gateway.daemon")
_ROUNDS = 7
_MAX_MODULES = 12
# The interpreter flags with which the platform starts the daemons.
_FLAGS = ("-S",)


def least_seconds(statement: str) -> float:
    """Return the least processor time, in seconds, of an interpreter that runs `statement`."""
    return min(_seconds(statement) for _ in range(_ROUNDS))


def slowest_modules(module: str) -> list[tuple[float, str]]:
    """Return the imported modules with the most time of their own, in milliseconds."""
    done = subprocess.run(
        [sys.executable, *_FLAGS, "-X", "importtime", "-c", f"import {module}"],
        capture_output=True,
        text=True,
        check=True,
        env=_environment(),
    )
    rows = []
    for line in done.stderr.splitlines():
        own, _, rest = line.removeprefix("import time:").partition("|")
        if own.strip().isdigit():
            rows.append((int(own) / 1000, rest.partition("|")[2].strip()))
    return sorted(rows, reverse=True)[:_MAX_MODULES]


def _seconds(statement):
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, *_FLAGS, "-c", f"import gc; gc.disable(); {statement}"],
        check=True,
        env=_environment(),
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def _environment():
    path = ":".join(entry or "." for entry in sys.path)
    return {"PYTHONPATH": path, "AIOMISC_NO_PLUGINS": "1"}


def main() -> None:
    """Print the costs of the modules named on the command line, or of the daemons."""
    empty = least_seconds("pass")
    print(f"{empty:.3f} s  an empty interpreter")
    for module in sys.argv[1:] or _DAEMONS:
        print(f"{least_seconds(f'import {module}'):.3f} s  {module}")
        for milliseconds, name in slowest_modules(module):
            print(f"    {milliseconds:6.1f} ms  {name}")


if __name__ == "__main__":
    main()
