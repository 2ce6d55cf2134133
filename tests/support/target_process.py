"""An emulated target in a process of its own, which tests kill.

Run as a program, it serves one target whose responses have no length, and prints its address.
"""

import asyncio
import json
import subprocess
import sys

from tests.support.cluster import ROOT
from tests.support.emulator.runner import Runner

# More than any test sends.
_SLOW_ANSWERS = 1000


class TargetProcess:
    """Run one target as a child process; use it as a context manager.

    Its responses have no length: streams of `events` events, or slow plain ones if that is 0.
    `leaves` makes all of them say that the target is leaving.
    """

    def __init__(self, identity: str, events: int = 0, event_seconds: float = 0.0, leaves=False):
        self.identity = identity
        self.version = ""
        self.address = ""
        self._options = [identity, events, event_seconds, leaves]
        self._process: subprocess.Popen | None = None

    def __enter__(self):
        command = [sys.executable, "-m", "tests.support.target_process", json.dumps(self._options)]
        self._process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        self.address = self._process.stdout.readline().strip()
        return self

    def __exit__(self, *error):
        self.kill()
        self._process.stdout.close()

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self._process.kill()
        self._process.wait()


async def serve(identity, events, event_seconds, leaves):
    """Serve one target until the process ends."""
    runner = await Runner(identity, events=events).start()
    runner.is_unframed = True
    runner.event_seconds = event_seconds
    runner.leaves = leaves
    if not events:
        runner.faults.extend(["unframed slowly"] * _SLOW_ANSWERS)
    print(runner.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(*json.loads(sys.argv[1])))
