"""A target whose end was acknowledged gets no request after every process was killed."""

import asyncio

import pytest

from tests.support.process_site import CONTROLS, ProcessSite
from tests.support.tunnel_site import entities

# Gateways are in touch again this long after all processes were killed.
_IN_TOUCH_SECONDS = 6.0
_REQUESTS = 24


class KilledSite(ProcessSite):
    """A process site whose targets announce their end, and whose processes are all killed."""

    async def send_report(self, target, at="a", **fields):
        """Send a report of a target to one control daemon and return the status."""
        body = {
            "pool": target.pool,
            "address": target.runner.address,
            "data_centre": "here",
            "slots": 64,
            "sequence": 1,
            "started": 1,
            **fields,
        }
        url = f"http://{self._http[at]}/v1/targets/{target.identity}"
        async with self.session.put(url, json=body) as response:
            return response.status

    async def leave(self, target):
        """Announce the end of a target until it is acknowledged."""
        async with asyncio.timeout(10):
            while True:
                url = f"http://{self._http['a']}/v1/targets/{target.identity}"
                async with self.session.delete(url) as response:
                    if response.status == 200:
                        return

    async def report_forever(self, target):
        sequence = 1
        while True:
            sequence += 1
            for at in CONTROLS:
                try:
                    if await self.send_report(target, at, sequence=sequence) == 200:
                        break
                except OSError:
                    continue
            await asyncio.sleep(1.0)

    async def kill_all(self):
        """Kill every process at the same moment, and start all of them again."""
        processes = (*self.gateways, *self.controls)
        for process in processes:
            process.popen.kill()
        for process in processes:
            process.popen.wait()
        await asyncio.sleep(0.5)
        for process in processes:
            process.start()

    async def call(self, number):
        """Return the status of one request, 0 without an answer."""
        try:
            async with asyncio.timeout(4.0), self.post(number, "/plain/x", b"x") as response:
                await response.read()
                return response.status
        except (OSError, TimeoutError):
            return 0


@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize("others", [2, 0])
@pytest.mark.parametrize("delay", [0.05, 1.0])
def test_late_report_of_a_target_that_is_gone_brings_it_no_request(
    tmp_path, others, draining, delay
):
    """Guards against DRAIN: the end was kept in memory only, and an old report revived the target.

    The target goes on to answer, as one does that has announced its end and finishes its work.
    """

    async def scenario():
        async with KilledSite(tmp_path, gateways=2) as site:
            await site.apply(entities())
            leaving = await site.add("services")
            staying = [await site.add("services") for _ in range(others)]
            reports = [asyncio.create_task(site.report_forever(target)) for target in staying]
            await site.until_ready()
            await asyncio.sleep(1.0)
            if draining:
                assert await site.send_report(leaving, sequence=5, state="draining") == 200
            await site.leave(leaving)
            await asyncio.sleep(delay)
            await site.kill_all()
            await asyncio.sleep(_IN_TOUCH_SECONDS - 1.0)
            for at in CONTROLS:
                assert await site.send_report(leaving, at, sequence=2) == 200
            await asyncio.sleep(1.0)
            before = len(leaving.runner.recorded)
            statuses = [await site.call(number % 2) for number in range(_REQUESTS)]
            for task in reports:
                task.cancel()
            assert len(leaving.runner.recorded) == before
            assert statuses == [200 if others else 503] * _REQUESTS

    asyncio.run(scenario())
