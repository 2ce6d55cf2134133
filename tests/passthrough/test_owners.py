"""One gateway owns a key in everyone's view, and ownership moves seldom."""

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


def make(names="abcde"):
    directory = [row(name) for name in names]
    contexts = [Context(r.identity, list(directory)) for r in directory]
    return directory, [(OwnerSelector(context), context) for context in contexts]


def test_all_agree(now):
    _, all_owners = make()
    assert len({owner_of(*pair) for pair in all_owners}) == 1


def test_restarted_gateway_does_not_take_over_at_once(now):
    directory, all_owners = make()
    first = rank_owners(directory, "k", now.time)[0]
    name = first.split("/")[0]
    again = row(name, started_at=now.time, life=2)
    for owners, context in all_owners:
        owner_of(owners, context)
        context.directory = [r for r in directory if r.identity != first] + [again]
    others = [pair for pair in all_owners if pair[1].identity != first]
    chosen = {owner_of(*pair) for pair in others}
    assert len(chosen) == 1 and again.identity not in chosen and first not in chosen


def test_gateway_missing_in_one_directory_is_remembered(now):
    directory, all_owners = make()
    owners, context = all_owners[0]
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
def test_gateway_that_does_not_serve_is_left_out_for_a_while(now, error, seconds):
    directory, all_owners = make()
    first = rank_owners(directory, "k", now.time)[0]
    owners, context = next(pair for pair in all_owners if pair[1].identity != first)
    owners.on_error(first, error)
    assert owner_of(owners, context) != first
    now.time += seconds
    assert owner_of(owners, context) == first


def test_all_new_gateways_choose_among_themselves(now):
    directory = [row(name, started_at=now.time) for name in "abc"]
    context = Context("a/1", directory)
    assert owner_of(OwnerSelector(context), context) in {"a/1", "b/1", "c/1"}


def test_silent_gateways_put_their_data_centre_out(now):
    directory, all_owners = make()
    owners, context = all_owners[0]
    context.places = DataCentreMonitor("here too")
    order = rank_owners(directory, "k", now.time)
    for identity in order[:2]:
        owner_of(owners, context)
        owners.on_error(identity, RpcTimeout("silent"))
    assert owner_of(owners, context) == context.identity
    context.places.on_response("here")
    assert owner_of(owners, context) in order[2:]


def test_batcher_that_says_it_is_too_late_at_the_last_moment_is_not_blamed():
    """A stage that can't be made in time ends at both ends at once: its answer is waited for."""

    async def play():
        batcher_seconds = []

        async def answer(request):
            if isinstance(request, ttypes.PingRequest):
                return ttypes.PingReply(identity="owner/1")
            batcher_seconds.append(request.seconds_left)
            # A little after the caller's own time is over, as over a link with a delay.
            await asyncio.sleep(request.seconds_left + 0.05)
            return ttypes.StageReply(handles=[""], reasons=["late"], retry_after=0.0)

        server = RpcServer("127.0.0.1:0", "test", "", answer)
        await server.start()
        address = "{}:{}".format(*server._server.sockets[0].getsockname())
        async with EmulatedGateway(table(stages=STAGES), []) as gateway:
            owner = msgspec.structs.replace(row("owner"), rpc_address=address)
            blamed = []
            gateway.context.owners.owner = lambda key, near=(): owner
            gateway.context.owners.on_error = lambda *found: blamed.append(found)
            request = ttypes.StageRequest(
                pool="batches", request_id="r", stage=0, pieces=[0], seconds_left=0.2, call_id="c"
            )
            reply = await gateway.context.batcher.run(request)
        await server.stop()
        return reply, blamed, batcher_seconds

    reply, blamed, seconds = run(play())
    assert (reply.reasons, blamed, seconds) == (["late"], [], [0.2])


class _Peer:
    """Stand in for a gateway that batches: every piece is made, what it is told is kept."""

    def __init__(self, name):
        self.name = name
        self.told = []
        self.places_on = ""

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
            self.told += request.handles
            return None
        if isinstance(request, ttypes.PlaceRequest):
            return ttypes.PlaceReply(identity=self.places_on)
        if isinstance(request, ttypes.PlaceNote):
            self.told.append(request.what)
            return None
        handles = [f"127.0.0.1:1/{self.name}{piece}" for piece in request.pieces]
        return ttypes.StageReply(handles=handles, reasons=[""] * len(handles), retry_after=0.0)


