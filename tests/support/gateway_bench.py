"""One gateway in the test process with raw targets and an in-memory ledger."""

import asyncio
import json

import aiohttp
from aiohttp import web

from tests.support.suspects import LocalLeader
from traystall.core import clock
from traystall.core.serialization import pack
from traystall.gateway.configuration import ConfigurationFollower
from traystall.gateway.context import GatewayContext
from traystall.gateway.front import Frontend
from traystall.gateway.ledger import LedgerUnavailable
from traystall.gateway.relay import Relay
from traystall.ledger.models import Claim, Release, Settle
from traystall.ledger.state import Ledger
from traystall.permits.lenders import LenderRanking
from traystall.rpc.gen.wire.ttypes import ClaimReply
from traystall.tables.configuration import ConfigurationTables
from traystall.tables.entities import Customer, DataCentre, Pipeline, Stage, Target

PLACE = "here"
ELSEWHERE = "elsewhere"


class FakeSettings:
    """Hold the settings that the components of a gateway read."""

    instance = "gateway-1"
    data_centre = PLACE
    rpc_listen = "127.0.0.1:1"
    index = 0


class FakeLedger:
    """Run the real ledger state machine in memory; `mode` makes calls fail."""

    def __init__(self):
        self.ledger = Ledger()
        self.mode = "ok"
        self.alive = True
        self.released = []
        self.time = 0.0
        self.delay = 0.0

    async def claim(self, request, seconds):
        if self.mode == "unavailable":
            raise LedgerUnavailable(in_doubt=False)
        result = self.ledger.claim(
            Claim(
                request.customer,
                request.key,
                request.fingerprint,
                request.claim_id,
                request.claimant,
                request.stage,
                request.retention,
                self.time,
            )
        )
        await asyncio.sleep(self.delay)
        if self.mode == "answer lost":
            raise LedgerUnavailable(in_doubt=True)
        return ClaimReply(
            outcome=result.outcome.value,
            claim_id=result.claim_id,
            claimant=result.claimant,
            claimant_alive=self.alive,
            digest=result.digest,
            holders=result.holders,
        )

    async def settle(self, request, seconds):
        self.ledger.settle(
            Settle(
                request.customer,
                request.key,
                request.claim_id,
                request.digest,
                request.holders,
                self.time,
            )
        )

    def release_later(self, request):
        self.released.append(request.claim_id)
        self.ledger.release(Release(request.customer, request.key, request.claim_id, self.time))

    async def drain(self):
        """Do nothing, since no release is pending here."""


class GatewayBench:
    """Serve one gateway with the given raw targets; an asynchronous context manager."""

    def __init__(self, targets, stages, customer=None, deadline=3.0, lookup=""):
        self.lookup = lookup
        self.targets = targets
        self.customer = customer or Customer("customer", (PLACE,))
        self.pipeline = Pipeline("pipeline", tuple(stages), deadline=deadline)
        self.ledger = FakeLedger()
        self.follower = ConfigurationFollower(None, ["127.0.0.1:1"], [], lambda: None)
        self.leader = LocalLeader()
        self.context = GatewayContext(
            FakeSettings(), "gateway-1/x", None, self.follower, self.ledger, self.leader.guard()
        )
        self.context.random.seed(1)
        lender_ranking = self.context.permits.lender_ranking = LenderRanking(
            "gateway-1/x", settle_seconds=0.0
        )
        lender_ranking.note([], clock.monotonic())

    async def __aenter__(self):
        rows = [DataCentre(PLACE, "region"), DataCentre(ELSEWHERE, "region")]
        rows += [self.customer, self.pipeline]
        for (pool, place), targets in self.targets.items():
            for number, target in enumerate(targets):
                await target.start()
                name = f"{pool}-{place}-{number}"
                row = Target(name, pool, target.kind, place, target.address, lookup=self.lookup)
                rows.append(row)
        self.declare(rows, 1)
        await self.context.http.open()
        self.relay = Relay(self.context)
        await self.relay.open()
        self.front = Frontend(self.context, self.relay)
        app = web.Application(client_max_size=1024 * 1024)
        self.front.add_routes(app)
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}/v1/pipelines/pipeline/requests"
        self.session = aiohttp.ClientSession()
        self.reports = asyncio.create_task(self.context.guard.reports.send_forever())
        return self

    async def __aexit__(self, *_):
        self.reports.cancel()
        self.context.guard.ends.close()
        await self.session.close()
        await self.runner.cleanup()
        await self.context.http.close()
        await self.relay.close()
        for targets in self.targets.values():
            for target in targets:
                await target.stop()

    def declare(self, rows, number):
        """Put a configuration into force."""
        kinds = {Customer: "customer", Pipeline: "pipeline", Target: "target"}
        encoded = {f"{kinds.get(type(r), 'data_centre')}/{r.name}": pack(r) for r in rows}
        self.rows = rows
        self.follower.held.tables = ConfigurationTables(number, encoded)
        self.context.on_configuration()

    async def ask(self, mark, key="", stream=False, headers=None, **body):
        """Send one request; return (status, document), with the tokens in it for a stream."""
        sent = {"Traystall-Customer": "customer", **(headers or {})}
        if key:
            sent["Idempotency-Key"] = key
        if stream:
            sent["Accept"] = "text/event-stream"
        async with self.session.post(
            self.url, json={"input": mark, **body}, headers=sent
        ) as response:
            text = await response.text()
        if not stream or response.status != 200:
            return response.status, json.loads(text)
        return self._read_stream(text)

    def _read_stream(self, text):
        events = [event.split("\ndata: ") for event in text.strip().split("\n\n")]
        assert events[-1][0] == "event: final", "the stream has no final event"
        final = json.loads(events[-1][1])
        final["streamed"] = [json.loads(data)["text"] for name, data in events[:-1]]
        if final["status"] == "failed":
            return final["problem"]["status"], final["problem"]
        return 200, final


def service_stage(repeatable=True, name="work"):
    """Return a stage of a plain service."""
    return Stage(name, "pool", "service", path="/work", repeatable=repeatable)


def engine_stage(tokens=6):
    """Return a stage of a streaming engine."""
    return Stage("generate", "pool", "engine", max_tokens=tokens)
