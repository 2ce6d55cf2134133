"""A soak of one gateway among crowds that keep to no limit, with ordinary callers beside them.

    PYTHONPATH=platform python -m tests.support.hostile_soak --seeds 50 --first 1

Each seed draws overlapping crowds at the addresses of a gateway, changes of the configuration,
reloads and planned restarts. Checked at any time: life, memory, sockets, whole answers, "not run",
and at most one run of what must not be repeated.
"""

import asyncio
import contextlib
import random
import signal
import subprocess
import tempfile

import aiohttp
import fire

from tests.support import hostile_clients as crowds
from tests.support.platform_site import (
    FRONT_PORT,
    HEALTH_PORT,
    HOST,
    LINK_PORT,
    MEGABYTE,
    READY_PORT,
    RESERVED_DESCRIPTORS,
    Limits,
    PlatformSite,
)

_PORTS = (FRONT_PORT, FRONT_PORT, FRONT_PORT, READY_PORT, HEALTH_PORT, LINK_PORT)
_CROWDS = 4
_MAX_MEMBERS = 60
_CALLERS = 4
_CALLER_PATIENCE_SECONDS = 10.0
_PAUSE_SECONDS = 0.02
_LARGE_BYTES = 300_000
_STOP_SECONDS = 20.0
# With these statuses a gateway states that a request has not run.
_NOT_RUN = (408, 413, 421, 429, 431, 503)


class HostileSoak:
    """One seed: crowds, changes and ordinary callers at one site."""

    def __init__(self, seed: int, folder):
        self._chance = random.Random(seed)
        self.limits = Limits(max_fds=600, idle_ms=5_000, head_ms=2_000, timeout_ms=6_000)
        self.site = PlatformSite(folder, self.limits)
        self._asked = 0
        # Status of each ordinary request, and whether the body was the right one.
        self.outcomes: dict[str, tuple[int, bool]] = {}
        self.problems: list[str] = []

    async def run(self) -> None:
        """Play the seed; `problems` tells what did not hold."""
        async with self.site as site:
            callers = [asyncio.create_task(self._call_forever(n)) for n in range(_CALLERS)]
            await asyncio.gather(*(self._crowd() for _ in range(_CROWDS)), self._operate())
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            # The last restart may have been a moment ago.
            await site.until_ready()
            self._check_gateway("at the end")
            if await site.ask() != (200, b"answer to x"):
                self.problems.append("no ordinary answer afterwards")
            self._check_runs()

    async def _crowd(self):
        chance = self._chance
        for _ in range(2):
            member = chance.choice(crowds.MEMBERS)
            port, count = chance.choice(_PORTS), chance.randint(5, _MAX_MEMBERS)
            reads, seconds = chance.random() < 0.7, chance.uniform(0.5, 2.0)
            await asyncio.sleep(chance.uniform(0, 2))
            address = self.site.gateway.address(port)
            async with crowds.Crowd(address, count, member, reads, seconds):
                self._check_gateway(f"{member.__name__} at {port}")

    async def _operate(self):
        """Change the configuration, reload, and restart the gateway, in series."""
        chance = self._chance
        for kind in chance.choices(("change", "reload", "restart", "rest"), k=4):
            await asyncio.sleep(chance.uniform(0.5, 2.0))
            if kind == "change":
                await self.site.configure({"max-body-bytes": chance.choice([1, 2, 4]) * 2**20})
            elif kind == "reload":
                self.site.gateway.popen.send_signal(signal.SIGHUP)
            elif kind == "restart":
                await self._restart()

    async def _restart(self):
        gateway = self.site.gateway
        gateway.popen.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.to_thread(gateway.popen.wait, _STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.problems.append("the gateway did not stop")
            gateway.popen.kill()
            return
        if code:
            self.problems.append(f"the gateway ended with {code}")
        gateway.start()

    async def _call_forever(self, number):
        """Send ordinary requests over kept connections, repeatable and not, small and large."""
        chance = random.Random(self._chance.random())
        async with aiohttp.ClientSession() as session:
            while True:
                await self._call(session, number, chance)
                await asyncio.sleep(_PAUSE_SECONDS)

    async def _call(self, session, number, chance):
        self._asked += 1
        name = f"s{number}-{self._asked}"
        body = name.encode() + bytes(_LARGE_BYTES if chance.random() < 0.1 else 10)
        path = chance.choice(["/plain/1", "/once/1"])
        headers = {"Host": HOST, "X-Request-Id": name}
        url = f"http://{self.site.gateway.address(FRONT_PORT)}{path}"
        outcome = 0, True
        with contextlib.suppress(OSError, TimeoutError, aiohttp.ClientError):
            async with (
                asyncio.timeout(_CALLER_PATIENCE_SECONDS),
                session.post(url, data=body, headers=headers) as response,
            ):
                answer = await response.read()
                outcome = response.status, answer == b"answer to " + body
        self.outcomes[name] = outcome

    def _check_gateway(self, when):
        gateway = self.site.gateway
        if gateway.peak_bytes() > self.limits.memory_mb * MEGABYTE:
            self.problems.append(f"{when}: {gateway.peak_bytes()} bytes")
        if gateway.sockets() > self.limits.max_fds - RESERVED_DESCRIPTORS:
            self.problems.append(f"{when}: {gateway.sockets()} sockets")
        if gateway.popen.poll():
            self.problems.append(f"{when}: ended with {gateway.popen.poll()}")

    def _check_runs(self):
        runs: dict[str, list[str]] = {}
        for run in self.site.target.runs:
            name = run["headers"].get("x-request-id", "")
            runs.setdefault(name, []).append(run["path"])
        for name, (status, is_right) in self.outcomes.items():
            found = runs.get(name, [])
            if status == 200 and not is_right:
                self.problems.append(f"{name}: another answer")
            if status in _NOT_RUN and "/once/1" in found:
                self.problems.append(f"{name}: {status}, and it ran")
            if found.count("/once/1") > 1:
                self.problems.append(f"{name}: ran {len(found)} times")

    def summary(self) -> str:
        """Return how many ordinary requests had which status."""
        statuses = [status for status, _ in self.outcomes.values()]
        return ", ".join(f"{s}: {statuses.count(s)}" for s in sorted(set(statuses)))


def play(seed: int, folder) -> HostileSoak:
    """Return the soak of one seed, played."""
    soak = HostileSoak(seed, folder)
    asyncio.run(soak.run())
    return soak


def main(seeds: int = 10, first: int = 1) -> None:
    """Play seeds in a row; exit with 1 if something did not hold."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as folder:
            soak = play(seed, folder)
        failed += bool(soak.problems)
        peak = soak.site.gateway.peak_bytes() // MEGABYTE
        found = soak.problems[:5] or "all held"
        print(f"seed {seed}: {soak.summary()}; {peak} MB; {found}", flush=True)
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    fire.Fire(main)
