"""Test that all gateways agree on the owner of a key, and that ownership moves rarely.

The owner of a cell's key batches its pieces; the owner of a pool's key places its prompts.
"""

import asyncio

import msgspec
import pytest

from tests.support.emulator.gateway import STAGES, EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock
from traystall.core.exceptions import RpcRefused, RpcTimeout
from traystall.passthrough.health.data_centre_monitor import DataCentreMonitor
from traystall.passthrough.ownership.owners import LEAVING, OwnerSelector, rank_owners
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.server import RpcServer
from traystall.tables.gateways import GatewayRow


def row(name, started_at=0.0, state="serving", life=1):
    return GatewayRow(
        f"{name}/{life}", name, "here", "", f"{name}:1", 1, state, 0.0, False, (), started_at
    )


class Context:
    def __init__(self, identity, directory):
        self.identity = identity
        self.follower = self
        self.places = DataCentreMonitor("elsewhere")
        self.directory = directory


def owner_of(owners, context):
    found = owners.owner("k")
    return found.identity if found else context.identity


@pytest.fixture
def now(monkeypatch):
    class Clock:
        time = 100.0

    monkeypatch.setattr(clock, "monotonic", lambda: Clock.time)
    return Clock


def make_gateways(names="abcde"):
    directory = [row(name) for name in names]
    contexts = [Context(r.identity, list(directory)) for r in directory]
    return directory, [(OwnerSelector(context), context) for context in contexts]


def test_all_gateways_agree_on_the_owner(now):
    _, all_gateways = make_gateways()
    assert len({owner_of(*pair) for pair in all_gateways}) == 1


def test_restarted_gateway_does_not_take_over_at_once(now):
    directory, all_gateways = make_gateways()
    first = rank_owners(directory, "k", now.time)[0]
    name = first.split("/")[0]
    restarted = row(name, started_at=now.time, life=2)
    for owners, context in all_gateways:
        owner_of(owners, context)
        context.directory = [r for r in directory if r.identity != first] + [restarted]
    others = [pair for pair in all_gateways if pair[1].identity != first]
    chosen = {owner_of(*pair) for pair in others}
    assert len(chosen) == 1 and restarted.identity not in chosen and first not in chosen


def test_gateway_missing_from_one_directory_stays_owner_for_a_while(now):
    directory, all_gateways = make_gateways()
    owners, context = all_gateways[0]
    before = owner_of(owners, context)
    context.directory = [r for r in directory if r.identity == context.identity]
    assert owner_of(owners, context) == before
    now.time += 10
    context.directory = [row("a")]
    assert owner_of(owners, context) == context.identity


@pytest.mark.parametrize(
    ("error", "seconds"),
    [(RpcTimeout("silent"), 3), (RpcRefused(LEAVING, ""), 31)],
)
def test_unavailable_gateway_is_excluded_for_a_while(now, error, seconds):
    directory, all_gateways = make_gateways()
    first = rank_owners(directory, "k", now.time)[0]
    owners, context = next(pair for pair in all_gateways if pair[1].identity != first)
    owners.on_error(first, error)
    assert owner_of(owners, context) != first
    now.time += seconds
    assert owner_of(owners, context) == first


def test_new_gateways_own_keys_if_all_are_new(now):
    directory = [row(name, started_at=now.time) for name in "abc"]
    context = Context("a/1", directory)
    assert owner_of(OwnerSelector(context), context) in {"a/1", "b/1", "c/1"}


def test_two_silent_gateways_exclude_their_data_centre(now):
    directory, all_gateways = make_gateways()
    owners, context = all_gateways[0]
    context.places = DataCentreMonitor("here too")
    order = rank_owners(directory, "k", now.time)
    for identity in order[:2]:
        owner_of(owners, context)
        owners.on_error(identity, RpcTimeout("silent"))
    assert owner_of(owners, context) == context.identity
    context.places.on_response("here")
    assert owner_of(owners, context) in order[2:]


