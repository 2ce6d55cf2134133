"""Measure the cost of a large configuration: on narrow links, in processor time and in memory.

Run with: python -m benchmarks.transfer NAME, where NAME is one of links, packing, starts, feeding,
or all. Sizes are bytes (KB: 1,000 bytes), times are seconds unless stated. All parts together take
three to five minutes.
"""

import argparse
import asyncio
import re
import statistics
import time
import tracemalloc

import uvloop

from benchmarks.slopes import Operator, cpu_seconds, customers
from benchmarks.transfer_links import links
from benchmarks.transfer_routes import documents, entities_of, plain_routes, raw_size
from tests.support.cluster import CLUSTER, Cluster, get, wait_until
from traystall.catalog import transfers
from traystall.catalog.deltas import entities_digest
from traystall.cli.client import ControlClient
from traystall.gateway.configuration import ConfigurationFollower, HeldRevision
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.copies import fill_reply
from traystall.rpc.gen.wire.ttypes import ApplyRequest, GatewayRecord, WatchReply

ENTITIES = (1_400, 4_800, 16_000)
ROUNDS = 5
CHANGED_ROUTES = 1_400
FEEDING = (10, 28, 56)
# The calculated site: gateways, control daemons, bits a second of a daemon's link.
SITE_GATEWAYS, SITE_CONTROLS, SITE_BITS = 390, 7, 1_000_000_000


# ---- packing ----


def packing() -> None:
    """Size and processor time to pack, unpack and apply a full copy, by entities."""
    for count in ENTITIES:
        entities = entities_of(plain_routes(count))
        copy = transfers.full_copy(entities, entities_digest(entities))
        in_order = transfers.full_copy(dict(sorted(entities.items())), copy.result)
        packed = transfers.pack_copy(copy)
        assert packed == transfers.pack_copy(in_order)
        raw = raw_size(entities)
        print(
            f"entities {len(entities):6}  raw {raw / 1000:7.1f} KB"
            f"  packed {len(packed.data) / 1000:6.1f} KB (1/{raw / len(packed.data):.1f})"
            f"  pack {_milliseconds(transfers.pack_copy, copy):6.1f} ms"
            f" (entities in key order {_milliseconds(transfers.pack_copy, in_order):5.1f} ms)"
            f"  unpack {_milliseconds(transfers.unpack_copy, packed.data):6.1f} ms"
            f"  apply {_milliseconds(_apply, copy):6.1f} ms"
            f"  routes built from it {_milliseconds(documents.translate, 1, entities):7.1f} ms",
            flush=True,
        )
        _print_retained(entities)


