"""Attainment and cost by stage under two bursts, compared with a naive gateway.

Run with: python -m benchmarks.bursts --scenario hive --fault none --seeds 3
Each cell starts real gateways, control daemons and fake targets on the loopback interface, offers
a bounded open load, and stops. All variants of a cell use the same seeds.
"""

import argparse
import asyncio
import json
import random
import statistics
import time

import aiohttp
import msgspec
import uvloop

from tests.support.cluster import Cluster

TOKEN_SECONDS = 0.02
GATEWAYS_PER_DATA_CENTRE = 3


class Stream(msgspec.Struct, frozen=True):
    """Describe one Poisson stream of requests: rate a second, deadline in seconds."""

    name: str
    pipeline: str
    customers: tuple[str, ...]
    rate: float
    deadline: float
    from_second: float = 0.0
    to_second: float = 1e9
    keyed: bool = False


class Scenario(msgspec.Struct, frozen=True):
    """Describe a burst: its bundle, streams, service times, and the pool that faults affect."""

    bundle: str
    seconds: float
    streams: tuple[Stream, ...]
    service_seconds: dict[str, float]
    faulty_pool: str
    big_customer: str


# 9 engines of 4 slots make 28 summaries of 64 tokens a second: 42 are 1.5 times that.
HIVE = Scenario(
    bundle="hive",
    seconds=14.0,
    streams=(
        Stream("quick", "quick-reading", ("coop-hsinchu", "apiary-longan"), 20.0, 1.0),
        Stream(
            "summary",
            "nightly-report",
            ("coop-hsinchu", "coop-taoyuan", "apiary-litchi"),
            42.0,
            6.0,
            2.0,
            12.0,
        ),
    ),
    service_seconds={"traystall-pool": TOKEN_SECONDS},
    faulty_pool="traystall-pool",
    big_customer="apiary-litchi",
)
# 3 retrievers and 3 rerankers of 4 slots at 0.12 s make 100 questions a second: 150 are offered.
NOMINA = Scenario(
    bundle="nomina",
    seconds=14.0,
    streams=(
        Stream(
            "stamp",
            "stamp-receipt",
            ("maquiladora-bajio", "despacho-rivera"),
            10.0,
            2.0,
            keyed=True,
        ),
        Stream("lookup", "worker-file", ("hoteles-centro", "clinica-norte"), 5.0, 2.0),
        Stream(
            "question",
            "payroll-question",
            ("maquiladora-bajio", "hoteles-centro", "panaderias-sur"),
            150.0,
            2.0,
            2.0,
            12.0,
        ),
    ),
    service_seconds={
        "asistente-nomina": 0.002,
        "nomina-retrievers": 0.12,
        "nomina-rerankers": 0.12,
    },
    faulty_pool="nomina-rerankers",
    big_customer="panaderias-sur",
)
SCENARIOS = {"hive": HIVE, "nomina": NOMINA}
FAULTS = ("none", "slow", "dead", "failing", "lagged", "greedy", "gateway-killed", "uneven")


class Outcome(msgspec.Struct):
    """Hold the outcome of one request."""

    stream: str
    status: int
    code: str
    seconds: float
    in_time: bool
    request: str


def arrivals(scenario, seed, greedy):
    """Return (time, stream, customer) ordered by time."""
    rng = random.Random(seed)
    found = []
    for stream in scenario.streams:
        end = min(stream.to_second, scenario.seconds)
        at = stream.from_second
        while (at := at + rng.expovariate(stream.rate)) < end:
            found.append((at, stream, rng.choice(stream.customers)))
    if greedy:
        found += _greedy_arrivals(scenario, rng)
    return sorted(found, key=lambda item: item[0])


def _greedy_arrivals(scenario, rng):
    """Return requests of the rate-limited customer at ten times its share of the burst."""
    stream = scenario.streams[-1]
    rate = 10 * stream.rate / len(stream.customers) / 4
    at, found = stream.from_second, []
    while (at := at + rng.expovariate(rate)) < min(stream.to_second, stream.from_second + 5):
        found.append((at, msgspec.structs.replace(stream, name="greedy"), scenario.big_customer))
    return found


async def offer(cluster, scenario, seed, greedy, kill_at, uneven=False):
    """Offer the load and return the outcomes; uneven sends 5/9 of it to one gateway."""
    rng = random.Random(seed + 1)
    started = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        killed = False
        for number, (at, stream, customer) in enumerate(arrivals(scenario, seed, greedy)):
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            if kill_at is not None and at >= kill_at and not killed:
                killed = True
                cluster.gateways[0].kill()
            address = rng.choice(
                cluster.gateway_addresses[1:] if killed else cluster.gateway_addresses
            )
            send = send_request(session, address, stream, customer, f"{seed}-{number}")
            tasks.append(asyncio.create_task(send))
        return await asyncio.gather(*tasks)