def test_late_reply_after_the_deadline_does_not_exclude_the_batcher():
    """Guards against exclusion of a batcher that reports a late stage just after the deadline.

    The stage times out at the batcher and at its caller at the same time, so the caller waits a
    margin for the reply.
    """

    async def scenario():
        batcher_seconds = []

        async def answer(request):
            if isinstance(request, ttypes.PingRequest):
                return ttypes.PingReply(identity="owner/1")
            batcher_seconds.append(request.seconds_left)
            # Replies a little after the caller's deadline, as over a link with latency.
            await asyncio.sleep(request.seconds_left + 0.05)
            return ttypes.StageReply(handles=[""], reasons=["late"], retry_after=0.0)

        server = RpcServer("127.0.0.1:0", "test", "", answer)
        await server.start()
        address = "{}:{}".format(*server._server.sockets[0].getsockname())
        async with EmulatedGateway(table(stages=STAGES), []) as gateway:
            owner = msgspec.structs.replace(row("owner"), rpc_address=address)
            excluded = []
            gateway.context.owners.owner = lambda key, near=(): owner
            gateway.context.owners.on_error = lambda *found: excluded.append(found)
            request = ttypes.StageRequest(
                pool="batches", request_id="r", stage=0, pieces=[0], seconds_left=0.2, call_id="c"
            )
            reply = await gateway.context.batcher.run(request)
        await server.stop()
        return reply, excluded, batcher_seconds

    reply, excluded, seconds = run(scenario())
    assert (reply.reasons, excluded, seconds) == (["late"], [], [0.2])


class _Peer:
    """Stand in for a gateway that batches and places; record the notifications it receives."""

    def __init__(self, name):
        self.name = name
        self.notifications = []
        self.placed_target = ""

    async def start(self):
        self._server = RpcServer("127.0.0.1:0", "test", "", self._answer)
        await self._server.start()
        address = "{}:{}".format(*self._server._server.sockets[0].getsockname())
        self.row = msgspec.structs.replace(row(self.name), rpc_address=address)
        return self

    async def stop(self):
        await self._server.stop()

    async def _answer(self, request):
        if isinstance(request, ttypes.PingRequest):
            return ttypes.PingReply(identity=self.row.identity)
        if isinstance(request, ttypes.StageFreed):
            self.notifications += request.handles
            return None
        if isinstance(request, ttypes.PlaceRequest):
            return ttypes.PlaceReply(identity=self.placed_target)
        if isinstance(request, ttypes.PlaceNote):
            self.notifications.append(request.what)
            return None
        handles = [f"127.0.0.1:1/{self.name}{piece}" for piece in request.pieces]
        return ttypes.StageReply(handles=handles, reasons=[""] * len(handles), retry_after=0.0)


@pytest.mark.parametrize("owner_at_release", ["other", "this gateway", "the same"])
def test_gateway_that_batched_pieces_is_notified_of_freed_results(owner_at_release):
    """Guards against a notification to the current batcher instead of the original one.

    The original batcher counts the results' memory. Without the notification it would count that
    memory as used until the results expire.
    """

    async def scenario():
        first, other = await _Peer("first").start(), await _Peer("other").start()
        async with EmulatedGateway(table(stages=STAGES), []) as gateway:
            owners = {"other": other.row, "this gateway": None, "the same": first.row}
            gateway.context.owners.owner = lambda key, near=(): first.row
            request = ttypes.StageRequest(
                pool="batches", request_id="r", stage=0, pieces=[0, 1], seconds_left=2, call_id="c"
            )
            reply = await gateway.context.batcher.run(request)
            gateway.context.owners.owner = lambda key, near=(): owners[owner_at_release]
            gateway.context.batcher.free("batches", reply.handles)
            async with asyncio.timeout(3):
                while not first.notifications and not other.notifications:
                    await asyncio.sleep(0.01)
        await first.stop()
        await other.stop()
        return reply.handles, first.notifications, other.notifications

    handles, first, other = run(scenario())
    assert (sorted(first), other) == (sorted(handles), [])


