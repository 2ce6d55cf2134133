"""The bytes and the time that a gateway needs to get a large configuration over a narrow link.

Guards against transfers that never finish: on links of 5 Mbit/s an acknowledged configuration of
314 KB did not reach gateways for 13 s. Each gateway requested full copies from several control
daemons at once, with a timeout that was shorter than the transfer took beside other traffic. It
discarded the late replies and started again, so the links were full of useless copies.

The bounds hold on any link: a configuration costs little more than its size once, and is in force
about as soon as the link can carry it. Each gateway has real control daemons and a link on which
the transfer takes longer than the timeout of a call. Sizes are bytes, times are seconds of the
link's own clock.
"""

import asyncio
import random
import string

import aiohttp
import pytest

from tests.support.control_group import ControlGroup, free_address
from tests.support.narrow_link import NarrowLink
from tests.support.pass_gateway import start_pass_gateway
from traystall.core.serialization import pack
from traystall.routes.models import Pool, Route, Split

HOST = "shop.example"
LINK_BYTES_PER_SECOND = 200_000
BUSY_SHARE = 0.5
# Allowed traffic of watches and of replies without configuration.
WATCH_BYTES_PER_SECOND = 6_000
LARGE_ROUTES = 55
SMALL_ROUTES = 1
PATH_CHARACTERS = 4_000
# Characters that are allowed in paths; a random one has 6.3 bits of information in its 8 bits.
CHARACTERS = string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@"
# The fraction of a configuration that has arrived when the transfer is disturbed.
FRACTION_BEFORE_FAULT = 0.4
STALL_SECONDS = 2.0
# Allowed bytes of a complete transfer as a multiple of the configuration's size. The excess is
# overhead, or was in flight when the transfer was interrupted.
MAX_SIZE_RATIO = 1.3
MAX_SIZE_RATIO_AFTER_INTERRUPTION = 1.2
# Allowed duration of a transfer: a multiple of what its bytes need, and extra seconds.
MAX_DURATION_RATIO = 1.2
NOTICE_SECONDS = 2.0
# Extra time for a gateway to resume after an interruption.
INTERRUPTION_SECONDS = 4.0
# Timeout of a case on a busy machine.
WALL_SECONDS = 60.0


def routes(seed, count):
    """Return entities of `count` routes that can hardly be compressed."""
    source = random.Random(seed)
    rows = {}
    for number in range(count):
        path = "".join(source.choices(CHARACTERS, k=PATH_CHARACTERS))
        name = f"{seed}-{number}"
        rows[f"route/{name}"] = pack(Route(name, HOST, f"/{path}/", (Split("plain"),)))
    return rows


BASE = {"pool/plain": pack(Pool("plain")), **routes("base", SMALL_ROUTES)}
LARGE = BASE | routes("large", LARGE_ROUTES)
LARGER = LARGE | routes("more", SMALL_ROUTES)


def size_of(entities):
    """Return the size in bytes of the entities that are not in the base."""
    return sum(len(key) + len(value) for key, value in entities.items() if key not in BASE)


class Site:
    """Three control daemons, and gateways behind one narrow link."""

    def __init__(self, root):
        self.group = ControlGroup(root)
        self.link = NarrowLink(LINK_BYTES_PER_SECOND, BUSY_SHARE)
        self.gateways = []

    async def start(self, entities):
        """Form the group and put a configuration in force there."""
        for name in "abc":
            self.group.listening[name] = free_address()
            self.group.addresses[name] = await self.link.add(name, self.group.listening[name])
        await asyncio.gather(*(self.group.start(name, founding=True) for name in "abc"))
        await self.group.until(lambda: self.group.live_voters() == {"a", "b", "c"})
        await self.apply(1, entities)

    async def start_gateway(self):
        """Start a gateway that reaches the control daemons over the narrow link."""
        gateway = await start_pass_gateway(
            f"gateway-{len(self.gateways)}", self.group.addresses.values()
        )
        self.gateways.append(gateway)

    async def apply(self, number, entities):
        """Put a revision in force at every control daemon."""
        name = next(iter(self.group.daemons))
        await self.group.apply_entities(name, number, entities)
        daemons = self.group.daemons.values()
        await self.group.until(lambda: all(d.node.state.catalog.number == number for d in daemons))

    def held(self):
        """Return the number of the revision in force at the last started gateway."""
        return self.gateways[-1].gateway_context.follower.held.number

    async def stop(self):
        for gateway in self.gateways:
            await gateway.stop()
        await self.group.stop_all()
        await self.link.close()


