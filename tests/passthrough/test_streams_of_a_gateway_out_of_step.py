"""A gateway that is out of step does not take one version for the only one.

The failure: targets of another version joined while a gateway was cut off from the control daemons
and the other gateways. Streams that had begun at these targets were taken up there and went on at
the version that the gateway still held for the only one.
"""

import asyncio

import pytest

from tests.passthrough.test_streams_of_two_versions import (
    EVENTS,
    GATEWAYS,
    NEW,
    OLD,
    assert_all_whole,
    assert_each_at_one_version,
)
from tests.support.resuming_caller import CallerStream, read_streams
from tests.support.site import HOST, KEY, play
from traystall.core.serialization import pack
from traystall.routes.models import EngineProfile, KeyedCustomer, Pool, Route, Split

OUT = 2
STREAMS = 24
# Every gateway has seen one version alone for the whole lifetime of a stream.
CERTAIN_SECONDS = 5.5
_TIMEOUT_SECONDS = 2.5


def configuration():
    route = Route(
        "resumed",
        HOST,
        "/resumed/",
        (Split("engine"),),
        streamed=True,
        resumable=True,
        max_attempts=3,
        timeout=_TIMEOUT_SECONDS,
        aim=1.0,
    )
    rows = {
        "route/resumed": route,
        "pool/engine": Pool("engine", engine=EngineProfile(64, 100_000)),
        "keyed_customer/ana": KeyedCustomer("ana", (KEY,)),
    }
    return {key: pack(row) for key, row in rows.items()}


async def add_engines(site, version, count=3):
    for _ in range(count):
        runner = await site.add("engine", version, events=EVENTS)
        runner.event_seconds = 0.004


async def start_certain(site):
    """Start engines of one version, and return once it is certain that there is no other."""
    await site.group.apply_entities("a", 1, configuration())
    await add_engines(site, OLD)
    await site.until_all("/resumed/x", 200)
    reports = asyncio.create_task(report_forever(site))
    await asyncio.sleep(CERTAIN_SECONDS)
    return reports


async def report_forever(site):
    sequence = 1
    while True:
        await asyncio.sleep(1.0)
        sequence += 1
        for runner in list(site.runners):
            await site.report(runner, "engine", sequence=sequence)


def cut(site, how, out=(OUT,)):
    """Cut gateways off from the control daemons and the other gateways, in both directions."""
    links = [gateway.settings.rpc_listen for gateway in site.gateways]
    controls = list(site.group.addresses.values())
    others = [link for number, link in enumerate(links) if number not in out]
    lost = [links[number] for number in out]
    for number in range(GATEWAYS):
        unreachable = controls + others if number in out else lost
        site.partition.cut(f"gateway-{number}", unreachable, how)


def heal(site):
    for number in range(GATEWAYS):
        site.partition.heal(f"gateway-{number}")


async def begin_at(site, version, gateways=2, count=STREAMS):
    """Return streams that targets of one version began at the first gateways, in touch."""
    found = []
    async with asyncio.timeout(5):
        while len(found) < count:
            streams = [CallerStream() for _ in range(16)]
            await read_streams(site, streams, lambda index: index % gateways, leave_after=6)
            found += [stream for stream in streams if stream.versions == {version}]
    return found[:count]


async def sleep_until(moment):
    await asyncio.sleep(moment - asyncio.get_running_loop().time())


@pytest.mark.parametrize("how", ["hang", "reset"])
@pytest.mark.parametrize("seconds", [0.8, 1.3, 2.0])
def test_stream_of_a_version_that_joined_meanwhile_is_refused(tmp_path, how, seconds):
    """Guards against ORDER: the picture of a gateway cut off for less than two seconds counted."""

    async def scenario(site):
        reports = await start_certain(site)
        began = asyncio.get_running_loop().time()
        cut(site, how)
        await add_engines(site, NEW)
        streams = await begin_at(site, NEW)
        await sleep_until(began + seconds)
        await read_streams(site, streams, lambda index: OUT)
        reports.cancel()
        assert_each_at_one_version(streams)
        assert {stream.status for stream in streams} == {503}

    play(tmp_path, scenario, GATEWAYS)