def _milliseconds(action, *arguments) -> float:
    """Return the median processor time of a call in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        before = time.process_time()
        action(*arguments)
        times.append(time.process_time() - before)
    return statistics.median(times) * 1000


def _apply(copy):
    reply = WatchReply(number=1)
    fill_reply(reply, copy)
    assert HeldRevision().take(reply)


def _print_retained(entities):
    """Print the memory of the packed copies that a source retains, and of packing one."""
    copies = [
        transfers.full_copy(entities | {"n": bytes([n])}, bytes([n]))
        for n in range(transfers.MAX_CACHED_COPIES)
    ]
    tracemalloc.start()
    kept = transfers.PackedCopyCache()
    for copy in copies:
        kept.get(copy.base, copy.result, lambda c=copy: c)
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"  {len(copies)} packed copies retained {held / 1e6:6.2f} MB,"
        f" at most {peak / 1e6:6.2f} MB while one is packed",
        flush=True,
    )


# ---- starts ----


def starts() -> None:
    """Bytes that a starting gateway reads from its control daemons, by customers."""
    for count in (1000, 4000, 16000):
        with Cluster("nomina", log_level="warning") as cluster:
            operator = Operator(cluster, customers(count))
            uvloop.run(operator.apply())
            gateway, address = cluster.gateways[0], cluster.gateway_addresses[0]
            _until_number(address, operator.number)
            taken = []
            for _ in range(3):
                gateway.kill()
                gateway.start()
                _until_number(address, operator.number)
                taken.append(_bytes_in(address))
            raw = raw_size(operator.base)
            figures = "; ".join(
                f"{kind} {statistics.median(t.get(kind, 0) for t in taken) / 1000:.1f} KB"
                for kind in ("watch", "transfer")
            )
            print(f"customers {count:6}  raw {raw / 1000:7.1f} KB  a start reads {figures}")


def _until_number(address, number):
    line = f"traystall_configuration_number {number}"
    wait_until(lambda: line in get(address, "/metrics")[1], f"number {number} at {address}")


def _bytes_in(address, direction="in") -> dict[str, float]:
    """Return the bytes that a daemon has read, or written, by kind."""
    pattern = rf'^traystall_rpc_bytes_total{{direction="{direction}",kind="(\w+)"}} (\S+)$'
    found = re.findall(pattern, get(address, "/metrics")[1], re.MULTILINE)
    return {kind: float(value) for kind, value in found}


# ---- feeding ----


def feeding() -> None:
    """One control daemon: bytes and processor time of a change of 1,400 routes, by gateways."""
    for count in FEEDING:
        with Cluster(
            "nomina", controls=1, gateways_per_data_centre=0, log_level="warning"
        ) as cluster:
            uvloop.run(_feed_gateways(cluster, count))


async def _feed_gateways(cluster, count):
    followers, tasks = _start_followers(cluster.control_addresses, count)
    client = ControlClient(cluster.control_addresses, CLUSTER, "", 60.0)
    routes = plain_routes(CHANGED_ROUTES)
    pid, address = cluster.controls[0].popen.pid, cluster.control_http[0]
    figures = []
    for number in range(2, 4 + ROUNDS):
        for route in routes:
            route["timeout-ms"] += number
        entities = entities_of(routes)
        await asyncio.sleep(0.5)
        before = await _configuration_bytes_sent(address), cpu_seconds(pid)
        request = ApplyRequest(
            number=number, digest=entities_digest(entities), entities=entities, operator="slopes"
        )
        assert (await client.call_leader(request, 30.0)).outcome == "accepted"
        accepted, cpu = time.perf_counter(), cpu_seconds(pid)
        while any(follower.held.number < number for follower in followers):
            await asyncio.sleep(0.002)
        seconds = time.perf_counter() - accepted
        after = await _configuration_bytes_sent(address), cpu_seconds(pid)
        figures.append((after[0] - before[0], cpu - before[1], after[1] - cpu, seconds))
    for task in tasks:
        task.cancel()
    # The first two changes are warm-up: they fill empty caches and configurations.
    sent, taking, cpu, seconds = (statistics.mean(f) for f in zip(*figures[2:], strict=True))
    print(
        f"gateways {count:4}  a change of {CHANGED_ROUTES} routes,"
        f" {raw_size(entities) / 1000:.0f} KB raw:"
        f" {sent / 1000:8.1f} KB sent ({sent / count / 1000:5.1f} a gateway),"
        f" cpu of the daemon until accepted {taking * 1000:5.0f} ms,"
        f" then {cpu * 1000:5.0f} ms ({cpu / count * 1000:5.2f} a gateway);"
        f" all in force after {seconds:5.2f} s (the gateways share one process)",
        flush=True,
    )
    if count == FEEDING[-1]:
        _print_site(sent / count, cpu / count)


def _start_followers(addresses, count):
    followers, tasks = [], []
    for number in range(count):
        pool = LinkPool(LinkIdentity(CLUSTER, "gateway", f"gateway-{number}"))
        name = f"gateway-{number}"
        record = GatewayRecord(
            identity=f"{name}/x",
            instance=name,
            data_centre="queretaro-a",
            address="127.0.0.1:1",
            rpc_address="127.0.0.1:1",
            number=0,
            state="serving",
            age=0.0,
        )
        follower = ConfigurationFollower(pool, list(addresses), [], lambda r=record: r)
        followers.append(follower)
        tasks.append(asyncio.create_task(follower.follow_forever()))
    return followers, tasks


async def _configuration_bytes_sent(address):
    """Return the bytes of configuration that a daemon has written."""
    kinds = await asyncio.to_thread(_bytes_in, address, "out")
    return kinds.get("watch", 0) + kinds.get("transfer", 0)


def _print_site(bytes_each, cpu_each):
    """Extrapolate the figures of one daemon to a whole site and print them as calculated."""
    each = SITE_GATEWAYS / SITE_CONTROLS
    print(
        f"calculated: {SITE_GATEWAYS} gateways on {SITE_CONTROLS} daemons, {each:.0f} each:"
        f" {bytes_each * SITE_GATEWAYS / 1e6:.1f} MB a change for the site;"
        f" a daemon's link is busy for {bytes_each * each * 8 / SITE_BITS * 1000:.0f} ms,"
        f" one core for {cpu_each * each:.2f} s",
        flush=True,
    )


PARTS = {"links": links, "packing": packing, "starts": starts, "feeding": feeding}


def main() -> None:
    """Run the chosen parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=[*PARTS, "all"], nargs="?", default="all")
    name = parser.parse_args().name
    for part in PARTS.values() if name == "all" else [PARTS[name]]:
        part()


if __name__ == "__main__":
    main()
