"""A gateway that stood still takes no version for the only one because it knew no other before."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.passthrough.test_streams_of_a_gateway_out_of_step import CERTAIN_SECONDS, configuration
from tests.passthrough.test_streams_of_two_versions import (
    EVENTS,
    NEW,
    OLD,
    assert_each_at_one_version,
)
from tests.support.process_site import ProcessSite
from tests.support.resuming_caller import CallerStream, read_streams

STILL = 2
STREAMS = 24


class VersionSite(ProcessSite):
    """A process site with engines of software versions."""

    async def add_engines(self, version, count=3):
        for _ in range(count):
            target = await self.add("engine", version, events=EVENTS)
            target.runner.event_seconds = 0.004

    async def report_forever(self):
        """Report all targets, as often as they do it themselves."""
        sequence = 1
        while True:
            await asyncio.sleep(1.0)
            sequence += 1
            for target in list(self.targets):
                await self.report(target, sequence)

    def callers(self):
        """Return the addresses of the gateways in the form that streams of callers use."""
        settings = [SimpleNamespace(listen=address) for address in self.callers_at]
        return SimpleNamespace(gateways=[SimpleNamespace(settings=each) for each in settings])


async def begin(site, version):
    found = []
    async with asyncio.timeout(8):
        while len(found) < STREAMS:
            streams = [CallerStream() for _ in range(16)]
            await read_streams(site.callers(), streams, lambda index: index % 2, leave_after=6)
            found += [stream for stream in streams if stream.versions == {version}]
    return found[:STREAMS]


@pytest.mark.parametrize("seconds", [1.0, 2.0, 3.0])
def test_stream_that_waited_for_a_gateway_standing_still_is_not_mixed(tmp_path, seconds):
    """Guards against ORDER: on waking it read the stream before it heard of the new version.

    The origins that the other gateways sent meanwhile were given up by their senders.
    """

    async def scenario():
        async with VersionSite(tmp_path, gateways=3) as site:
            await site.apply(configuration())
            await site.add_engines(OLD)
            await site.until_ready()
            reports = asyncio.create_task(site.report_forever())
            await asyncio.sleep(CERTAIN_SECONDS)
            still = asyncio.create_task(site.hold_up(STILL, seconds))
            await asyncio.sleep(0.1)
            await site.add_engines(NEW)
            streams = await begin(site, NEW)
            assert not still.done(), "the streams began after the gateway was back"
            await read_streams(site.callers(), streams, lambda index: STILL)
            await still
            reports.cancel()
            assert_each_at_one_version(streams)

    asyncio.run(scenario())
