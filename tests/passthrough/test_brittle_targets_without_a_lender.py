"""Callers of brittle targets are refused at once while no gateway lends places.

The failure: after a start of all gateways, requests that need stages waited for seconds for a
place, and direct ones were refused with a Retry-After after which they were refused again.
"""

import asyncio

import pytest

from tests.support.site import HOST, KEY, STAGED, entities, play
from traystall.core import clock
from traystall.core.ids import new_id
from traystall.passthrough.dialect import HeaderNames
from traystall.permits.lenders import SETTLE_SECONDS

# A fifth of the longest aim, 2 s, and what the exchange takes beside other work.
MAX_REFUSAL_SECONDS = 0.4 + 0.6
# Lenders settle within SETTLE_SECONDS of their start; retries are spread over a second more.
MAX_RETRY_AFTER_SECONDS = SETTLE_SECONDS + 1.0
# What may be left of the time to settle when a gateway refuses a request for the first time.
MIN_RETRY_AFTER_SECONDS = 1.0


async def start_targets(site, pool):
    await site.group.apply_entities("a", 1, entities())
    engine = await site.add("engine", events=3)
    engine.event_seconds = 0.01
    targets = [await site.add(pool, batch=4) for _ in range(2)]
    for target in targets:
        target.brittle = 0
    return targets


async def call(site, path):
    """Return the status of a response, its Retry-After in seconds, and how long it took."""
    headers = {
        "Host": HOST,
        "Authorization": f"Token {KEY}",
        HeaderNames().request_id: new_id(),
    }
    headers |= STAGED if path == "/staged/x" else {}
    url = f"http://{site.gateways[0].settings.listen}{path}"
    began = clock.monotonic()
    async with site.session.post(url, data=b"hello", headers=headers) as response:
        await response.read()
        retry_after = float(response.headers.get("Retry-After", 0))
        return response.status, retry_after, clock.monotonic() - began


async def until_refused(site, path):
    """Call until a request is refused because its targets are known to be brittle."""
    async with asyncio.timeout(SETTLE_SECONDS):
        while True:
            status, retry_after, _ = await call(site, path)
            if status == 503 and retry_after > MIN_RETRY_AFTER_SECONDS:
                return
            await asyncio.sleep(0.02)


@pytest.mark.parametrize(("path", "pool"), [("/once/x", "plain"), ("/staged/x", "batches")])
def test_request_is_refused_until_a_lender_has_settled(tmp_path, path, pool):
    async def scenario(site):
        await start_targets(site, pool)
        await until_refused(site, path)
        status, retry_after, seconds = await call(site, path)
        assert status == 503
        assert seconds < MAX_REFUSAL_SECONDS
        assert retry_after < MAX_RETRY_AFTER_SECONDS
        await asyncio.sleep(retry_after)
        status, _, _ = await call(site, path)
        assert status == 200

    play(tmp_path, scenario)
