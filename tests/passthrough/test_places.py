"""A data centre is taken for cut off after a few silent peers, and found again."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from traystall.core import clock
from traystall.passthrough.health.data_centre_monitor import DataCentreMonitor
from traystall.passthrough.health.probing import DataCentreProber
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire.ttypes import PingReply
from traystall.rpc.server import RpcServer
from traystall.tables.gateways import GatewayRow


def test_one_silent_peer_is_only_itself():
    watch = DataCentreMonitor("here")
    for second in range(9):
        watch.on_no_response("there", "a", float(second))
    assert not watch.is_unreachable("there", 9.0)


def test_two_silent_peers_mean_the_data_centre():
    watch = DataCentreMonitor("here")
    watch.on_no_response("there", "a", 0.0)
    watch.on_no_response("there", "b", 0.5)
    assert watch.is_unreachable("there", 0.6)
    assert not watch.is_unreachable("elsewhere", 0.6)
    assert not watch.is_unreachable("there", 3.0)


def test_longer_each_time_until_something_is_heard():
    watch = DataCentreMonitor("here")
    watch.on_no_response("there", "a", 0.0)
    watch.on_no_response("there", "b", 0.0)
    watch.on_no_response("there", "a", 2.0)
    assert watch.is_unreachable("there", 3.5)
    watch.on_response("there")
    assert not watch.is_unreachable("there", 3.5)
    watch.on_no_response("there", "a", 4.0)
    assert not watch.is_unreachable("there", 4.0)


def test_own_data_centre_is_never_out():
    watch = DataCentreMonitor("here")
    for peer in "abcdef":
        watch.on_no_response("here", peer, 0.0)
    assert not watch.is_unreachable("here", 0.0)


def test_signs_far_apart_do_not_add_up():
    watch = DataCentreMonitor("here")
    watch.on_no_response("there", "a", 0.0)
    watch.on_no_response("there", "b", 5.0)
    assert not watch.is_unreachable("there", 5.0)


def test_probes_without_an_answer_keep_a_data_centre_out():
    watch = DataCentreMonitor("here")
    watch.on_no_response("there", "a", 0.0)
    watch.on_no_response("there", "b", 0.0)
    for step in range(1, 20):
        watch.extend_outage("there", step * 0.5)
        assert watch.is_unreachable("there", step * 0.5 + 0.4)
    assert watch.unreachable() == ["there"]
    watch.on_response("there")
    assert not watch.is_unreachable("there", 9.9)
    watch.extend_outage("there", 10.0)
    assert not watch.is_unreachable("there", 10.0), "only one that is suspected is kept out"


def test_probes_alone_do_not_keep_a_data_centre_out_for_ever():
    """Its gateways may be lost while its targets are there."""
    watch = DataCentreMonitor("here")
    watch.on_no_response("there", "a", 0.0)
    watch.on_no_response("there", "b", 0.0)
    for step in range(1, 60):
        watch.extend_outage("there", step * 0.5)
    assert not watch.is_unreachable("there", 30.0)


@pytest.mark.parametrize("answers", [True, False])
def test_prober_asks_gateways_of_the_data_centre(answers):
    async def play():
        async def handle(request):
            if not answers:
                await asyncio.sleep(3600)
            return PingReply(identity="there/1")

        server = RpcServer("127.0.0.1:0", "c", "", handle)
        await server.start()
        port = server._server.sockets[0].getsockname()[1]
        row = GatewayRow(
            "there/1", "there", "there", "", f"127.0.0.1:{port}", 1, "serving", 0.0, False
        )
        context = SimpleNamespace(
            identity="here/1",
            places=DataCentreMonitor("here"),
            follower=SimpleNamespace(directory=[row]),
            random=random.Random(1),
        )
        now = clock.monotonic()
        context.places.on_no_response("there", "a", now)
        context.places.on_no_response("there", "b", now)
        links = LinkPool(LinkIdentity("c", "gateway", "here/1"))
        await DataCentreProber(context, links).probe("there")
        await links.close()
        await server.stop()
        return context.places.is_unreachable("there", now + 0.5)

    assert asyncio.run(play()) is not answers
