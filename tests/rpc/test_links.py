"""Links between processes: closed transports, other clusters, wrong secrets, invalid frames."""

import asyncio
import contextlib
import gc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from traystall.core.exceptions import RpcError, RpcRefused, RpcTimeout, RpcUnavailable
from traystall.rpc.client import Link, LinkIdentity
from traystall.rpc.gen.wire.ttypes import Frame, ProbeReply, ProbeRequest, VoteRequest
from traystall.rpc.messages import decode, encode
from traystall.rpc.server import RpcServer


class ClosedWriter:
    """A writer whose transport the event loop has just closed."""

    transport = None

    def write(self, data):
        raise RuntimeError("unable to perform operation; the handler is closed")

    def close(self):
        """Do nothing; the transport is closed already."""


class OpenWriter(ClosedWriter):
    """A writer that accepts all bytes and sends none."""

    def write(self, data):
        """Discard the bytes."""


@pytest.mark.parametrize("call", [True, False], ids=["call", "send"])
def test_write_on_a_closed_transport_raises_unavailable(call):
    async def scenario():
        link = Link("127.0.0.1:1", LinkIdentity("c", "gateway", "g"))
        link._writer = ClosedWriter()
        with pytest.raises(RpcUnavailable):
            await (link.call(ProbeRequest(), 1.0) if call else link.send(VoteRequest()))
        assert link._writer is None

    asyncio.run(scenario())


@pytest.mark.parametrize("ends", ["its own frame breaks the link", "its caller is cancelled"])
def test_error_of_an_abandoned_call_is_not_reported_as_never_retrieved(ends):
    reported = []

    async def scenario():
        asyncio.get_running_loop().set_exception_handler(lambda _, found: reported.append(found))
        link = Link("127.0.0.1:1", LinkIdentity("c", "gateway", "g"))
        link._writer = ClosedWriter() if ends.startswith("its own") else OpenWriter()
        call = asyncio.create_task(link.call(ProbeRequest(), 5.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if not ends.startswith("its own"):
            link._drop(RpcUnavailable("broken"))
            call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        gc.collect()

    asyncio.run(scenario())
    gc.collect()
    assert reported == []


async def serve(handler, secret=""):
    """Return a started server on a free port and its address."""
    server = RpcServer("127.0.0.1:0", "cluster", secret, handler)
    await server.start()
    host, port = server._server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def answer(request):
    if request.instance == "slow":
        await asyncio.sleep(60)
    if request.instance == "refused":
        raise RpcRefused("code", "detail")
    if request.instance == "broken":
        raise ValueError
    return ProbeReply(identity=request.instance)


async def call(instance, cluster="cluster", secret="", server_secret="", timeout=2.0):
    server, address = await serve(answer, server_secret)
    link = Link(address, LinkIdentity(cluster, "gateway", "g", secret))
    try:
        return await link.call(ProbeRequest(instance=instance), timeout)
    finally:
        await link.close()
        await server.stop()


def test_calls_are_answered_or_refused():
    assert asyncio.run(call("name")).identity == "name"
    with pytest.raises(RpcRefused, match="code: detail"):
        asyncio.run(call("refused"))
    with pytest.raises(RpcRefused, match="internal"):
        asyncio.run(call("broken"))
    with pytest.raises(RpcTimeout):
        asyncio.run(call("slow", timeout=0.05))


def test_other_cluster_and_wrong_secret_are_refused():
    with pytest.raises(RpcRefused, match="belongs to cluster 'cluster'"):
        asyncio.run(call("name", cluster="other"))
    with pytest.raises(RpcRefused, match="not signed"):
        asyncio.run(call("name", secret="wrong", server_secret="right"))
    assert asyncio.run(call("name", secret="right", server_secret="right")).identity == "name"


def test_concurrent_calls_on_a_link_get_their_own_replies():
    async def scenario():
        async def echo(request):
            await asyncio.sleep(0.001 * (int(request.instance) % 7))
            return ProbeReply(identity=request.instance)

        server, address = await serve(echo)
        link = Link(address, LinkIdentity("cluster", "gateway", "g"))
        names = [str(n) for n in range(100)]
        replies = await asyncio.gather(*(link.call(ProbeRequest(instance=n), 5) for n in names))
        assert [reply.identity for reply in replies] == names
        await link.close()
        await server.stop()

    asyncio.run(scenario())


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_rpc_error(data):
    with contextlib.suppress(RpcError):
        decode(Frame, data)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=50), st.integers(0, 2**40), st.integers(0, 60))
def test_damaged_frames_decode_or_raise_rpc_error(body, call_id, position):
    data = bytearray(encode(Frame(call_id=call_id, method=3, reply=True, body=body)))
    data[position % len(data)] ^= 0x55
    with contextlib.suppress(RpcError):
        decode(Frame, bytes(data))
