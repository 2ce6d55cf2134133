"""A target that sends bytes without end is cut at once, and others answer in its place."""

import pytest

from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from tests.support.endless_target import WAYS, EndlessTarget
from traystall.core import clock
from traystall.passthrough.exceptions import NoAnswer
from traystall.passthrough.exchange import connection as connection_module

TIMEOUT_SECONDS = 3.0
EVENTS = 4
MIN_REQUESTS = 12
MAX_REQUESTS = 400
STREAM = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
# Bodies without end are limited as any other body.
FRAMING_WAYS = sorted(set(WAYS) - {"body", "chunks"})
# Their first answer is whole, or its beginning is passed on.
BEGUN = ("surplus bytes", "surplus answers", "trailers", "extension of a later chunk")
# Beside what the gateway reads, the kernel buffers of both sides take some megabytes.
MAX_SENT_BYTES = 12 * 1024 * 1024


async def call_all(way, path, pool):
    """Send requests to three sound targets and an endless one; return statuses and bodies.

    Which target gets one is left to chance, so they go on until the endless one has got one.
    """
    endless = await EndlessTarget(way).start()
    events = EVENTS if pool == "engine" else 0
    sound = [await Runner(f"s-{n}", events=events).start() for n in range(3)]
    routing = table(timeout=TIMEOUT_SECONDS, resumable=True, max_attempts=4)
    try:
        targets = [(pool, endless), *((pool, runner) for runner in sound)]
        async with EmulatedGateway(routing, targets) as gateway:
            answers, slowest = [], 0.0
            while len(answers) < MIN_REQUESTS or (not endless.sent and len(answers) < MAX_REQUESTS):
                began = clock.monotonic()
                status, _, body = await gateway.call(path)
                answers.append((status, body))
                slowest = max(slowest, clock.monotonic() - began)
        return endless, answers, slowest
    finally:
        for target in (endless, *sound):
            await target.stop()


@pytest.mark.parametrize("way", FRAMING_WAYS)
@pytest.mark.parametrize(
    ("path", "pool", "expected"),
    [("/again/x", "plain", b"answer to hello"), ("/events/x", "engine", STREAM)],
)
def test_target_that_sends_without_end_is_cut_at_once(way, path, pool, expected):
    """Heads, interim answers and chunk extensions were read until the deadline, in any size."""
    endless, answers, slowest = run(call_all(way, path, pool))
    assert endless.sent, "The target that sends without end got no request."
    assert max(endless.sent) < MAX_SENT_BYTES
    assert slowest < TIMEOUT_SECONDS / 2
    if way not in BEGUN:
        assert answers == [(200, expected)] * len(answers)


class _Transport:
    """Count what a connection reads before it is closed."""

    def __init__(self):
        self.is_closed = False

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        self.is_closed = True

    def write(self, data):
        pass

    def abort(self):
        self.is_closed = True


@pytest.mark.parametrize("way", sorted(set(FRAMING_WAYS) - {"surplus answers"}))
def test_bytes_read_of_a_head_without_end_are_bounded(way):
    """Bytes that belong to no response are no sign of life either."""

    async def scenario():
        signs = []
        observer = connection_module.ConnectionObserver(on_data=lambda: signs.append(1))
        connection = connection_module.TargetConnection(observer)
        transport = _Transport()
        connection.connection_made(transport)
        connection.send(b"request")
        first, endless = WAYS[way]
        connection.data_received(first or endless)
        signs.clear()
        fed = 0
        while not transport.is_closed and connection._error is None:
            fed += len(endless)
            assert fed < 4 * connection_module.MAX_HEAD_BYTES
            connection.data_received(endless)
        assert isinstance(connection._error, NoAnswer)
        if way != "interim answers":
            assert not signs

    run(scenario())


def test_stream_of_many_small_chunks_is_read_on():
    """The framing of a long stream is no head without end."""

    async def scenario():
        connection = connection_module.TargetConnection()
        transport = _Transport()
        connection.connection_made(transport)
        connection.send(b"request")
        connection.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await connection.head()
        for _ in range(20_000):
            connection.data_received(b"1;extension=12345678\r\nx\r\n")
            assert await connection.chunk() == b"x"
        connection.data_received(b"0\r\n\r\n")
        assert await connection.chunk() == b""
        assert not transport.is_closed

    run(scenario())
