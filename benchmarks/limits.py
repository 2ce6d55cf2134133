"""Compare methods for gateways to share the limit of one target, on a stepped clock.

    python -m benchmarks.limits [--seconds 60] [--seeds 3]

Requests arrive at random, spread evenly or mostly at two gateways, after an idle minute. The
output has, for each method, number of gateways and limit: the largest number of requests in any
4 s next to the number allowed, the used ratio of the limit, the ratio of requests that were denied
though demand was below the limit, and messages a second of one gateway.
"""

import asyncio
import random

import fire

from tests.support.lending import LendingSite
from traystall.core import clock

SPAN_SECONDS = 4.0
SIZES = (1, 9, 24, 195, 390)
LIMITS = (0.1, 0.25, 1.0, 5.0, 20.0, 500.0)
# Ratio of the requests at each of two gateways to those at each other gateway.
SKEW = 10.0


def allowed(limit: float) -> float:
    """Return the number of requests that a target allows in 4 s."""
    return 1.5 * limit * SPAN_SECONDS + 5


def most_within(times: list[float]) -> int:
    """Return the largest number of requests in any 4 s."""
    ends, most = 0, 0
    for number, at in enumerate(times):
        while ends < len(times) and times[ends] < at + SPAN_SECONDS:
            ends += 1
        most = max(most, ends - number)
    return most


class TokenBuckets:
    """Give each gateway a token bucket of one request, filled by its share of the limit."""

    def __init__(self, names: list[str], limit: float):
        self._interval = len(names) / limit
        self._next = dict.fromkeys(names, 0.0)

    def take(self, name: str, now: float) -> bool:
        """Return whether a gateway may send a request."""
        if now < self._next.get(name, float("inf")):
            return False
        self._next[name] = max(now, self._next[name]) + self._interval
        return True


def arrivals(size, per_second, is_skewed, seconds, source):
    """Return (time, gateway) of each request."""
    names = [f"g-{n}" for n in range(size)]
    weights = [SKEW if is_skewed and n < 2 else 1.0 for n in range(size)]
    now, found = 0.0, []
    while (now := now + source.expovariate(per_second)) < seconds:
        found.append((now, source.choices(names, weights)[0]))
    return found


def simulate_shares(size, limit, requests, senders=None):
    """Return the sent requests if each gateway, or each of a few, has a share of the limit."""
    names = [f"g-{n}" for n in range(senders or size)]
    buckets = TokenBuckets(names, limit)
    return [at for at, name in requests if buckets.take(name, at)], 0


async def simulate_permits(size, limit, requests, seed):
    """Return the sent requests if each needs a permit of a lender, and the number of messages."""
    site = LendingSite(_use_clock, size, limit, seed)
    began, site.messages = site.now, 0
    for at, name in requests:
        site.now = began + at
        await site.ask(name)
    return sorted(at for at, _ in site.sent), site.messages


def _use_clock(now):
    clock.monotonic = now


async def compare(seconds: float, seeds: int) -> None:
    """Print the table."""
    print("| method | gateways | limit | demand | most in 4 s (allowed) | used | messages |")
    print("|---|---|---|---|---|---|---|")
    for size in SIZES:
        for limit in LIMITS:
            for is_skewed in (False, True) if size > 2 else (False,):
                await _compare_one(size, limit, is_skewed, seconds, seeds)


async def _compare_one(size, limit, is_skewed, seconds, seeds):
    demand = max(40.0, 2 * limit)
    found = {"shares": [], "two gateways": [], "permits": []}
    for seed in range(seeds):
        source = random.Random(seed)
        requests = arrivals(size, demand, is_skewed, seconds, source)
        found["shares"].append(simulate_shares(size, limit, requests))
        found["two gateways"].append(simulate_shares(size, limit, requests, min(2, size)))
        found["permits"].append(await simulate_permits(size, limit, requests, seed))
    for method, results in found.items():
        most = max(most_within(sent) for sent, _ in results)
        used = sum(len(sent) for sent, _ in results) / (limit * seconds * seeds)
        messages = sum(count for _, count in results) / (seconds * seeds * size)
        mark = " **exceeded**" if most > allowed(limit) else ""
        spread = "skewed" if is_skewed else "even"
        print(
            f"| {method} | {size} | {limit} | {spread} | {most} ({allowed(limit):g}){mark} |"
            f" {used:.2f} | {messages:.2f} |",
            flush=True,
        )


def main(seconds: float = 60.0, seeds: int = 3) -> None:
    """Compare the methods over SECONDS and SEEDS."""
    asyncio.run(compare(seconds, seeds))


if __name__ == "__main__":
    fire.Fire(main)