class Transfer:
    """Measure the bytes and seconds until a revision is in force at the last started gateway."""

    def __init__(self, site, number, entities):
        self._site = site
        self._number = number
        self._size = size_of(entities)
        self._began = site.link.seconds
        self._before = dict(site.link.delivered)
        self._bytes = MAX_SIZE_RATIO * self._size
        self._spare_seconds = NOTICE_SECONDS

    def delivered(self):
        """Return the bytes delivered so far from each daemon."""
        counts = self._site.link.delivered
        return {name: counts[name] - self._before.get(name, 0) for name in counts}

    def seconds(self):
        """Return the elapsed seconds of the link's clock."""
        return self._site.link.seconds - self._began

    async def until_part(self):
        """Wait for a part of the revision; return the daemon that has sent most of it."""
        while sum(self.delivered().values()) < FRACTION_BEFORE_FAULT * self._size:
            assert self.seconds() < self._limit(), "Too little was delivered."
            await asyncio.sleep(0.01)
        return max(self.delivered(), key=self.delivered().get)

    def was_interrupted(self, seconds=0.0):
        """Extend the limits for a restart of the transfer, after an interruption of `seconds`."""
        came = sum(self.delivered().values())
        self._bytes = came + MAX_SIZE_RATIO_AFTER_INTERRUPTION * self._size
        self._spare_seconds += seconds + INTERRUPTION_SECONDS

    async def finish(self):
        """Wait until the revision is in force; fail if it takes too long or too many bytes."""
        limit = self._limit()
        while self._site.held() < self._number and self.seconds() <= limit:
            await asyncio.sleep(0.01)
        seconds = self.seconds()
        came = self.delivered()
        most = self._bytes + WATCH_BYTES_PER_SECOND * seconds
        summary = (
            f"revision {self._site.held()} is in force after {seconds:.1f} s (limit {limit:.1f} s);"
            f" {sum(came.values())} bytes came (limit {most:.0f}) for {self._size}: {came}"
        )
        print(summary)
        assert self._site.held() >= self._number, summary
        assert sum(came.values()) <= most, summary

    def _limit(self):
        """Return the time limit for the revision to be in force, in seconds."""
        width = self._site.link.free_bytes_per_second
        return MAX_DURATION_RATIO * self._bytes / width + self._spare_seconds


def run_scenario(tmp_path, scenario):
    """Run a scenario on a new site."""

    async def bounded():
        site = Site(tmp_path)
        try:
            async with asyncio.timeout(WALL_SECONDS):
                await scenario(site)
        finally:
            await site.stop()

    asyncio.run(bounded())


async def change_running_gateway(site, number=2, entities=LARGE):
    """Start a gateway with the base configuration, then apply a large change.

    Return the transfer that measures the revision `number`, which may be a later one.
    """
    await site.start(BASE)
    await site.start_gateway()
    await site.group.until(lambda: site.held() == 1)
    transfer = Transfer(site, number, entities)
    await site.apply(2, LARGE)
    return transfer


def test_large_change_reaches_a_running_gateway(tmp_path):
    async def scenario(site):
        transfer = await change_running_gateway(site)
        await transfer.finish()

    run_scenario(tmp_path, scenario)