async def send_request(session, address, stream, customer, key):
    """Send one request and return its outcome."""
    headers = {
        "Traystall-Customer": customer,
        "Traystall-Deadline-Ms": str(int(stream.deadline * 1000)),
    }
    if stream.keyed:
        headers["Idempotency-Key"] = key
    url = f"http://{address}/v1/pipelines/{stream.pipeline}/requests"
    started = time.monotonic()
    status, document = 0, {}
    try:
        timeout = aiohttp.ClientTimeout(total=stream.deadline + 5)
        async with session.post(url, json={"input": key}, headers=headers, timeout=timeout) as r:
            status, document = r.status, await r.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError, ValueError):
        pass
    seconds = time.monotonic() - started
    in_time = status == 200 and seconds <= stream.deadline
    code = document.get("code", "no answer" if not status else "complete")
    return Outcome(stream.name, status, code, seconds, in_time, document.get("request", ""))


def run_cell(scenario, fault, variant, seed):
    """Return the figures of one run."""
    cluster = Cluster(
        scenario.bundle,
        gateways_per_data_centre=GATEWAYS_PER_DATA_CENTRE,
        seconds=scenario.service_seconds,
        solo=[f"{scenario.faulty_pool.removesuffix('s')}-1"],
        log_level="warning",
        variant="" if variant == "ours" else variant,
    )
    with cluster:
        apply_fault(cluster, scenario, fault)
        kill_at = 5.0 if fault == "gateway-killed" else None
        outcomes = uvloop.run(
            offer(cluster, scenario, seed, fault == "greedy", kill_at, fault == "uneven")
        )
        busy = collect_busy(cluster)
    return figures(outcomes, busy)


def apply_fault(cluster, scenario, fault):
    """Apply a fault to the first target of the faulty pool."""
    name = cluster.pool(scenario.faulty_pool)[0]
    if fault == "slow":
        cluster.set_mode(name, factor=10.0)
    elif fault == "failing":
        cluster.set_mode(name, fail=500)
    elif fault == "dead":
        cluster.fakes[name].kill()
    elif fault == "lagged":
        for target in cluster.targets:
            cluster.set_mode(target, load_delay=2.0)


def collect_busy(cluster):
    """Return busy seconds by pool and request."""
    busy: dict[str, dict[str, float]] = {}
    for row in cluster.documents["targets"]:
        records = cluster.records(row["name"])
        if records is not None:
            pool = busy.setdefault(row["pool"], {})
            for request, seconds in records["busy"].items():
                pool[request] = pool.get(request, 0.0) + seconds
    return busy


def figures(outcomes, busy):
    """Return attainment by stream, the wasted ratio, and busy seconds by pool."""
    names = sorted({o.stream for o in outcomes})
    useful = {o.request for o in outcomes if o.in_time}
    total = sum(sum(pool.values()) for pool in busy.values())
    wasted = sum(s for pool in busy.values() for r, s in pool.items() if r not in useful)
    counts: dict[str, int] = {}
    for o in outcomes:
        counts[o.code] = counts.get(o.code, 0) + 1
    result = {name: share([o.in_time for o in outcomes if o.stream == name]) for name in names}
    result["all"] = share([o.in_time for o in outcomes if o.stream != "greedy"])
    result["wasted"] = wasted / total if total else 0.0
    result["busy"] = {pool: round(sum(v.values()), 1) for pool, v in busy.items() if v}
    result["codes"] = counts
    result["offered"] = len(outcomes)
    return result


def share(flags):
    """Return the ratio of true values."""
    return sum(flags) / len(flags) if flags else 0.0


def summarize(runs):
    """Return the median and range of each ratio over the seeds."""
    names = [name for name, value in runs[0].items() if isinstance(value, float)]
    parts = []
    for name in names:
        values = [run[name] for run in runs if name in run]
        parts.append(
            f"{name} {statistics.median(values):.3f} ({min(values):.3f}-{max(values):.3f})"
        )
    return "  ".join(parts)


def main():
    """Run the chosen cells and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    parser.add_argument("--fault", choices=FAULTS, action="append")
    parser.add_argument("--variant", action="append", help="ours, naive, or mechanisms to disable")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="also print every run")
    chosen = parser.parse_args()
    for scenario in chosen.scenario or SCENARIOS:
        for fault in chosen.fault or FAULTS:
            for variant in chosen.variant or ("ours", "naive"):
                runs = [
                    run_cell(SCENARIOS[scenario], fault, variant, s) for s in range(chosen.seeds)
                ]
                print(f"{scenario:7}{fault:15}{variant:12}{summarize(runs)}", flush=True)
                if chosen.json:
                    print(json.dumps(runs), flush=True)


if __name__ == "__main__":
    main()
