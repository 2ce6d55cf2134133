"""A gateway that reaches targets only through tunnels, whose carrying gateways are processes.

The gateway in front runs in the test process, where it is partitioned from the targets. The control
daemons and the carrying gateways are processes that can be killed.
"""

import asyncio
import contextlib
from collections import Counter

import aiohttp

from tests.support.partition import Partition, run_as
from tests.support.pass_gateway import start_pass_gateway
from tests.support.process_site import ProcessSite
from tests.support.site import HOST
from traystall.core.ids import new_id
from traystall.core.serialization import pack
from traystall.passthrough.dialect import HeaderNames
from traystall.routes.models import EngineProfile, Pool, Route, Split

FRONT = "front"
TARGETS = 3
EVENTS = 24
EVENT_SECONDS = 0.05
BODY = b"x" * 6400
_READY_SECONDS = 30.0
# Paths of a stream and of a plain route, of each kind.
STREAMS = {"resumable": "/taken-up/", "once": "/streamed/"}
PLAIN = {"repeatable": "/plain/", "once": "/once/"}


def entities():
    """Return a route of each kind: streams that may be resumed or not, plain ones likewise."""
    times = {"timeout": 8.0, "aim": 2.0, "max_attempts": 3}
    streams, plain = (Split("engines"),), (Split("services"),)
    rows = {
        "route/taken-up": Route(
            "taken-up", HOST, "/taken-up/", streams, streamed=True, resumable=True, **times
        ),
        "route/streamed": Route("streamed", HOST, "/streamed/", streams, streamed=True, **times),
        "route/plain": Route("plain", HOST, "/plain/", plain, True, **times),
        "route/once": Route("once", HOST, "/once/", plain, **times),
        "pool/engines": Pool("engines", engine=EngineProfile(64, 100_000)),
        "pool/services": Pool("services"),
    }
    return {key: pack(row) for key, row in rows.items()}


class TunnelSite(ProcessSite):
    """A process site with one more gateway, in the test process and cut off from all targets."""

    def __init__(self, folder, carriers: int):
        super().__init__(folder, carriers)
        self.front = None

    async def __aenter__(self):
        partition = Partition()
        await super().__aenter__()
        await self.apply(entities())
        for pool in ("engines", "services"):
            for _ in range(TARGETS):
                target = await self.add(pool, events=EVENTS if pool == "engines" else 0)
                target.runner.event_seconds = EVENT_SECONDS
        await self.until_ready()
        controls = list(self._addresses.values())
        self.front = await run_as(FRONT, start_pass_gateway(FRONT, controls))
        partition.cut(FRONT, [target.runner.address for target in self.targets], "reset")
        async with asyncio.timeout(_READY_SECONDS):
            while not self._is_front_ready():
                await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *error):
        if self.front is not None:
            await self.front.stop()
        await super().__aexit__(*error)

    async def call_all(self, path: str, count: int, body=b"") -> Counter:
        """Return how often each kind of outcome came of `count` requests at once."""
        asked = (self._call(path, body) for _ in range(count))
        return Counter(await asyncio.gather(*asked))

    async def _call(self, path, body) -> str:
        """Return "whole", "short" (complete to the caller, but not whole), "broken" or a status."""
        address = self.front.settings.listen
        headers = {"Host": HOST, HeaderNames().request_id: new_id()}
        headers["Authorization"] = "Token none"
        try:
            async with self.session.post(
                f"http://{address}{path}x", data=body, headers=headers
            ) as response:
                received = await response.read()
                if response.status != 200:
                    return str(response.status)
        except aiohttp.ClientError:
            return "broken"
        return "whole" if received == self._expected(path, body) else "short"

    def _expected(self, path, body) -> bytes:
        if path in PLAIN.values():
            return b"answer to " + body
        return b"".join(
            b"id: %d\ndata: event %d\n\n" % (number, number) for number in range(1, EVENTS + 1)
        )

    def _is_front_ready(self) -> bool:
        context = self.front.gateway_context
        known = {row.instance for row in context.directory() if row.state == "serving"}
        targets = len(context.board.pool("engines")) + len(context.board.pool("services"))
        carriers = {process.name for process in self.gateways}
        return bool(context.index.number) and targets == 2 * TARGETS and carriers <= known


@contextlib.asynccontextmanager
async def started(folder, carriers=2):
    """Return a site that is ready, within a time limit for all that is done with it."""
    async with asyncio.timeout(90), TunnelSite(folder, carriers) as site:
        yield site