def test_large_configuration_reaches_a_gateway_that_starts(tmp_path):
    async def scenario(site):
        await site.start(LARGE)
        transfer = Transfer(site, 1, LARGE)
        await site.start_gateway()
        await transfer.finish()

    run_scenario(tmp_path, scenario)


async def silence(site, name):
    site.link.silence(name)


async def stop(site, name):
    site.link.reset(name)
    await site.group.stop(name)


@pytest.mark.parametrize("lose", [silence, stop])
def test_large_change_continues_after_the_loss_of_its_source(tmp_path, lose):
    async def scenario(site):
        transfer = await change_running_gateway(site)
        await lose(site, await transfer.until_part())
        transfer.was_interrupted()
        await transfer.finish()

    run_scenario(tmp_path, scenario)


def test_small_change_during_a_large_one_is_in_force_as_well(tmp_path):
    async def scenario(site):
        transfer = await change_running_gateway(site, 3, LARGER)
        await transfer.until_part()
        await site.apply(3, LARGER)
        transfer.was_interrupted()
        await transfer.finish()

    run_scenario(tmp_path, scenario)


def test_large_change_continues_after_a_stalled_link(tmp_path):
    async def scenario(site):
        transfer = await change_running_gateway(site)
        await transfer.until_part()
        site.link.stand_still()
        await asyncio.sleep(STALL_SECONDS)
        site.link.go_on()
        transfer.was_interrupted(STALL_SECONDS)
        await transfer.finish()

    run_scenario(tmp_path, scenario)


def test_gateway_that_restarts_leaves_no_copies_on_the_link(tmp_path):
    async def scenario(site):
        transfer = await change_running_gateway(site)
        await transfer.until_part()
        await site.gateways.pop().stop()
        await site.start_gateway()
        transfer.was_interrupted()
        await transfer.finish()

    run_scenario(tmp_path, scenario)


def test_transfer_after_an_announcement_ends_with_its_gateway(tmp_path):
    """A transfer left running would reopen its link and use bandwidth that others need."""

    async def scenario(site):
        transfer = await change_running_gateway(site)
        await transfer.until_part()
        gateway = site.gateways.pop()
        for address in site.group.addresses.values():
            gateway._fetch_configuration(2, address)
        # The offers have arrived once these calls wait for the running transfer.
        lock = gateway.gateway_context.follower._fetcher._lock
        await site.group.until(lambda: len(lock._waiters or ()) >= 2)
        await gateway.stop()
        # Bytes in flight when the links were closed may still arrive.
        await asyncio.sleep(0.2)
        before = site.link.delivered.total()
        await asyncio.sleep(1.0)
        assert site.link.delivered.total() == before

    run_scenario(tmp_path, scenario)


async def answer_to(site, path):
    """Return the status, body and Retry-After of a request at the last started gateway."""
    address = site.gateways[-1].settings.listen
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}{path}", headers={"Host": HOST}) as response,
    ):
        return response.status, await response.read(), response.headers.get("Retry-After")


def test_new_route_is_a_temporary_error_until_its_configuration_arrives(tmp_path):
    """The response is "behind" until then and 503 without targets after it, never 404."""
    new = "/new/"
    added = pack(Route("new", HOST, new, (Split("plain"),)))

    async def scenario(site):
        await site.start(BASE)
        await site.start_gateway()
        await site.group.until(lambda: site.held() == 1)
        assert (await answer_to(site, new))[0] == 404
        entities = LARGE | {"route/new": added}
        transfer = Transfer(site, 2, entities)
        await site.apply(2, entities)
        await transfer.until_part()
        status, body, retry_after = await answer_to(site, new)
        assert (site.held(), status, body) == (1, 503, b"behind\n")
        assert float(retry_after) > 0
        await transfer.finish()
        status, body, _ = await answer_to(site, new)
        assert status == 503 and body != b"behind\n"
        assert (await answer_to(site, "/never/"))[0] == 404

    run_scenario(tmp_path, scenario)
