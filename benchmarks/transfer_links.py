"""Measure the transfer of a large configuration over a narrow link; part of `benchmarks.transfer`.

Three control daemons and the link run in this process, the gateway in a separate one. Sizes are
bytes (KB: 1,000 bytes), times seconds.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.transfer_routes import entities_of, of_size, plain_routes, raw_size
from tests.support.control_group import ControlGroup, free_address
from tests.support.narrow_link import NarrowLink
from traystall.catalog.deltas import entities_digest
from traystall.catalog.transfers import full_copy, pack_copy

# Sizes of the routes in the operators' format, in bytes.
SIZES = (100_000, 300_000, 600_000, 1_600_000)
# Bits a second of a gateway's link, and the ratio that other traffic uses.
WIDTHS = ((10_000_000, 0.5), (5_000_000, 0.5), (1_000_000, 0.0))
# Uptime of a gateway when a change arrives, in seconds: longer than a watch is held.
RUNNING_SECONDS = 1.2
# Timeout of a case, in seconds.
CASE_SECONDS = 60.0


class GatewayProcess:
    """Control a gateway in a separate process."""

    async def open(self) -> None:
        """Start the process; the gateway in it is not started yet."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.transfer_gateway",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.events: list[dict] = []
        await self._until(lambda line: line["event"] == "done")

    async def execute(self, do: str, **fields) -> dict:
        """Send a command; return the event that completes it."""
        self._process.stdin.write(json.dumps({"do": do, **fields}).encode() + b"\n")
        return await self._until(lambda line: line["event"] == "done")

    async def until_in_force(self, number: int) -> dict:
        """Return the event with which revision `number` came into force."""

        def is_in_force(line):
            return line["event"] == "configuration" and line["number"] >= number

        found = [line for line in self.events if is_in_force(line)]
        return found[0] if found else await self._until(is_in_force)

    async def close(self) -> None:
        """End the process."""
        self._process.stdin.close()
        await self._process.wait()

    async def _until(self, condition):
        async with asyncio.timeout(CASE_SECONDS):
            while True:
                line = json.loads(await self._process.stdout.readline())
                self.events.append(line)
                if condition(line):
                    return line


class Site:
    """Run three control daemons, and one gateway behind a narrow link."""

    def __init__(self, root, bits: int, busy: float, gateway: GatewayProcess):
        self.group = ControlGroup(Path(root))
        self.link = NarrowLink(bits / 8, busy)
        self.gateway = gateway
        self.number = 0

    async def start(self) -> None:
        """Form the control group."""
        for name in "abc":
            self.group.listening[name] = free_address()
            self.group.addresses[name] = await self.link.add(name, self.group.listening[name])
        await asyncio.gather(*(self.group.start(name, founding=True) for name in "abc"))
        await self.group.until(lambda: self.group.live_voters() == {"a", "b", "c"})

    async def apply(self, number: int, entities) -> float:
        """Put a revision into force at the control group; return when it was acknowledged."""
        self.number = number
        reply = await self.group.apply_entities("a", number, entities)
        acknowledged = time.monotonic()
        assert reply.outcome == "accepted", reply
        return acknowledged

    async def settle(self) -> None:
        """Return once every control daemon has the newest revision."""
        daemons = self.group.daemons.values()
        await self.group.until(
            lambda: all(d.node.state.catalog.number == self.number for d in daemons)
        )

    async def start_gateway(self) -> None:
        """Start the gateway again, with empty state."""
        values = {
            "cluster": "test",
            "instance": "gateway",
            "data-centre": "here",
            "listen": free_address(),
            "rpc-listen": free_address(),
            "control": ",".join(self.group.addresses.values()),
            "drain-notice": "0",
        }
        argv = [f"--{name}={value}" for name, value in values.items()]
        await self.gateway.execute("start", argv=argv)

    async def measure(self, begin, number: int, packed: int) -> str:
        """Return figures from `begin` until revision `number` is in force at the gateway.

        `begin` returns the start time of the measurement.
        """
        self.gateway.events.clear()
        cpu = (await self.gateway.execute("sample"))["cpu"]
        own_cpu = time.process_time()
        bytes_before, link_before = self.link.delivered.total(), self.link.seconds
        since = await begin()
        applied = await self.gateway.until_in_force(number)
        received = self.link.delivered.total() - bytes_before
        link_seconds = self.link.seconds - link_before
        own_cpu = time.process_time() - own_cpu
        cpu = (await self.gateway.execute("sample"))["cpu"] - cpu
        ended = [line for line in self.gateway.events if line["event"] == "transfer"]
        return (
            f"read {received / 1000:8.1f} KB"
            f"  in force after {max(0.0, applied['at'] - since):6.2f} s"
            f"  link's clock {link_seconds:6.2f} s"
            f" (minimum {packed / self.link.free_bytes_per_second:6.2f})"
            f"  transfers {len(ended)} failed chunks {sum(line['failures'] for line in ended)}"
            f"  cpu gateway {cpu:5.3f} s, daemons and link {own_cpu:5.3f} s"
        )

    async def stop(self) -> None:
        """Stop all parts except the gateway's process."""
        await self.group.stop_all()
        await self.link.close()


def links() -> None:
    """One gateway: bytes, seconds and processor time of a revision, by size and link.

    Seconds count from the acknowledgement of a change, or from the command that starts a gateway.
    """
    uvloop.run(_links())


async def _links():
    gateway = GatewayProcess()
    await gateway.open()
    base = entities_of(plain_routes(1))
    for bits, busy in WIDTHS:
        with tempfile.TemporaryDirectory() as root:
            site = Site(root, bits, busy, gateway)
            await site.start()
            for is_random in (False, True):
                for size in SIZES:
                    await _measure_case(site, base, of_size(size, is_random), is_random, bits)
            await site.stop()
    await gateway.close()


async def _measure_case(site, base, large, is_random, bits):
    raw = raw_size(large)
    packed = len(pack_copy(full_copy(large, entities_digest(large))).data)
    label = (
        f"{bits / 1e6:4.0f} Mbit/s  {'random' if is_random else 'plain '}"
        f"  raw {raw / 1000:7.1f} KB  packed {packed / 1000:7.1f} KB"
    )
    number = site.number + 2
    await site.apply(number - 1, base)
    await site.settle()
    await site.start_gateway()
    await site.gateway.until_in_force(number - 1)
    await asyncio.sleep(RUNNING_SECONDS)

    async def change():
        return await site.apply(number, large)

    print(f"{label}  delta  {await site.measure(change, number, packed)}", flush=True)
    await site.gateway.execute("stop")
    await site.settle()

    async def begin():
        began = time.monotonic()
        await site.start_gateway()
        return began

    print(f"{label}  start  {await site.measure(begin, number, packed)}", flush=True)
    await site.gateway.execute("stop")
