"""Randomized soak test of gateways whose paths to targets break and come back.

    python -m tests.support.path_soak --seeds 50 [--calm]

Gateways are cut off from targets, stopped and added; targets end, return and become brittle, while
requests of all routes arrive. The checks use only what callers sent and got, and what targets ran.
On a calm day nothing breaks what is in flight: new connections are refused, and gateways stop as
planned. Then every request must be served or refused.
"""

import asyncio
import contextlib
import itertools
import logging
import pathlib
import random
import tempfile

import aiohttp
import fire

from tests.support.partition import HOW, run_as
from tests.support.pass_gateway import start_pass_gateway
from tests.support.site import STAGED, Site, entities
from traystall.core.ids import new_id
from traystall.core.logs import DECISION_LOGGER
from traystall.passthrough.dialect import HeaderNames

GATEWAYS = 4
DAY_SECONDS = 10.0
EVENTS = 10
# A planned stop gets this long, more than any request here takes.
STOP_SECONDS = 20.0
_REQUEST_ID = HeaderNames().request_id
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class _DecisionLog(logging.Handler):
    """Keep the decisions of all gateways about each request."""

    def __init__(self):
        super().__init__()
        self._by_request = {}
        logger = logging.getLogger(DECISION_LOGGER)
        logger.setLevel(logging.INFO)
        logger.addHandler(self)

    def emit(self, record):
        known = vars(logging.makeLogRecord({})).keys()
        fields = {name: value for name, value in vars(record).items() if name not in known}
        request = fields.pop("request", "")
        self._by_request.setdefault(request, []).append((record.getMessage(), fields))

    def of(self, request_id):
        return self._by_request.get(request_id, [])

    def close(self):
        logging.getLogger(DECISION_LOGGER).removeHandler(self)
        super().close()


