"""Measure the slopes behind docs/CAPACITY.md, each at three sizes or more.

Run with: python -m benchmarks.slopes NAME, where NAME is one of subscribers, gateways, customers,
claims, tokens, routing, histograms, failover, restart, or all. CPU and memory are the operating
system's figures for the daemon's process; bytes are counted where frames are written and read.
"""

import argparse
import asyncio
import contextlib
import os
import random
import statistics
import time
from pathlib import Path

import aiohttp
import uvloop

from tests.support.cluster import CLUSTER, Cluster, get, wait_until
from traystall.catalog.bundle import load_bundle
from traystall.catalog.deltas import entities_digest
from traystall.cli.client import ControlClient
from traystall.core.exceptions import RpcError
from traystall.core.serialization import pack
from traystall.gateway.configuration import HeldRevision
from traystall.gateway.directory import DirectoryCache
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire import ttypes
from traystall.systems import routing
from traystall.systems.queues import Waiter
from traystall.tables.entities import Customer, Limits, PriorityClass, Stage, Target
from traystall.tables.targets import TargetRow

_TICKS = os.sysconf("SC_CLK_TCK")
IDLE_SECONDS = 6.0


# ---- figures of the operating system ----


def cpu_seconds(pid):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_mb(pid):
    """Return the resident size of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def rpc_bytes(http_address):
    """Return the bytes that a daemon has read and written on links."""
    lines = get(http_address, "/metrics")[1].splitlines()
    return sum(float(li.split()[-1]) for li in lines if li.startswith("traystall_rpc_bytes_total"))


def customers(count):
    """Return encoded customers of a realistic size."""
    found = {}
    for number in range(count):
        name = f"customer-{number:05d}"
        places = ("queretaro-a", "queretaro-b", "cdmx-sur")[: 1 + number % 3]
        found[f"customer/{name}"] = pack(Customer(name, places, Limits(rate=float(number % 50))))
    return found


class Operator:
    """Apply bundles through the client library, without the command line."""

    def __init__(self, cluster, extra):
        self.base = load_bundle(cluster.bundle).encoded | extra
        self.client = ControlClient(cluster.control_addresses, CLUSTER, "", 60.0)
        self.number = 1

    async def apply(self, changed=None):
        """Apply the base with some changed entities, under the next number."""
        self.number += 1
        self.base = self.base | (changed or {})
        request = ttypes.ApplyRequest(
            number=self.number,
            digest=entities_digest(self.base),
            entities=self.base,
            operator="slopes",
        )
        reply = await self.client.call_leader(request, 30.0)
        assert reply.outcome == "accepted", reply
        return time.perf_counter()


class Watcher:
    """Watch a control daemon as a gateway does, without serving requests."""

    def __init__(self, pool, address, number):
        self.link = pool.link(address)
        self.held = HeldRevision()
        self.number = number
        self.directory = DirectoryCache()
        self.held_at = {}

    async def watch_forever(self):
        """Watch until cancelled."""
        while True:
            record = ttypes.GatewayRecord(
                identity=f"watcher-{self.number}/x",
                instance=f"watcher-{self.number}",
                data_centre="queretaro-a",
                address="127.0.0.1:1",
                rpc_address="127.0.0.1:1",
                number=self.held.number,
                state="serving",
                age=0.0,
            )
            request = ttypes.WatchRequest(gateway=record, digest=self.held.digest)
            self.directory.add_known_version(request)
            with contextlib.suppress(RpcError):
                reply = await self.link.call(request, 5.0)
                self.directory.take(reply, time.monotonic())
                if self.held.take(reply):
                    self.held_at[self.held.number] = time.perf_counter()


async def start_watchers(cluster, count):
    """Return watchers with a separate link each, distributed over the control daemons."""
    watchers, tasks = [], []
    for number in range(count):
        pool = LinkPool(LinkIdentity(CLUSTER, "gateway", f"watcher-{number}"))
        address = cluster.control_addresses[number % len(cluster.control_addresses)]
        watchers.append(Watcher(pool, address, number))
        tasks.append(asyncio.create_task(watchers[-1].watch_forever()))
    return watchers, tasks


async def until_held(watchers, number):
    """Return once every watcher holds the number."""
    while any(w.held.number < number for w in watchers):
        await asyncio.sleep(0.002)


# ---- subscribers ----


def subscribers():
    """Control daemon: CPU, bytes, memory and time until in force, by watchers."""
    for count in (3, 30, 130, 390):
        with Cluster("nomina", gateways_per_data_centre=0, log_level="warning") as cluster:
            uvloop.run(_subscribers(cluster, count))


async def _subscribers(cluster, count):
    watchers, tasks = await start_watchers(cluster, count)
    operator = Operator(cluster, customers(1000))
    await operator.apply()
    await until_held(watchers, operator.number)
    await asyncio.sleep(2.0)
    leader = (await asyncio.to_thread(cluster.leader))[0]
    figures = await _idle_figures(cluster, leader)
    follower = await _idle_figures(cluster, (leader + 1) % 3)
    delays = [await _seconds_until_in_force(operator, watchers) for _ in range(5)]
    for task in tasks:
        task.cancel()
    print(
        f"subscribers {count:4}  leader cpu {figures[0] * 100:5.2f} %"
        f"  {figures[1] / 1000:6.2f} KB/s"
        f"  rss {figures[2]:5.1f} MB   follower cpu {follower[0] * 100:5.2f} %"
        f"  {follower[1] / 1000:6.2f} KB/s  rss {follower[2]:5.1f} MB"
        f"   in force after {statistics.median(delays) * 1000:6.1f} ms",
        flush=True,
    )


async def _idle_figures(cluster, position):
    """Return (share of a core, bytes a second, MB) of an idle control daemon."""
    pid = cluster.controls[position].popen.pid
    address = cluster.control_http[position]
    before = cpu_seconds(pid), await asyncio.to_thread(rpc_bytes, address), time.perf_counter()
    await asyncio.sleep(IDLE_SECONDS)
    seconds = time.perf_counter() - before[2]
    after = await asyncio.to_thread(rpc_bytes, address)
    return (cpu_seconds(pid) - before[0]) / seconds, (after - before[1]) / seconds, resident_mb(pid)


async def _seconds_until_in_force(operator, watchers):
    """Return the seconds from the accepting reply until the last watcher has the change."""
    name = f"changed-{operator.number}"
    changed = {f"customer/{name}": pack(Customer(name, ("queretaro-a",)))}
    accepted = await operator.apply(changed)
    await until_held(watchers, operator.number)
    last = max(w.held_at[operator.number] for w in watchers)
    return max(0.0, last - accepted)


# ---- gateways ----


def gateways():
    """A gateway without requests: CPU, bytes and memory, by gateways in a data centre.

    The hive bundle has ten targets in each data centre; a gateway polls each every second.
    """
    for count in (1, 2, 4):
        with Cluster("hive", gateways_per_data_centre=count, log_level="warning") as cluster:
            time.sleep(3.0)
            pid, address = cluster.gateways[0].popen.pid, cluster.gateway_addresses[0]
            before = cpu_seconds(pid), rpc_bytes(address), time.perf_counter()
            time.sleep(IDLE_SECONDS * 2)
            seconds = time.perf_counter() - before[2]
            cpu = (cpu_seconds(pid) - before[0]) / seconds * 100
            sent = (rpc_bytes(address) - before[1]) / seconds
            print(
                f"gateways a data centre {count}  cpu {cpu:5.2f} %  control {sent / 1000:5.2f} KB/s"
                f"  rss {resident_mb(pid):5.1f} MB",
                flush=True,
            )


# ---- customers ----


def customers_slope():
    """Control daemon and gateway: memory, size of a delta and of a full copy, by customers."""
    for count in (1000, 4000, 16000):
        with Cluster("nomina", log_level="warning") as cluster:
            uvloop.run(_customers(cluster, count))


async def _customers(cluster, count):
    operator = Operator(cluster, customers(count))
    started = time.perf_counter()
    await operator.apply()
    apply_seconds = time.perf_counter() - started
    await asyncio.to_thread(_wait_gateways, cluster, operator.number)
    watchers, tasks = await start_watchers(cluster, 1)
    await until_held(watchers, operator.number)
    full = sum(len(k) + len(v) for k, v in watchers[0].held.entities.items())
    pids = [cluster.controls[0].popen.pid, cluster.gateways[0].popen.pid]
    cpu = [cpu_seconds(pid) for pid in pids]
    sizes = []
    changes = 10
    for _ in range(changes):
        await asyncio.sleep(0.2)
        before = await asyncio.to_thread(rpc_bytes, cluster.gateway_addresses[0])
        await operator.apply({"customer/changed": pack(Customer("changed", ("queretaro-a",)))})
        operator.base.pop("customer/changed")
        await asyncio.to_thread(_wait_gateways, cluster, operator.number)
        after = await asyncio.to_thread(rpc_bytes, cluster.gateway_addresses[0])
        sizes.append(after - before)
    spent = [(cpu_seconds(pid) - old) / changes for pid, old in zip(pids, cpu, strict=True)]
    for task in tasks:
        task.cancel()
    memory = [resident_mb(pid) for pid in pids]
    print(
        f"customers {count:6}  full copy {full / 1000:7.1f} KB  one change"
        f" {statistics.median(sizes) / 1000:5.2f} KB at a gateway (heartbeats included)"
        f"  rss control {memory[0]:6.1f} MB gateway {memory[1]:6.1f} MB"
        f"  cpu a change: control {spent[0] * 1000:6.1f} ms gateway {spent[1] * 1000:6.1f} ms"
        f"  first apply {apply_seconds:5.2f} s",
        flush=True,
    )


def _wait_gateways(cluster, number):
    wait_until(
        lambda: all(
            f"traystall_configuration_number {number}" in get(a, "/metrics")[1]
            for a in cluster.gateway_addresses
        ),
        f"number {number} at every gateway",
    )


# ---- claims ----


def claims():
    """Keyed claims a second through three replicas, by concurrency."""
    with Cluster("nomina", gateways_per_data_centre=0, log_level="warning") as cluster:
        uvloop.run(_claims(cluster))


async def _claims(cluster):
    leader = (await asyncio.to_thread(cluster.leader))[0]
    address = cluster.control_addresses[leader]
    pool = LinkPool(LinkIdentity(CLUSTER, "gateway", "claimant"))
    alone = None
    pids = [control.popen.pid for control in cluster.controls]
    for concurrency in (1, 8, 64, 256):
        cpu = [cpu_seconds(pid) for pid in pids]
        rate, median = await _claim_many(pool.link(address), concurrency, 200 + concurrency * 12)
        spent = [cpu_seconds(pid) - old for pid, old in zip(pids, cpu, strict=True)]
        count = 200 + concurrency * 12
        alone = alone or rate
        print(
            f"concurrent claims {concurrency:4}  {rate:6.0f} /s  speed-up {rate / alone:5.1f}"
            f"  median {median * 1000:6.2f} ms  cpu a claim: leader"
            f" {spent[leader] / count * 1e6:5.0f} us, follower"
            f" {spent[(leader + 1) % 3] / count * 1e6:5.0f} us",
            flush=True,
        )


async def _claim_many(link, concurrency, count):
    left = iter(range(count))
    times = []

    async def worker():
        for number in left:
            key = f"{concurrency}-{number}"
            request = ttypes.ClaimRequest(
                customer="c",
                key=key,
                fingerprint=b"f" * 16,
                claim_id=key,
                claimant="g/1",
                retention=3600.0,
                stage="s",
            )
            started = time.perf_counter()
            reply = await link.call(request, 10.0)
            times.append(time.perf_counter() - started)
            assert reply.outcome == "won"

    started = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(concurrency)))
    return count / (time.perf_counter() - started), statistics.median(times)


# ---- tokens ----


def tokens():
    """Streamed tokens a second that one gateway relays, by concurrent streams."""
    with Cluster("hive", log_level="warning", seconds={"traystall-pool": 0.0}) as cluster:
        uvloop.run(_tokens(cluster))


async def _tokens(cluster):
    pid = cluster.gateways[0].popen.pid
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for concurrency in (2, 8, 24):
            cpu, started = cpu_seconds(pid), time.perf_counter()
            counts = await asyncio.gather(
                *(_stream(cluster, session, 12) for _ in range(concurrency))
            )
            seconds = time.perf_counter() - started
            spent = cpu_seconds(pid) - cpu
            total = sum(counts)
            print(
                f"concurrent streams {concurrency:3}  {total / seconds:7.0f} tokens/s"
                f"  {total / spent:7.0f} tokens a second of gateway cpu"
                f"  ({spent / seconds * 100:.0f} % of a core)",
                flush=True,
            )


async def _stream(cluster, session, rounds):
    url = f"http://{cluster.gateway_addresses[0]}/v1/pipelines/nightly-report/requests"
    headers = {"Traystall-Customer": "coop-hsinchu", "Accept": "text/event-stream"}
    count = 0
    for _ in range(rounds):
        async with session.post(url, json={"input": "x"}, headers=headers) as response:
            text = await response.text()
        count += text.count("event: token")
    return count


# ---- routing ----


def routing_slope():
    """Time of one routing decision, by candidates."""
    rng = random.Random(1)
    stage = Stage("generate", "pool", "engine", model="m")
    customer = Customer("c", ("place",))
    base = None
    for count in (6, 60, 640):
        rows = [
            TargetRow(Target(f"t{n}", "pool", "engine", "place", f"127.0.0.1:{n}"), share=2)
            for n in range(count)
        ]
        for row in rows:
            row.bulk_in_flight = rng.randint(0, 1)
        waiter = Waiter("r", customer, stage, PriorityClass.LONG, 9.0, 9.0, frozenset(), 0.0)
        rounds = 20_000 // count
        started = time.perf_counter()
        for _ in range(rounds):
            found = routing.candidates(rows, customer, stage, frozenset(), 1.0)
            routing.choose(found, waiter, 1.0, rng)
        seconds = (time.perf_counter() - started) / rounds
        base = base or seconds
        print(
            f"candidates {count:4}  {seconds * 1e6:7.1f} us a decision"
            f"  ratio {seconds / base:5.1f}",
            flush=True,
        )


# ---- learned durations ----


def histograms():
    """Memory of a gateway's learned durations, by (pipeline, stage) pairs."""
    from traystall.systems.estimates import TimeTable

    before, held = resident_mb(os.getpid()), []
    for pairs in (50, 150, 450):
        table = TimeTable()
        for number in range(pairs):
            times = table.of("pipeline", str(number), 0.0)
            for value in range(200):
                times.record(0.001 * value, 0.0)
        held.append(table)
        after = resident_mb(os.getpid())
        print(f"pairs {pairs:4}  {after - before:6.1f} MB more", flush=True)
        before = after


