"""Randomized soak test of targets that request backoff, announce limits, leave and fail.

    python -m tests.support.rest_soak --seeds 50

The checks use only the requests that reached the targets, not the state of the gateway.
"""

import asyncio
import contextlib
import random

import aiohttp
import fire
import msgspec

from tests.support.emulator.gateway import STAGES, EmulatedGateway, table
from tests.support.emulator.runner import Runner
from traystall.core import clock
from traystall.registry.models import TargetReport

DAY_SECONDS = 4.0
REQUESTS_PER_SECOND = 60
# Requests in transit may still arrive for SLACK_SECONDS after a backoff has begun, and up to
# MAX_REQUESTS_IN_BACKOFF requests later in it.
SLACK_SECONDS = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
# Time until a newly announced limit holds, and the span in which it is checked, in seconds.
KNOWN_SECONDS = 0.6
SPAN_SECONDS = 1.0
LIMITS = ("0.5", "2", "10", None)
PIECES = {"Traystall-Pieces": "2,1", "Traystall-Piece-Key": "pk"}
PATHS = ("/again/x", "/once/x", "/events/x", "/staged/x")
STREAMS = ("/events/x", "/staged/x")
FAULTS = ("failed", "shed without the mark", "closed after running", "not run", "garbage")
STATUSES = {200, 500, 502, 503, 504}
INTERNAL_PATHS = ("/pieces/free", "/report")


class IncarnationRecord(msgspec.Struct):
    """Hold the demands of one incarnation of a target, and the requests that reached it."""

    name: str
    rests: list[tuple[float, float]]
    left_at: float | None
    arrivals: list[tuple[float, str]]
    # (from, to, requests a second) of each period with an announced limit.
    limits: list[tuple[float, float, float]] = []

    def violations(self) -> list[str]:
        """Return the requests that violate the demands of the target."""
        found = []
        for at, seconds in self.rests:
            inside = [p for t, p in self.arrivals if at + SLACK_SECONDS < t < at + seconds]
            if len(inside) > MAX_REQUESTS_IN_BACKOFF:
                found.append(
                    f"{self.name}: {len(inside)} in a backoff of {seconds} s, {set(inside)}"
                )
        if self.left_at is not None:
            late = [
                path
                for t, path in self.arrivals
                if t > self.left_at + SLACK_SECONDS and not path.endswith(INTERNAL_PATHS)
            ]
            if late:
                found.append(f"{self.name}: {len(late)} after it announced leaving, {set(late)}")
        return found + self._limit_violations()

    def _limit_violations(self):
        """Return the violations of the announced limits."""
        found = []
        for begins, ends, limit in self.limits:
            times = [t for t, _ in self.arrivals if begins + KNOWN_SECONDS < t < ends]
            most = max((sum(at <= t < at + SPAN_SECONDS for t in times) for at in times), default=0)
            if most > 1.5 * limit * SPAN_SECONDS + 5:
                found.append(f"{self.name}: {most} in {SPAN_SECONDS} s at a limit of {limit}")
        return found


