"""Transfers of a configuration in chunks, with every fault at every chunk.

A transfer ends either with the complete configuration or with no result, never with a wrong one.
"""

import asyncio
import random

import pytest

from traystall.catalog.deltas import EMPTY_DIGEST, entities_digest
from traystall.catalog.transfers import full_copy
from traystall.core.exceptions import RpcTimeout, RpcUnavailable
from traystall.gateway import transfer
from traystall.gateway.transfer import CopyFetcher
from traystall.rpc.copies import CopySource
from traystall.rpc.gen.wire.ttypes import GatewayRecord, TransferReply, WatchReply, WatchRequest


def random_entities(count=35, size=4000):
    """Return entities of 140 KB that can't be compressed, so that they need several chunks."""
    source = random.Random(7)
    return {f"route/{i}": source.randbytes(size) for i in range(count)}


class Source:
    """A control daemon with `entities`; `fault(call number)` may return a fault to inject."""

    def __init__(self, entities, fault=lambda call: None):
        self.entities = entities
        self.copies = CopySource(lambda base: full_copy(entities, entities_digest(entities)))
        self.fault = fault
        self.calls = 0
        self.sent = 0

    def offer(self, number=1):
        reply = WatchReply(number=number, digest=entities_digest(self.entities), base=EMPTY_DIGEST)
        request = WatchRequest(digest=EMPTY_DIGEST, inline_bytes=1024)
        self.copies.fill(reply, request)
        return reply

    async def call(self, request, timeout):
        self.calls += 1
        await asyncio.sleep(0.001)
        fault = self.fault(self.calls)
        reply = self.copies.chunk(request)
        self.sent += len(reply.data or b"")
        if fault == "late":
            raise RpcTimeout("Too late.")
        if fault == "broken":
            raise RpcUnavailable("The link broke.")
        if fault == "unknown":
            return TransferReply(known=False)
        if fault == "empty":
            return TransferReply(known=True, data=b"")
        return reply


class Sources:
    """Stand-in for the link pool: sources by address."""

    def __init__(self, **sources):
        self.sources = sources

    def link(self, address):
        return self.sources[address]


def fetch(sources, first="a", others=("b",)):
    """Fetch from `first` while `others` offer the same or another revision."""

    async def scenario():
        fetcher = CopyFetcher(sources, GatewayRecord)
        reply = sources.link(first).offer()
        running = asyncio.create_task(fetcher.fetch(first, reply))
        await asyncio.sleep(0)
        waiting = [
            asyncio.create_task(fetcher.fetch(other, sources.link(other).offer()))
            for other in others
        ]
        await asyncio.gather(*waiting)
        return await running, fetcher, reply

    return asyncio.run(scenario())


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(transfer, "_FAILURE_PAUSE_SECONDS", 0.0)


@pytest.mark.parametrize("fault", ["late", "broken", "unknown", "empty"])
@pytest.mark.parametrize("at", range(1, 7))
@pytest.mark.parametrize("others", [(), ("b",)])
def test_one_fault_at_every_chunk(fault, at, others):
    entities = random_entities()
    sources = Sources(a=Source(entities, lambda call: fault if call == at else None))
    sources.sources["b"] = Source(entities)
    copy, _, reply = fetch(sources, others=others)
    sent = sum(source.sent for source in sources.sources.values())
    assert sent <= reply.offer.size + 2 * 64 * 1024
    if copy is None:
        # The only source has another revision now; the next watch requests that one.
        assert fault in ("unknown", "empty") and not others
    else:
        assert copy.puts == entities


@pytest.mark.parametrize("fault", ["late", "broken", "unknown"])
def test_permanent_failure_returns_none_and_keeps_received_chunks(fault):
    entities = random_entities()
    dead = Source(entities, lambda call: fault if call > 2 else None)
    sources = Sources(a=dead, b=Source(entities))

    async def scenario():
        fetcher = CopyFetcher(sources, GatewayRecord)
        assert await fetcher.fetch("a", dead.offer()) is None
        assert fetcher.number == 0
        return await fetcher.fetch("b", sources.link("b").offer())

    copy = asyncio.run(scenario())
    assert copy.puts == entities
    assert sources.link("b").sent < dead.offer().offer.size


def test_another_revision_is_fetched_from_the_start():
    sources = Sources(
        a=Source(random_entities(), lambda call: "broken" if call > 2 else None),
        b=Source({**random_entities(), "more": b"1"}),
    )

    async def scenario():
        fetcher = CopyFetcher(sources, GatewayRecord)
        await fetcher.fetch("a", sources.link("a").offer())
        return await fetcher.fetch("b", sources.link("b").offer(2))

    assert asyncio.run(scenario()).puts["more"] == b"1"


def test_damaged_bytes_are_fetched_again():
    entities = random_entities()
    source = Source(entities)
    chunk = source.copies.chunk

    def damaged(request):
        reply = chunk(request)
        reply.data = bytes(len(reply.data))
        return reply

    source.copies.chunk = damaged
    sources = Sources(a=source)

    async def scenario():
        fetcher = CopyFetcher(sources, GatewayRecord)
        assert await fetcher.fetch("a", source.offer()) is None
        source.copies.chunk = chunk
        return await fetcher.fetch("a", source.offer())

    assert asyncio.run(scenario()).puts == entities


def test_one_transfer_at_a_time_and_a_second_source_takes_over():
    """The first source stops responding; a source added meanwhile continues from that offset."""
    entities = random_entities()
    silent = Source(entities)
    answer = silent.call

    async def call(request, timeout):
        if silent.calls < 2:
            return await answer(request, timeout)
        await asyncio.sleep(0.1)
        raise RpcTimeout("Silent.")

    silent.call = call
    sources = Sources(a=silent, b=Source(entities))

    async def scenario():
        fetcher = CopyFetcher(sources, GatewayRecord)
        first = asyncio.create_task(fetcher.fetch("a", silent.offer()))
        await asyncio.sleep(0.02)
        second = await fetcher.fetch("b", sources.link("b").offer())
        return await first, second

    first, second = asyncio.run(scenario())
    assert first.puts == entities and second is None
    assert silent.sent + sources.link("b").sent <= silent.offer().offer.size + 64 * 1024


def test_one_late_chunk_and_lagging_daemons_do_not_end_a_transfer():
    entities = random_entities()
    sources = Sources(a=Source(entities, lambda call: "late" if call == 2 else None))
    for name in "bcd":
        sources.sources[name] = Source(random_entities(3))
    copy, _, _ = fetch(sources, others=("b", "c", "d"))
    assert copy is not None and copy.puts == entities
