"""Measure the cost of detecting requests that crash their targets.

    python -m benchmarks.quarantine

The output has the processor time of a burst of large bodies through a gateway (callers and target
run in the same process) without a suspect, with a suspect of another customer, and with one of the
same customer and route; and the bytes for one crash of a target: report, log entry, notifications.
"""

import asyncio
import os
import statistics
import time

from tests.support.emulator.gateway import EmulatedGateway, table
from tests.support.emulator.runner import Runner
from tests.support.suspects import KEY, LocalLeader
from traystall.core.serialization import pack
from traystall.quarantine.digests import request_digest
from traystall.quarantine.models import EndedRun, ReportRuns
from traystall.quarantine.state import SuspectTable
from traystall.quarantine.wire import to_wire
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.messages import encode

_BODY_BYTES = 1_000_000
_REQUESTS = 200
_CONCURRENCY = 10
_ROUNDS = 5
# Time for connections to close, in seconds.
_CLOSE_SECONDS = 0.1
_GATEWAYS = 195
_DAEMONS = 3


def suspected(customer: str) -> LocalLeader:
    """Return a leader with three suspect requests of `customer`, two reported crashes each."""
    leader = LocalLeader()
    for number in range(3):
        ended = EndedRun(os.urandom(16), customer, "once", "plain", f"life-{number}", "refused")
        again = EndedRun(ended.digest, customer, "once", "plain", f"life-{number}-2", "refused")
        leader.table.report(ReportRuns((ended, again), (), (), 0.0))
    return leader


async def burst(leader: LocalLeader) -> float:
    """Return the processor seconds of one burst."""
    runner = await Runner("r-1").start()
    body = os.urandom(_BODY_BYTES)
    async with EmulatedGateway(table(timeout=60.0, aim=30.0), [], leader=leader) as gateway:
        gateway.add("plain", runner)
        leader.tell()
        limit = asyncio.Semaphore(_CONCURRENCY)

        async def call(number):
            async with limit:
                status, _, _ = await gateway.call(f"/once/{number}", body)
                assert status == 200

        began = time.process_time()
        await asyncio.gather(*(call(number) for number in range(_REQUESTS)))
        spent = time.process_time() - began
    await runner.stop()
    await asyncio.sleep(_CLOSE_SECONDS)
    return spent


def measure_bursts() -> None:
    """Print the median processor time of a request in each case; the cases alternate."""
    cases = {
        "no suspect": LocalLeader,
        "a suspect of another customer": lambda: suspected("bert"),
        "a suspect of the same customer and route": lambda: suspected("ana"),
    }
    spent = {name: [] for name in cases}
    for _ in range(_ROUNDS):
        for name, make in cases.items():
            spent[name].append(asyncio.run(burst(make())) / _REQUESTS * 1000)
    for name, values in spent.items():
        print(
            f"{name}: {statistics.median(values):.2f} ms a request of 1 MB "
            f"({min(values):.2f} to {max(values):.2f})"
        )


def measure_bytes() -> None:
    """Print the bytes for the crash of one target under 24 and under 64 requests."""
    for running in (24, 64):
        ended = tuple(
            EndedRun(
                request_digest(KEY, "customer-1234", f"host.example/path/{number}", b""),
                "customer-1234",
                "r-u44cpq2",
                "traystall-pool",
                "i-664bc5ce3e@1786675920632",
                "nothing listens at its address",
            )
            for number in range(running)
        )
        wire = [
            ttypes.EndedRun(
                one.digest, one.customer, one.route, one.pool, one.life, one.evidence, one.trial
            )
            for one in ended
        ]
        report = len(encode(ttypes.ReportRunsRequest(ended=wire, served=[], released=[])))
        entry = len(pack(ReportRuns(ended, (), (), 1786675920.6)))
        print(f"{running} requests: report {report} B, log entry {entry} B")
    suspects = SuspectTable()
    for number in range(2):
        for life in ("i-1@1786675920632", "i-2@1786675920632"):
            digest = ended[number].digest
            one = EndedRun(digest, "customer-1234", "r-u44cpq2", "p", life, "refused")
            suspects.report(ReportRuns((one,), (), (), 1786675920.6))
    notification = len(encode(to_wire(suspects, suspects.version - 1)))
    total = notification * _GATEWAYS * _DAEMONS
    print(
        f"notification: {notification} B a suspect, {total / 1000:.0f} KB to {_GATEWAYS} gateways"
    )


if __name__ == "__main__":
    measure_bytes()
    measure_bursts()
