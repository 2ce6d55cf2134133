"""Metrics of links: bytes by message type, call outcomes and durations, late replies."""

import asyncio
import contextlib
import logging
import re

import pytest

from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcRefused, RpcTimeout, RpcUnavailable
from traystall.core.metrics import render_metrics
from traystall.rpc import client, traffic
from traystall.rpc.client import Link, LinkIdentity
from traystall.rpc.framing import read_sized_frame, write_frame
from traystall.rpc.gen.wire.ttypes import Frame, Method, ProbeReply, ProbeRequest, StatusRequest
from traystall.rpc.messages import REQUEST_TYPES, encode
from traystall.rpc.server import RpcServer

_LINE = re.compile(r"(\w+)\{(.*)\} (\S+)")
# Timeout of calls that must time out, far below the time limit of a test.
_SHORT_TIMEOUT_SECONDS = 0.05
_BIG_REPLY_BYTES = 300_000
# Exceeds the kernel's socket buffers and stays below the maximum size of a message body.
_UNSENT_BYTES = 15 * 1024 * 1024


def read_metrics():
    """Return the value of each metric by name and set of labels."""
    found = {}
    for line in render_metrics([])[0].decode().splitlines():
        if match := _LINE.fullmatch(line):
            labels = frozenset(re.findall(r'(\w+)="([^"]*)"', match[2]))
            found[match[1], labels] = float(match[3])
    return found


def metric_value(page, name, **labels):
    """Return the value of one metric, or 0 if it is missing."""
    return page.get((f"traystall_rpc_{name}", frozenset(labels.items())), 0.0)


class MetricIncrease:
    """Measures the increase of metrics since its creation."""

    def __init__(self):
        self._before = read_metrics()

    def __call__(self, name, **labels):
        return metric_value(read_metrics(), name, **labels) - metric_value(
            self._before, name, **labels
        )


