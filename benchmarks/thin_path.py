"""Compare requests through one gateway with direct calls of the same fake targets.

Run with: python -m benchmarks.thin_path
"""

import asyncio
import time

import aiohttp
import uvloop

from tests.support.cluster import Cluster

REQUESTS = 600
CONCURRENCY = 8
ROUNDS = 3
STAGES = 4


async def _closed_loop(session, send):
    """Return requests a second and the mean duration in seconds of a bounded closed loop."""
    left = iter(range(REQUESTS))
    started = time.perf_counter()

    async def worker():
        for _ in left:
            await send(session)

    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    elapsed = time.perf_counter() - started
    return REQUESTS / elapsed, elapsed * CONCURRENCY / REQUESTS


async def _post(session, address, path, body, headers=None):
    async with session.post(f"http://{address}{path}", json=body, headers=headers) as response:
        data = await response.read()
        assert response.status == 200, data


def _through_gateway(cluster):
    headers = {"Traystall-Customer": "coop-hsinchu"}
    path = "/v1/pipelines/nightly-report/requests"

    async def send(session):
        body = {"input": "x", "max_tokens": 4}
        await _post(session, cluster.gateway_addresses[0], path, body, headers)

    return send


def _direct(cluster):
    pools = ("hive-encoders", "hive-retrievers", "hive-rerankers", "traystall-pool")
    addresses = [[cluster.targets[name] for name in cluster.pool(pool)] for pool in pools]
    paths = ("/v1/embeddings", "/v1/search", "/v1/rerank", "/v1/completions")
    body = {
        "input": "x",
        "query": "x",
        "documents": [],
        "prompt": "x",
        "max_tokens": 4,
        "resume_tokens": [],
    }
    request_numbers = iter(range(10**9))

    async def send(session):
        position = next(request_numbers)
        for choices, path in zip(addresses, paths, strict=True):
            await _post(session, choices[position % len(choices)], path, body)

    return send


async def _measure(cluster):
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for send in (_through_gateway(cluster), _direct(cluster)):
            await _closed_loop(session, send)
        for _ in range(ROUNDS):
            direct = await _closed_loop(session, _direct(cluster))
            ours = await _closed_loop(session, _through_gateway(cluster))
            added = (ours[1] - direct[1]) / STAGES
            print(
                f"direct {direct[0]:6.0f} requests/s   gateway {ours[0]:6.0f} requests/s   "
                f"ratio {ours[0] / direct[0]:.2f}   added {added * 1000:5.2f} ms a stage"
            )


def main():
    """Print one line for each round."""
    with Cluster("hive", log_level="warning") as cluster:
        uvloop.run(_measure(cluster))


if __name__ == "__main__":
    main()
