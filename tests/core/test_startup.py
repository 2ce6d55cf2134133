"""What a daemon imports before it serves: after a loss of power all wait for it."""

import subprocess
import sys

import pytest

# Each takes 0.02 to 0.2 s of processor and is of no use to the first request.
UNWANTED = ("aiohttp", "attr", "yarl", "multidict", "certifi", "yaml", "fire", "hypothesis")


@pytest.mark.parametrize(
    "module", ["traystall.passthrough.daemon", "traystall.control.daemon", "traystall.http.server"]
)
def test_start_imports_nothing_that_the_first_request_does_not_need(module):
    script = f"import sys, {module}; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    loaded = {name.partition(".")[0] for name in done.stdout.split()}
    assert loaded.isdisjoint(UNWANTED), sorted(loaded & set(UNWANTED))
