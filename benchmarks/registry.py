"""Measure a gateway's traffic from the registries, idle and during a rolling restart of targets.

    python -m benchmarks.registry [TARGETS] [DAEMONS]

Each target reports once a second to one control daemon; the daemons follow each other, and one
gateway follows all of them, in one process. Every message is encoded and decoded. The output has
bytes a second at the gateway, and the processor time of the daemons for building and encoding the
replies to it.
"""

import asyncio
import sys
import time

from traystall.core import clock
from traystall.registry.follower import RegistryFollower
from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.service import RegistryService
from traystall.registry.table import Registry
from traystall.rpc.gen.wire.ttypes import Member, RegistryReply, RegistryRequest
from traystall.rpc.messages import decode, encode

_REPORT_SECONDS = 1.0
# Interval between restarts; a target drains, leaves, and returns with a new incarnation.
_RESTART_INTERVAL_SECONDS = 0.4
_DRAIN_SECONDS = 0.2


class ReplyCounts:
    """Count the replies to one watcher."""

    def __init__(self):
        self.replies = 0
        self.reply_bytes = 0
        self.age_bytes = 0
        self.control_seconds = 0.0

    def figures(self) -> dict[str, float]:
        """Return all counts by name."""
        return {
            "replies": self.replies,
            "KB": self.reply_bytes / 1000,
            "KB of ages": self.age_bytes / 1000,
            "s of all daemons": self.control_seconds,
        }


class Daemon:
    """Run one registry that follows the others."""

    def __init__(self, number: int, daemons: list["Daemon"]):
        self.address = f"10.20.{number}.1:7000"
        self.service = RegistryService(lambda: [_member(daemon) for daemon in daemons])
        self.follower = RegistryFollower(
            Links(daemons, ReplyCounts()),
            self.address,
            lambda: [daemon.address for daemon in daemons if daemon is not self],
        )
        self.follower.merge = self._merge
        self.follower.record_seen = self.service.registry.record_seen

    def _merge(self, report, seen_at):
        if self.service.registry.merge(report, seen_at):
            self.service.wake()


class Links:
    """Connect addresses to the registries of this process and count the replies."""

    def __init__(self, daemons: list[Daemon], reply_counts: ReplyCounts):
        self._daemons = daemons
        self._reply_counts = reply_counts

    def link(self, address: str) -> "_Link":
        """Return the link to one daemon."""
        service = next(d.service for d in self._daemons if d.address == address)
        return _Link(service, self._reply_counts)


class _Link:
    def __init__(self, service, reply_counts):
        self._service = service
        self._reply_counts = reply_counts

    async def call(self, request, timeout):
        async with asyncio.timeout(timeout):
            reply = await self._service.watch(decode(RegistryRequest, encode(request)))
        began = time.perf_counter()
        body = encode(reply)
        self._reply_counts.control_seconds += time.perf_counter() - began
        self._reply_counts.replies += 1
        self._reply_counts.reply_bytes += len(body)
        if reply.ages:
            self._reply_counts.age_bytes += len(encode(RegistryReply(ages=reply.ages)))
        return decode(RegistryReply, body)


class Target:
    """Report to one daemon once a second."""

    def __init__(self, number: int, daemon: Daemon):
        self._name = f"model-server-{number:03}"
        self._address = f"10.30.{number}.1:9000"
        self._daemon = daemon
        self._incarnation = 1
        self._sequence = 0

    @property
    def identity(self) -> str:
        """Return the identity of the current incarnation."""
        return f"{self._name}/{self._incarnation:020x}"

    async def run_forever(self) -> None:
        """Report until cancelled."""
        while True:
            self._report(RegisteredState.READY)
            await asyncio.sleep(_REPORT_SECONDS)

    async def restart(self) -> None:
        """Drain, leave, and return as a new incarnation."""
        self._report(RegisteredState.DRAINING)
        await asyncio.sleep(_DRAIN_SECONDS)
        self._daemon.service.leave(self.identity)
        self._incarnation += 1
        await asyncio.sleep(_DRAIN_SECONDS / 2)
        self._report(RegisteredState.READY)

    def _report(self, state):
        self._sequence += 1
        report = TargetReport(
            identity=self.identity,
            pool="embedding-large",
            address=self._address,
            data_centre="queretaro-3",
            version="1.4.2",
            slots=8,
            state=state,
            sequence=self._sequence,
        )
        self._daemon.service.report(report)


class Site:
    """Run daemons, targets and one gateway; `registry` is the gateway's registry."""

    def __init__(self, targets: int, daemons: int):
        self.daemons: list[Daemon] = []
        for number in range(daemons):
            self.daemons.append(Daemon(number, self.daemons))
        self.targets = [Target(n, self.daemons[n % daemons]) for n in range(targets)]
        self.registry = Registry()
        self.reply_counts = ReplyCounts()
        self.largest_age_seconds = 0.0
        follower = RegistryFollower(
            Links(self.daemons, self.reply_counts),
            "gateway",
            lambda: [d.address for d in self.daemons],
        )
        follower.merge = self.registry.merge
        follower.record_seen = self.registry.record_seen
        runs = [target.run_forever() for target in self.targets]
        runs += [daemon.follower.follow_forever() for daemon in self.daemons]
        self._tasks = [asyncio.create_task(run) for run in (*runs, follower.follow_forever())]

    async def measure(self, seconds: float, restarts: bool) -> dict[str, float]:
        """Return the counts a second over `seconds`, and the largest age known at the gateway."""
        before, began = self.reply_counts.figures(), time.perf_counter()
        self.largest_age_seconds = 0.0
        async with asyncio.timeout(seconds + 10.0), asyncio.TaskGroup() as group:
            if restarts:
                group.create_task(self._restart_in_turn(seconds))
            group.create_task(self._record_ages(seconds))
        passed = time.perf_counter() - began
        figures = {n: (v - before[n]) / passed for n, v in self.reply_counts.figures().items()}
        return figures | {"greatest age, s": self.largest_age_seconds}

    async def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _restart_in_turn(self, seconds):
        for target in self.targets[: int(seconds / _RESTART_INTERVAL_SECONDS)]:
            await target.restart()
            await asyncio.sleep(_RESTART_INTERVAL_SECONDS - 1.5 * _DRAIN_SECONDS)

    async def _record_ages(self, seconds):
        """Record the largest age, at the gateway, of rows that are ready."""
        end = clock.monotonic() + seconds
        while clock.monotonic() < end:
            now = clock.monotonic()
            ages = [now - row.seen_at for row in self.registry.rows() if row.is_ready]
            self.largest_age_seconds = max([self.largest_age_seconds, *ages])
            await asyncio.sleep(0.02)


def _member(daemon):
    return Member(
        identity=f"control/{id(daemon):020x}",
        address=daemon.address,
        data_centre="queretaro-1",
        voter=True,
    )


async def measure(targets: int, daemons: int, seconds: float) -> tuple[dict, dict]:
    """Return the figures when idle and while targets restart."""
    site = Site(targets, daemons)
    await asyncio.sleep(2.5)
    idle = await site.measure(seconds, restarts=False)
    restarting = await site.measure(seconds, restarts=True)
    await site.stop()
    return idle, restarting


def main() -> None:
    """Print the figures."""
    targets = int(sys.argv[1]) if len(sys.argv) > 1 else 160
    daemons = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    idle, restarting = asyncio.run(measure(targets, daemons, 8.0))
    print(f"{'per second':18} {'idle':>10} {'restarting':>10}")
    for name, value in idle.items():
        print(f"{name:18} {value:10.3f} {restarting[name]:10.3f}")


if __name__ == "__main__":
    main()