@pytest.mark.parametrize("how", ["hang", "reset"])
def test_gateways_that_are_out_of_step_together_do_not_vouch_for_each_other(tmp_path, how):
    """Guards against ORDER in a data centre that is cut off as a whole."""

    async def scenario(site):
        reports = await start_certain(site)
        began = asyncio.get_running_loop().time()
        cut(site, how, out=(1, OUT))
        await add_engines(site, NEW)
        streams = await begin_at(site, NEW, gateways=1)
        await sleep_until(began + 0.8)
        await read_streams(site, streams, lambda index: OUT)
        reports.cancel()
        assert_each_at_one_version(streams)
        assert {stream.status for stream in streams} == {503}

    play(tmp_path, scenario, GATEWAYS)


@pytest.mark.parametrize("how", ["hang", "reset"])
@pytest.mark.parametrize("pause", [0.0, 0.05, 0.5, 3.0])
def test_gateway_that_was_out_of_step_mixes_nothing_once_it_is_back(tmp_path, how, pause):
    """Guards against ORDER right after the links are back, while some of them still hang."""

    async def scenario(site):
        reports = await start_certain(site)
        began = asyncio.get_running_loop().time()
        cut(site, how)
        await add_engines(site, NEW)
        streams = await begin_at(site, NEW)
        await sleep_until(began + 1.5 - min(pause, 0.5))
        heal(site)
        await asyncio.sleep(pause)
        await read_streams(site, streams, lambda index: OUT)
        reports.cancel()
        assert_each_at_one_version(streams)
        if pause == 3.0:
            assert_all_whole(streams)

    play(tmp_path, scenario, GATEWAYS)


def test_stream_that_an_out_of_step_gateway_began_is_not_mixed(tmp_path):
    """The reverse: its origin reaches no other gateway while the new version is known there."""

    async def scenario(site):
        reports = await start_certain(site)
        cut(site, "hang")
        streams = [CallerStream() for _ in range(STREAMS)]
        await add_engines(site, NEW)
        await read_streams(site, streams, lambda index: OUT, leave_after=6)
        assert all(stream.versions == {OLD} for stream in streams)
        await read_streams(site, streams, lambda index: index % 2)
        reports.cancel()
        assert_each_at_one_version(streams)

    play(tmp_path, scenario, GATEWAYS)


def test_stream_is_not_mixed_when_its_version_leaves_meanwhile(tmp_path):
    """The old version leaves while the gateway is out of step, so that each side has one alone."""

    async def scenario(site):
        reports = await start_certain(site)
        cut(site, "hang")
        old = list(site.runners)
        await add_engines(site, NEW)
        reports.cancel()
        for runner in old:
            await site.report(runner, "engine", state="gone", sequence=1000)
        streams = await begin_at(site, NEW)
        began_there = [CallerStream() for _ in range(STREAMS)]
        await read_streams(site, began_there, lambda index: OUT, leave_after=6)
        await read_streams(site, streams, lambda index: OUT)
        await read_streams(site, began_there, lambda index: index % 2)
        assert_each_at_one_version(streams)
        assert_each_at_one_version(began_there)

    play(tmp_path, scenario, GATEWAYS)


def test_unknown_stream_goes_on_at_the_only_version(tmp_path):
    """With one version everywhere and all in touch a stream without an origin goes on at once."""

    async def scenario(site):
        reports = await start_certain(site)
        streams = [CallerStream() for _ in range(6)]
        await read_streams(site, streams, lambda index: index % 2, leave_after=6)
        for stream in streams:
            stream.first_id = f"{stream.first_id}-unknown"
        began = asyncio.get_running_loop().time()
        await read_streams(site, streams, lambda index: OUT)
        assert asyncio.get_running_loop().time() - began < 1.0
        reports.cancel()
        assert_all_whole(streams)

    play(tmp_path, scenario, GATEWAYS)