def test_gateway_that_placed_a_request_is_notified_of_its_outcome():
    """Guards against a notification to the current placer instead of the original one.

    Without it the original placer would count the request as running for half a minute.
    """

    async def scenario():
        first, other = await _Peer("first").start(), await _Peer("other").start()
        engine = await Runner("e-1", events=3).start()
        engine.event_seconds = 0.05
        async with EmulatedGateway(table(), [("engine", engine)]) as gateway:
            first.placed_target = "e-1"
            gateway.context.owners.owner = lambda key, near=(): first.row
            prompt = {"Traystall-Prompt-Parts": "aa:10,bb:5"}
            call = asyncio.create_task(gateway.call("/events/x", **prompt))
            while not engine.runs:
                await asyncio.sleep(0.005)
            gateway.context.owners.owner = lambda key, near=(): other.row
            status, _, _ = await call
            async with asyncio.timeout(3):
                while len(first.notifications) + len(other.notifications) < 2:
                    await asyncio.sleep(0.01)
        for peer in (first, other, engine):
            await peer.stop()
        return status, first.notifications, other.notifications

    assert run(scenario()) == (200, ["started", "ended"], [])


def sized(name, size, data_centre="here"):
    return msgspec.structs.replace(row(name), size=size, data_centre=data_centre)


KEYS = [f"k{number}" for number in range(60)]


def test_largest_gateways_own_all_keys(now):
    rows = [
        *(sized(f"large{n}", 1.25) for n in range(4)),
        *(sized(f"s{n}", 0.375) for n in "abcdef"),
    ]
    owners = [rank_owners(rows, key, now.time)[0] for key in KEYS]
    assert {owner.rstrip("0123456789/") for owner in owners} == {"large"}
    assert len(set(owners)) == 4, "all large gateways own some keys"


def test_small_gateways_own_keys_only_without_large_ones(now):
    rows = [sized("large", 1.25), *(sized(f"s{n}", 0.375) for n in "abc")]
    for key in KEYS:
        order = rank_owners(rows, key, now.time)
        assert order[1:] == rank_owners(rows[1:], key, now.time)


def test_gateway_that_reports_no_size_counts_as_smallest(now):
    rows = [sized("old", 0.0), sized("new", 0.375)]
    assert {rank_owners(rows, key, now.time)[0] for key in KEYS} == {"new/1"}


@pytest.mark.parametrize("sizes", [(0.0, 0.0, 0.0), (0.5, 0.5, 0.5), (0.5, 0.45, 0.4)])
def test_gateways_of_similar_size_own_keys_as_if_of_equal_size(sizes, now):
    rows = [sized(name, size) for name, size in zip("abc", sizes, strict=True)]
    plain = [row(name) for name in "abc"]
    assert all(
        rank_owners(rows, key, now.time) == rank_owners(plain, key, now.time) for key in KEYS
    )


def test_data_centre_goes_before_size(now):
    rows = [sized("far", 9.0, "there"), sized("near", 0.1)]
    assert rank_owners(rows, "k", now.time, ("here",)) == ["near/1"]


def test_restart_moves_only_the_keys_of_the_restarted_gateway(now):
    """With 72 gateways of three sizes, a restart moves only the keys of the restarted gateway."""
    rows = [sized(f"g{n}", (0.375, 0.75, 1.25)[n % 3]) for n in range(72)]
    before = {key: rank_owners(rows, key, now.time)[0] for key in KEYS}
    for gone in rows:
        left = [other for other in rows if other is not gone]
        after = {key: rank_owners(left, key, now.time)[0] for key in KEYS}
        moved = {key for key in KEYS if after[key] != before[key]}
        assert all(before[key] == gone.identity for key in moved)