# ---- fail-over and restart ----


def failover():
    """Time until a killed leader is replaced, in minimum election timeouts of 1 s."""
    times = []
    for _ in range(5):
        with Cluster("nomina", gateways_per_data_centre=0, log_level="warning") as cluster:
            leader = cluster.leader()[0]
            cluster.controls[leader].kill()
            times.append(uvloop.run(_until_claim(cluster, leader)))
    print(
        f"fail-over, kill to first commit: median {statistics.median(times):.2f}"
        f" (min {min(times):.2f}, max {max(times):.2f}) election timeouts",
        flush=True,
    )


async def _until_claim(cluster, dead):
    from traystall.gateway.ledger import LedgerClient

    started = time.perf_counter()
    pool = LinkPool(LinkIdentity(CLUSTER, "gateway", "claimant"))
    alive = [a for n, a in enumerate(cluster.control_addresses) if n != dead]
    request = ttypes.ClaimRequest(
        customer="c",
        key="k",
        fingerprint=b"f",
        claim_id="i",
        claimant="g/1",
        retention=60.0,
        stage="s",
    )
    await LedgerClient(pool, alive).claim(request, 30.0)
    return time.perf_counter() - started


def restart():
    """Restart time and memory of a control daemon, by customers and log entries."""
    for count, entries in ((1000, 100), (4000, 2000), (16000, 10000)):
        flags = ["--snapshot-every=1000000"]
        with Cluster(
            "nomina", gateways_per_data_centre=0, log_level="warning", control_flags=flags
        ) as cluster:
            uvloop.run(_fill(cluster, count, entries))
            follower = (cluster.leader()[0] + 1) % 3
            cluster.controls[follower].kill()
            started = time.perf_counter()
            cluster.controls[follower].start()
            wait_until(
                lambda c=cluster, f=follower: get(c.control_http[f], "/readyz")[0] == 200, "ready"
            )
            seconds = time.perf_counter() - started
            memory = resident_mb(cluster.controls[follower].popen.pid)
            print(
                f"restart with {count:6} customers, {entries:6} entries: {seconds:5.2f} s,"
                f" rss {memory:6.1f} MB",
                flush=True,
            )


async def _fill(cluster, count, entries):
    await Operator(cluster, customers(count)).apply()
    leader = (await asyncio.to_thread(cluster.leader))[0]
    pool = LinkPool(LinkIdentity(CLUSTER, "gateway", "claimant"))
    await _claim_many(pool.link(cluster.control_addresses[leader]), 128, entries)


SLOPES = {
    "subscribers": subscribers,
    "gateways": gateways,
    "customers": customers_slope,
    "claims": claims,
    "tokens": tokens,
    "routing": routing_slope,
    "histograms": histograms,
    "failover": failover,
    "restart": restart,
}


def main():
    """Run the chosen slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=[*SLOPES, "all"])
    name = parser.parse_args().name
    for slope in SLOPES.values() if name == "all" else [SLOPES[name]]:
        slope()


if __name__ == "__main__":
    main()