@pytest.mark.parametrize("owner_at_the_end", ["other", "this gateway", "the same"])
def test_who_batched_pieces_is_told_that_their_results_are_given_up(owner_at_the_end):
    """It counts the room; told to another one, that room would seem taken until its lifetime."""

    async def play():
        first, other = await _Peer("first").start(), await _Peer("other").start()
        async with EmulatedGateway(table(stages=STAGES), []) as gateway:
            owners = {"other": other.row, "this gateway": None, "the same": first.row}
            gateway.context.owners.owner = lambda key, near=(): first.row
            request = ttypes.StageRequest(
                pool="batches", request_id="r", stage=0, pieces=[0, 1], seconds_left=2, call_id="c"
            )
            reply = await gateway.context.batcher.run(request)
            gateway.context.owners.owner = lambda key, near=(): owners[owner_at_the_end]
            gateway.context.batcher.free("batches", reply.handles)
            async with asyncio.timeout(3):
                while not first.told and not other.told:
                    await asyncio.sleep(0.01)
        await first.stop()
        await other.stop()
        return reply.handles, first.told, other.told

    handles, first, other = run(play())
    assert (sorted(first), other) == (sorted(handles), [])


def test_who_placed_a_request_is_told_what_became_of_it():
    """Told to another one, the request would count as running for half a minute."""

    async def play():
        first, other = await _Peer("first").start(), await _Peer("other").start()
        engine = await Runner("e-1", events=3).start()
        engine.event_seconds = 0.05
        async with EmulatedGateway(table(), [("engine", engine)]) as gateway:
            first.places_on = "e-1"
            gateway.context.owners.owner = lambda key, near=(): first.row
            prompt = {"Traystall-Prompt-Parts": "aa:10,bb:5"}
            call = asyncio.create_task(gateway.call("/events/x", **prompt))
            while not engine.runs:
                await asyncio.sleep(0.005)
            gateway.context.owners.owner = lambda key, near=(): other.row
            status, _, _ = await call
            async with asyncio.timeout(3):
                while len(first.told) + len(other.told) < 2:
                    await asyncio.sleep(0.01)
        for peer in (first, other, engine):
            await peer.stop()
        return status, first.told, other.told

    assert run(play()) == (200, ["started", "ended"], [])


def sized(name, size, data_centre="here"):
    return msgspec.structs.replace(row(name), size=size, data_centre=data_centre)


KEYS = [f"k{number}" for number in range(60)]


def test_the_largest_gateways_own_what_one_does_for_all(now):
    rows = [
        *(sized(f"large{n}", 1.25) for n in range(4)),
        *(sized(f"s{n}", 0.375) for n in "abcdef"),
    ]
    owners = [rank_owners(rows, key, now.time)[0] for key in KEYS]
    assert {owner.rstrip("0123456789/") for owner in owners} == {"large"}
    assert len(set(owners)) == 4, "they share it"


def test_small_ones_follow_when_the_large_ones_are_gone(now):
    rows = [sized("large", 1.25), *(sized(f"s{n}", 0.375) for n in "abc")]
    for key in KEYS:
        order = rank_owners(rows, key, now.time)
        assert order[1:] == rank_owners(rows[1:], key, now.time)


def test_a_gateway_of_an_earlier_release_counts_as_the_smallest(now):
    rows = [sized("old", 0.0), sized("new", 0.375)]
    assert {rank_owners(rows, key, now.time)[0] for key in KEYS} == {"new/1"}


@pytest.mark.parametrize("sizes", [(0.0, 0.0, 0.0), (0.5, 0.5, 0.5), (0.5, 0.45, 0.4)])
def test_gateways_about_alike_own_as_if_none_had_said(sizes, now):
    rows = [sized(name, size) for name, size in zip("abc", sizes, strict=True)]
    plain = [row(name) for name in "abc"]
    assert all(
        rank_owners(rows, key, now.time) == rank_owners(plain, key, now.time) for key in KEYS
    )


def test_place_goes_before_size(now):
    rows = [sized("far", 9.0, "there"), sized("near", 0.1)]
    assert rank_owners(rows, "k", now.time, ("here",)) == ["near/1"]


def test_restarts_in_turn_move_little(now):
    """At 72 gateways of three sizes a restart moves only what the restarted one owned."""
    rows = [sized(f"g{n}", (0.375, 0.75, 1.25)[n % 3]) for n in range(72)]
    before = {key: rank_owners(rows, key, now.time)[0] for key in KEYS}
    for gone in rows:
        left = [other for other in rows if other is not gone]
        after = {key: rank_owners(left, key, now.time)[0] for key in KEYS}
        moved = {key for key in KEYS if after[key] != before[key]}
        assert all(before[key] == gone.identity for key in moved)
