"""One pass-through gateway in the test process, over emulated targets, without control daemons."""

import asyncio

import aiohttp

from tests.support.suspects import LocalLeader
from traystall.core import clock
from traystall.core.ids import new_id
from traystall.evacuations.cache import EvacuationCache
from traystall.http.server import HttpServer
from traystall.passthrough.admission.budget import RepeatBudgetRule
from traystall.passthrough.context import PassContext
from traystall.passthrough.dialect import HeaderNames, PlainStageDialect
from traystall.passthrough.entry.front import PassFrontend
from traystall.passthrough.placement.service import PlacementService
from traystall.passthrough.stages.batcher import Batcher
from traystall.permits.broadcast import LimitBroadcaster
from traystall.registry.models import TargetReport
from traystall.routes.models import (
    BatchProfile,
    EngineProfile,
    KeyedCustomer,
    Pool,
    Route,
    RoutingTable,
    Split,
    StagePlan,
)
from traystall.routes.tables import RoutingTables
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire.ttypes import Evacuated

HOST = "shop.example"
KEY = "key-1"


class _Held:
    def __init__(self, table):
        self.tables = RoutingTables(lambda number, entities: table, table.number, table)


class _Follower:
    newest_revision = 0

    def __init__(self, table):
        self.held = _Held(table)
        self.directory = []
        self.evacuations = EvacuationCache()


class _Registry:
    newest_revision = 0

    def last_reply_at(self):
        return clock.monotonic()

    def all_restarted_since(self, moment):
        return False

    async def confirm(self, seconds):
        return True


def table(
    *,
    number=1,
    max_attempts=2,
    timeout=2.0,
    aim=1.0,
    resumable=False,
    stages=(),
    result_lifetime=0.0,
):
    """Return routes of all kinds: /once/, /again/, /events/ and /staged/."""
    plain = {
        "host": HOST,
        "splits": (Split("plain"),),
        "timeout": timeout,
        "max_attempts": max_attempts,
        "aim": aim,
    }
    events = plain | {"splits": (Split("engine"),), "streamed": True, "resumable": resumable}
    return RoutingTable(
        number=number,
        routes=(
            Route("once", path_prefix="/once/", **plain),
            Route("again", path_prefix="/again/", repeatable=True, **plain),
            Route("events", path_prefix="/events/", **events),
            Route("staged", path_prefix="/staged/", stages=tuple(stages), **events),
            Route("open", path_prefix="/open/", public=True, **plain),
        ),
        pools=(
            Pool("plain", max_connections=100),
            Pool("engine", max_connections=100, engine=EngineProfile(slots=64)),
            Pool(
                "batches",
                max_connections=100,
                batches=BatchProfile(
                    slots=1, queue=2, batch=4, room_bytes=10**6, result_lifetime=result_lifetime
                ),
            ),
        ),
        customers=(KeyedCustomer("ana", (KEY,)),),
    )


STAGES = (StagePlan("batches", (), 10), StagePlan("batches", (0,), 10))


class EmulatedGateway:
    """Run a gateway's HTTP server on a free port; use it as an asynchronous context manager."""

    def __init__(self, routing_table, runners, names=None, budget=None, leader=None):
        self.names = names or HeaderNames()
        self.context = PassContext(
            "here",
            "gateway-1",
            self.names,
            PlainStageDialect(),
            budget or RepeatBudgetRule(ratio=1.0, slack=1000),
            lender_settle_seconds=0.0,
        )
        self.context.follower = _Follower(routing_table)
        self.context.registry = _Registry()
        self.context.follower.evacuations.on_change.append(self.context.on_evacuations)
        links = LinkPool(LinkIdentity("test", "gateway", "gateway-1"))
        self.leader = leader or LocalLeader()
        self.context.guard = self.leader.guard()
        self.context.permits.links = links
        board = self.context.board
        self.teller = LimitBroadcaster(
            self.context.permits, links, self.context.directory, board.data_centre_of, board.lives
        )
        self.teller.review()
        self.context.batcher = Batcher(self.context, links)
        self.context.placement_service = PlacementService(self.context, links)
        self.front = PassFrontend(self.context)
        for pool, runner in runners:
            self.add(pool, runner)

    def add(self, pool, runner, data_centre="here"):
        report = TargetReport(
            runner.identity, pool, runner.address, data_centre, runner.version, slots=4
        )
        self.context.board.merge(report, clock.monotonic())

    def evacuate(self, *data_centres):
        """Declare that exactly these data centres are evacuated from now on."""
        held = self.context.follower.evacuations
        held.take(Evacuated(version=held.version + 1, data_centres=list(data_centres)))

    async def __aenter__(self):
        self.server = HttpServer(self.front.handle)
        await self.server.listen("127.0.0.1:0")
        self.port = self.server.port
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.telling = asyncio.create_task(self.teller.run_forever())
        self.reports = asyncio.create_task(self.context.guard.reports.send_forever())
        return self

    async def __aexit__(self, *error):
        await self.session.close()
        self.reports.cancel()
        self.telling.cancel()
        self.context.permits.close()
        self.context.batcher.close()
        self.context.guard.ends.close()
        self.context.prober.close()
        self.context.board.close()
        await self.server.close(0.2)

    async def call(self, path="/once/x", body=b"hello", key=KEY, method="POST", **headers):
        """Return status, headers and body of the response to one request."""
        names = self.names
        sent = {"Host": HOST, names.request_id: headers.pop("request_id", new_id())}
        if key:
            sent["Authorization"] = f"Token {key}"
        sent |= headers
        url = f"http://127.0.0.1:{self.port}{path}"
        async with self.session.request(method, url, data=body, headers=sent) as response:
            return response.status, response.headers, await response.read()


def run(coroutine):
    """Run the coroutine of a test with a timeout."""

    async def bounded():
        async with asyncio.timeout(20):
            return await coroutine

    return asyncio.run(bounded())