class Scenario:
    """Run one scenario."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        self._runners: dict[str, tuple[str, Runner]] = {}
        self._started: dict[str, int] = {}
        self._incarnations: list[IncarnationRecord] = []
        self._violations: list[str] = []
        # The start of each target's current limit, and its past periods with a limit.
        self._limited_at: dict[str, float] = {}
        self._limits: dict[str, list[tuple[float, float, float]]] = {}

    async def play(self) -> list[str]:
        """Return the violations."""
        for pool, count in {"plain": 3, "engine": 2, "batches": 3}.items():
            for number in range(count):
                name = f"{pool}-{number}"
                events = 3 if pool == "engine" else 0
                runner = await Runner(name, events=events).start()
                self._runners[name] = (pool, runner)
        async with EmulatedGateway(table(stages=STAGES), []) as self._gateway:
            for name in self._runners:
                self._report(name, 1000)
            injection = asyncio.create_task(self._inject_faults())
            calls = []
            for _ in range(int(DAY_SECONDS * REQUESTS_PER_SECOND)):
                calls.append(asyncio.create_task(self._call()))
                await asyncio.sleep(1 / REQUESTS_PER_SECOND)
            injection.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await injection
            await asyncio.gather(*calls)
        for name, (_, runner) in self._runners.items():
            self._end_incarnation(name)
            await runner.stop()
        return self._violations + [
            line for record in self._incarnations for line in record.violations()
        ]

    def _report(self, name, started):
        pool, runner = self._runners[name]
        self._started[name] = started
        report = TargetReport(name, pool, runner.address, "here", slots=4, started=started)
        self._gateway.context.board.merge(report, clock.monotonic())

    async def _call(self):
        path = self._random.choice(PATHS)
        headers = PIECES if path.startswith("/staged") else {}
        try:
            status, _, body = await self._gateway.call(path, **headers)
        except aiohttp.ClientError as error:
            # A stream whose target ended cannot continue: it is cut, and must not look complete.
            if path not in STREAMS:
                self._violations.append(f"{path}: {error!r}")
            return
        if status not in STATUSES:
            self._violations.append(f"{path}: {status}")
        if status == 200 and path not in STREAMS and body != b"answer to hello":
            self._violations.append(f"{path}: {body!r}")

    async def _inject_faults(self):
        events = (
            self._request_backoff,
            self._request_backoff,
            self._request_backoff,
            self._leave,
            self._fail,
            self._restart,
        )
        events += (self._change_limit,)
        while True:
            await asyncio.sleep(self._random.uniform(0.05, 0.2))
            await self._random.choice((*events, self._evacuate))(
                self._random.choice(list(self._runners))
            )

    async def _request_backoff(self, name):
        _, runner = self._runners[name]
        runner.rests.append(str(round(self._random.uniform(0.6, 2.5), 2)))
        runner.rests_marked = self._random.random() < 0.7

    async def _change_limit(self, name):
        """Change or remove the limit that a target announces."""
        self._close_limit(name)
        runner = self._runners[name][1]
        runner.limit = self._random.choice(LIMITS)
        self._limited_at[name] = clock.monotonic()

    def _close_limit(self, name):
        limit = self._runners[name][1].limit
        if limit is not None:
            period = (self._limited_at[name], clock.monotonic(), float(limit))
            self._limits.setdefault(name, []).append(period)

    async def _leave(self, name):
        self._runners[name][1].leaves = True

    async def _fail(self, name):
        pool, runner = self._runners[name]
        if pool == "plain":
            runner.faults.append(self._random.choice(FAULTS))

    async def _evacuate(self, name):
        self._gateway.evacuate("here")
        await asyncio.sleep(0.02)
        self._gateway.evacuate()

    async def _restart(self, name):
        """Restart a target; it is reported at once, or after its first responses."""
        _, runner = self._runners[name]
        runner.end()
        self._end_incarnation(name)
        await asyncio.sleep(self._random.uniform(0.0, 0.1))
        await runner.start_again()
        if self._random.random() < 0.5:
            await asyncio.sleep(0.15)
        self._report(name, self._started[name] + 1000)

    def _end_incarnation(self, name):
        _, runner = self._runners[name]
        self._close_limit(name)
        rests = list(zip(runner.asked_at, map(float, runner.asked_for), strict=True))
        limits = self._limits.pop(name, [])
        record = IncarnationRecord(
            f"{name}@{self._started[name]}", rests, runner.left_at, runner.arrivals, limits
        )
        self._incarnations.append(record)
        runner.rests.clear()
        runner.asked_at, runner.asked_for, runner.arrivals = [], [], []
        runner.leaves, runner.left_at = False, None
        runner.limit, runner.limit_announced_at = None, None


def play_day(seed: int) -> list[str]:
    """Return the violations in the scenario of a seed."""

    async def bounded():
        async with asyncio.timeout(DAY_SECONDS * 5):
            return await Scenario(seed).play()

    return asyncio.run(bounded())


def main(seeds: int = 10, first: int = 1) -> None:
    """Run SEEDS scenarios from the seed FIRST on, and print the violations."""
    failed = 0
    for seed in range(first, first + seeds):
        found = play_day(seed)
        failed += bool(found)
        for line in found:
            print(f"seed {seed}: {line}", flush=True)
    print(f"{seeds} scenarios, {failed} with violations")


if __name__ == "__main__":
    fire.Fire(main)