class PathScenario:
    """Run one scenario on a started site; `run` returns the violations."""

    def __init__(self, site, seed, is_calm):
        self._site = site
        self._is_calm = is_calm
        self._random = random.Random(seed)
        self._names = itertools.count(GATEWAYS)
        # (request id, path, body, status or None, response body)
        self._answers = []
        self._decisions = _DecisionLog()
        self._stopped = []
        self.actions = []

    async def run(self):
        site = self._site
        for pool, count, options in (
            ("plain", 3, {}),
            ("engine", 2, {"events": EVENTS}),
            ("batches", 2, {"batch": 4}),
        ):
            for _ in range(count):
                runner = await site.add(pool, **options)
                runner.event_seconds, runner.call_seconds = 0.02, 0.03
        await site.group.apply_entities("a", 1, entities())
        await site.until_all("/plain/x", 200)
        self._ended = asyncio.get_running_loop().time() + DAY_SECONDS
        callers = [asyncio.create_task(self._call_forever(n)) for n in range(6)]
        while asyncio.get_running_loop().time() < self._ended:
            actions = [self._cut, self._cut, self._heal, self._declare, self._replace_gateway]
            if not self._is_calm:
                actions.append(self._end_target)
            action = self._random.choice(actions)
            self.actions.append(action.__name__)
            await action()
            await asyncio.sleep(self._random.uniform(0.1, 1.0))
        await asyncio.gather(*callers)
        return self._find_violations()

    # ---- what happens ----

    async def _cut(self):
        gateway = self._random.choice(self._site.gateways).settings.instance
        share = self._random.choice((0.3, 1.0))
        addresses = [r.address for r in self._site.runners if self._random.random() < share]
        how = "refuse" if self._is_calm else self._random.choice(HOW)
        self._site.partition.cut(gateway, addresses, how)

    async def _heal(self):
        for gateway in self._site.gateways:
            self._site.partition.heal(gateway.settings.instance)

    async def _end_target(self):
        runner = self._random.choice(self._site.runners)
        if not runner.is_up:
            return
        runner.end()
        await asyncio.sleep(self._random.uniform(0.1, 0.8))
        await runner.start_again()

    async def _declare(self):
        runner = self._random.choice(self._site.runners)
        runner.brittle = self._random.choice((None, 0, 3))

    async def _replace_gateway(self):
        """Stop one gateway as planned while it serves, and add another."""
        site = self._site
        name = f"gateway-{next(self._names)}"
        added = await run_as(name, start_pass_gateway(name, site.group.addresses.values()))
        async with asyncio.timeout(10):
            while not added.is_ready():
                await asyncio.sleep(0.02)
        leaving = site.gateways.pop(self._random.randrange(len(site.gateways)))
        site.gateways.append(added)
        stopping = asyncio.Event()
        stopping.set()
        await asyncio.wait_for(leaving.until_stopped(stopping), STOP_SECONDS)
        await leaving.stop()

    # ---- callers ----

    async def _call_forever(self, number):
        loop = asyncio.get_running_loop()
        for turn in itertools.count():
            if loop.time() > self._ended:
                return
            path = self._random.choice(("/plain/x", "/once/x", "/staged/x"))
            body = b"%d-%d" % (number, turn)
            await self._call(path, body)
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _call(self, path, body):
        request_id = new_id()
        headers = STAGED if path == "/staged/x" else {}
        # A kept connection may close at the moment at which the next request is sent on it.
        headers = headers | ({"Connection": "close"} if self._is_calm else {})
        number = self._random.randrange(len(self._site.gateways))
        try:
            status, answer = await asyncio.wait_for(
                self._site.call(number, path, body, **headers, **{_REQUEST_ID: request_id}), 15
            )
        except aiohttp.ClientConnectorError:
            return  # The gateway has stopped to listen; a balancer would have chosen another one.
        except (aiohttp.ClientError, TimeoutError) as error:
            status, answer = None, repr(error).encode()
        self._answers.append((request_id, path, body, status, answer))

    # ---- checks ----

    def _find_violations(self):
        runs = {}
        for runner in self._site.runners:
            for request in runner.runs:
                request_id = request["headers"].get(_REQUEST_ID.lower())
                runs.setdefault(request_id, []).append(request)
        found = []
        for request_id, path, body, status, answer in self._answers:
            ran = runs.get(request_id, [])
            if path == "/once/x" and len(ran) > 1:
                found.append(f"{request_id} ran {len(ran)} times")
            if path == "/once/x" and status in _NOT_RUN_STATUSES and ran:
                found.append(f"{request_id} got {status} and ran")
            if status == 200 and not self._is_whole(path, body, answer):
                found.append(f"{request_id} got another answer: {answer[:60]}")
            if status not in ((200, 503) if self._is_calm else (200, 502, 503, 504, None)):
                found.append(f"{request_id} to {path} got {status} {answer[:200]}")
        return [f"{text}; {self._decisions.of(text.split()[0])}" for text in found]

    def close(self):
        self._decisions.close()

    def _is_whole(self, path, body, answer):
        if path != "/staged/x":
            return answer == b"answer to " + body
        ids = [int(line[4:]) for line in answer.split(b"\n") if line.startswith(b"id: ")]
        return ids == list(range(1, EVENTS + 1))

    def summary(self):
        statuses = [status for *_, status, _ in self._answers]
        counts = {str(status): statuses.count(status) for status in sorted(set(statuses), key=str)}
        errors = {answer for *_, status, answer in self._answers if status is None}
        return counts | {"errors": sorted(errors)}


async def play_day(root, seed, is_calm=False):
    """Return the violations in the scenario of a seed, and a summary of the responses."""
    site = Site(pathlib.Path(root), GATEWAYS)
    try:
        async with asyncio.timeout(90):
            await site.start()
            with contextlib.closing(PathScenario(site, seed, is_calm)) as scenario:
                return await scenario.run(), scenario.summary()
    finally:
        await site.stop()


def main(seeds: int = 10, first: int = 1, calm: bool = False) -> None:
    """Play the scenarios of `seeds` seeds from `first` on; exit with 1 on a violation."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as root:
            violations, summary = asyncio.run(play_day(root, seed, calm))
        failed += bool(violations)
        print(seed, summary, violations or "ok", flush=True)
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    fire.Fire(main)