class MemoryWriter:
    """A writer that keeps the bytes in memory."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        """Append the bytes."""
        self.data += data


@contextlib.asynccontextmanager
async def open_link(handler, role="gateway"):
    """Start a server with `handler` and yield a link to it."""
    server = RpcServer("127.0.0.1:0", "cluster", "", handler)
    await server.start()
    host, port = server._server.sockets[0].getsockname()
    link = Link(f"{host}:{port}", LinkIdentity("cluster", role, "g"))
    try:
        yield link
    finally:
        await link.close()
        await server.stop()


async def wait_for_condition(condition):
    """Wait until `condition()` holds."""
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.005)


async def answer(request):
    """Refuse, delay or answer a probe, depending on its instance name."""
    if request.instance == "refused":
        raise RpcRefused("code", "detail")
    if request.instance == "slow":
        await asyncio.sleep(60)
    return ProbeReply(identity="x" * _BIG_REPLY_BYTES)


def test_bytes_are_counted_by_direction_and_kind():
    increase = MetricIncrease()

    async def scenario():
        async with open_link(answer) as link:
            await link.call(ProbeRequest(instance="name"), 5.0)

    asyncio.run(scenario())
    # Both ends run in this process, so the bytes written equal the bytes read.
    for kind, least, most in (
        ("probe", _BIG_REPLY_BYTES, _BIG_REPLY_BYTES + 200),
        ("hello", 20, 200),
    ):
        assert least < increase("bytes_total", direction="out", kind=kind) < most
        assert increase("bytes_total", direction="in", kind=kind) == increase(
            "bytes_total", direction="out", kind=kind
        )
    assert increase("bytes_total", direction="out", kind="watch") == 0


def test_frame_size_includes_the_length_prefix():
    frame = Frame(call_id=1, method=Method.CLAIM, reply=True, body=b"x" * 100)
    increase = MetricIncrease()

    async def scenario():
        writer = MemoryWriter()
        size = write_frame(writer, frame)
        reader = asyncio.StreamReader()
        reader.feed_data(writer.data)
        assert (await read_sized_frame(reader)) == (frame, size)
        assert size == len(writer.data) == len(encode(frame)) + 4
        return size

    size = asyncio.run(scenario())
    assert increase("bytes_total", direction="out", kind="claim") == size
    assert increase("bytes_total", direction="in", kind="claim") == size


@pytest.mark.parametrize("data", [encode(Frame(call_id=1, method=9999)), b"\xff" * 30])
def test_frames_of_unknown_methods_share_one_label(data):
    increase = MetricIncrease()

    async def scenario():
        reader = asyncio.StreamReader()
        reader.feed_data(len(data).to_bytes(4, "big") + data)
        with contextlib.suppress(RpcError):
            await read_sized_frame(reader)

    asyncio.run(scenario())
    assert increase("bytes_total", direction="in", kind="unknown") == len(data) + 4


def test_every_method_has_a_distinct_kind():
    kinds = {traffic.kind_of(method) for method in REQUEST_TYPES}
    assert len(kinds) == len(REQUEST_TYPES)
    assert traffic.UNKNOWN_KIND not in kinds
    assert traffic.kind_of(Method.STAGE_FREED) == "stage_freed"


@pytest.mark.parametrize(
    ("instance", "outcome", "error"),
    [
        ("name", "answered", None),
        ("refused", "refused", RpcRefused),
        ("slow", "timed-out", RpcTimeout),
    ],
)
def test_calls_are_counted_by_outcome_with_their_duration(instance, outcome, error):
    increase = MetricIncrease()

    async def scenario():
        async with open_link(answer) as link:
            expected = pytest.raises(error) if error else contextlib.nullcontext()
            with expected:
                timeout = _SHORT_TIMEOUT_SECONDS if outcome == "timed-out" else 5.0
                await link.call(ProbeRequest(instance=instance), timeout)

    asyncio.run(scenario())
    assert increase("calls_total", kind="probe", outcome=outcome) == 1
    assert increase("call_seconds_count", kind="probe") == 1
    assert increase("call_seconds_bucket", kind="probe", le="+Inf") == 1
    least = _SHORT_TIMEOUT_SECONDS * 0.9 if outcome == "timed-out" else 0.0
    assert least < increase("call_seconds_sum", kind="probe") < 5.0


def test_unavailable_and_cancelled_calls_are_counted_separately():
    increase = MetricIncrease()

    async def scenario():
        async with open_link(answer) as link:
            call = asyncio.create_task(link.call(ProbeRequest(instance="slow"), 5.0))
            await asyncio.sleep(_SHORT_TIMEOUT_SECONDS)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
        with pytest.raises(RpcUnavailable):
            await link.call(ProbeRequest(), 5.0)

    asyncio.run(scenario())
    assert increase("calls_total", kind="probe", outcome="cancelled") == 1
    assert increase("calls_total", kind="probe", outcome="unavailable") == 1
    assert increase("calls_total", kind="probe", outcome="timed-out") == 0
    assert increase("late_reply_bytes_total", kind="probe") == 0


def test_late_replies_are_counted_and_logged_once_an_interval(caplog, monkeypatch):
    caplog.set_level(logging.INFO, "traystall.rpc.client")
    increase = MetricIncrease()
    now = [100.0]
    monkeypatch.setattr(clock, "monotonic", lambda: now[0])

    async def scenario():
        gate = asyncio.Event()

        async def answer_late(request):
            if request.instance == "late":
                await gate.wait()
            return ProbeReply(identity="x" * _BIG_REPLY_BYTES)

        async def give_up(link, times):
            gate.clear()
            for _ in range(times):
                with pytest.raises(RpcTimeout):
                    await link.call(ProbeRequest(instance="late"), _SHORT_TIMEOUT_SECONDS)
            late = increase("late_reply_bytes_total", kind="probe")
            gate.set()
            await wait_for_condition(
                lambda: (
                    increase("late_reply_bytes_total", kind="probe") - late
                    > times * _BIG_REPLY_BYTES
                )
            )

        async with open_link(answer_late) as link:
            await link.call(ProbeRequest(instance="in time"), 5.0)
            assert increase("late_reply_bytes_total", kind="probe") == 0
            await give_up(link, 3)
            now[0] += client._LATE_LOG_INTERVAL_SECONDS / 2
            await give_up(link, 1)
            assert len(caplog.records) == 1
            now[0] += client._LATE_LOG_INTERVAL_SECONDS / 2
            await give_up(link, 1)
            return link.address

    address = asyncio.run(scenario())
    assert increase("calls_total", kind="probe", outcome="timed-out") == 5
    late = increase("late_reply_bytes_total", kind="probe")
    assert 5 * _BIG_REPLY_BYTES < late < 5 * (_BIG_REPLY_BYTES + 100)
    assert [record.getMessage() for record in caplog.records] == ["late reply"] * 2
    for record in caplog.records:
        assert (record.levelname, record.method, record.peer) == ("INFO", "probe", address)
        assert record.bytes == late / 5


@pytest.mark.parametrize(("role", "told"), [("gateway", "gateway"), ('a"b\n', "other")])
def test_unsent_bytes_are_reported_by_peer_role_until_the_link_closes(role, told):
    def unsent():
        return metric_value(read_metrics(), "unsent_bytes", link="accepted", peer=told)

    async def answer_much(request):
        return ProbeReply(identity="x" * _UNSENT_BYTES)

    async def scenario():
        assert unsent() == 0
        async with open_link(answer_much, role) as link:
            await link._ensure_open()
            link._writer.transport.pause_reading()
            call = asyncio.create_task(link.call(ProbeRequest(), 30.0))
            await wait_for_condition(lambda: unsent() > 0)
            assert unsent() <= _UNSENT_BYTES + 100
            link._writer.transport.resume_reading()
            await call
            assert unsent() == 0
            link._writer.transport.pause_reading()
            call = asyncio.create_task(link.call(ProbeRequest(), 30.0))
            await wait_for_condition(lambda: unsent() > 0)
            call.cancel()
        await wait_for_condition(lambda: unsent() == 0)

    asyncio.run(scenario())


def test_unsent_bytes_of_outgoing_links_are_reported():
    def unsent():
        return metric_value(read_metrics(), "unsent_bytes", link="opened", peer="any")

    async def scenario():
        async def read_nothing(reader, writer):
            writer.transport.pause_reading()
            await asyncio.sleep(60)

        server = await asyncio.start_server(read_nothing, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = Link(f"{host}:{port}", LinkIdentity("cluster", "gateway", "g"))
        with pytest.raises(RpcTimeout):
            await link.call(StatusRequest(), _SHORT_TIMEOUT_SECONDS)
        assert unsent() == 0
        with pytest.raises(RpcTimeout):
            await link.call(ProbeRequest(instance="x" * _UNSENT_BYTES), _SHORT_TIMEOUT_SECONDS)
        assert 0 < unsent() <= _UNSENT_BYTES + 100
        await link.close()
        assert unsent() == 0
        server.close()

    asyncio.run(scenario())
