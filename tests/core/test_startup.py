"""Daemons import no unneeded modules: after a power failure every request waits for startup."""

import subprocess
import sys

import pytest

# Importing each takes 0.02 to 0.2 s of CPU time, and the first request needs none of them.
UNNEEDED_MODULES = ("aiohttp", "attr", "yarl", "multidict", "certifi", "yaml", "fire", "hypothesis")


@pytest.mark.parametrize(
    "module", ["traystall.passthrough.daemon", "traystall.control.daemon", "traystall.http.server"]
)
def test_startup_imports_only_what_the_first_request_needs(module):
    script = f"import sys, {module}; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    loaded = {name.partition(".")[0] for name in done.stdout.split()}
    assert loaded.isdisjoint(UNNEEDED_MODULES), sorted(loaded & set(UNNEEDED_MODULES))
