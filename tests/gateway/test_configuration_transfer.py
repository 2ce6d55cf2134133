"""How much a gateway takes from a narrow link for a large configuration, and for how long.

A configuration of 314 KB was acknowledged, yet stayed away from gateways for 13 s on links of
5 Mbit/s. Each gateway asked several control daemons at once for the whole of it, with a time-out
shorter than the transfer took beside other traffic. It threw the late replies away and began anew,
so the links were full of copies that nobody read, and none of them came into force.

The bounds here hold on any link: a configuration costs little more than its size once, and is in
force about as soon as the link can carry it. Each gateway has real control daemons and a link on
which the transfer takes longer than one call may. Sizes are bytes and times seconds of the link's
own clock.
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
# What watches and replies without configuration may take, in bytes a second.
TALK_BYTES_PER_SECOND = 6_000
LARGE_ROUTES = 55
SMALL_ROUTES = 1
PATH_CHARACTERS = 4_000
# Characters that may stand in a path and don't repeat in any order: 6.3 of 8 bits each.
CHARACTERS = string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@"
# The part of a configuration that has come when something happens to the transfer.
PART_BEFORE = 0.4
STILL_SECONDS = 2.0
# What may come for one whole transfer, in sizes of the configuration: the rest is overhead, or was
# on its way when the transfer was interrupted.
WHOLE_SIZES = 1.3
WHOLE_SIZES_AFTER_INTERRUPTION = 1.2
# How much longer than its bytes need a transfer may take, as a factor and in seconds.
SLOWNESS = 1.2
NOTICE_SECONDS = 2.0
# What may pass besides until a gateway goes on after an interruption, in seconds.
INTERRUPTION_SECONDS = 4.0
# The longest a case may take on a busy machine, in seconds.
WALL_SECONDS = 60.0


def routes(seed, count):
    """Return entities of so many routes that can hardly be compressed."""
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
    """Return the bytes of what entities have more than the base."""
    return sum(len(key) + len(value) for key, value in entities.items() if key not in BASE)


class Site:
    """Hold three control daemons, and gateways behind one narrow link."""

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
        """Start a gateway that knows the control daemons by their relays."""
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
        """Return the number of the revision in force at the gateway that started last."""
        return self.gateways[-1].gateway_context.follower.held.number

    async def stop(self):
        for gateway in self.gateways:
            await gateway.stop()
        await self.group.stop_all()
        await self.link.close()


class Transfer:
    """Measure from now on what a revision takes to come into force at the last gateway."""

    def __init__(self, site, number, entities):
        self._site = site
        self._number = number
        self._size = size_of(entities)
        self._began = site.link.seconds
        self._before = dict(site.link.delivered)
        self._bytes = WHOLE_SIZES * self._size
        self._spare_seconds = NOTICE_SECONDS

    def delivered(self):
        """Return the bytes delivered so far, by the daemon that sent them."""
        counts = self._site.link.delivered
        return {name: counts[name] - self._before.get(name, 0) for name in counts}

    def seconds(self):
        """Return the seconds of the link's clock so far."""
        return self._site.link.seconds - self._began

    async def until_part(self):
        """Return the daemon that most came from, once a part of the revision has come."""
        while sum(self.delivered().values()) < PART_BEFORE * self._size:
            assert self.seconds() < self._limit(), "Too little was delivered."
            await asyncio.sleep(0.01)
        return max(self.delivered(), key=self.delivered().get)

    def was_interrupted(self, seconds=0.0):
        """Allow for a new beginning now, after an interruption that lasted so many seconds."""
        came = sum(self.delivered().values())
        self._bytes = came + WHOLE_SIZES_AFTER_INTERRUPTION * self._size
        self._spare_seconds += seconds + INTERRUPTION_SECONDS

    async def finish(self):
        """Return once the revision is in force; fail if it takes too long or too much."""
        limit = self._limit()
        while self._site.held() < self._number and self.seconds() <= limit:
            await asyncio.sleep(0.01)
        seconds = self.seconds()
        came = self.delivered()
        most = self._bytes + TALK_BYTES_PER_SECOND * seconds
        told = (
            f"revision {self._site.held()} is in force after {seconds:.1f} s (limit {limit:.1f} s);"
            f" {sum(came.values())} bytes came (limit {most:.0f}) for {self._size}: {came}"
        )
        print(told)
        assert self._site.held() >= self._number, told
        assert sum(came.values()) <= most, told

    def _limit(self):
        """Return within how many seconds the revision must be in force."""
        width = self._site.link.free_bytes_per_second
        return SLOWNESS * self._bytes / width + self._spare_seconds


def play(tmp_path, story):
    """Run a story on a site of its own."""

    async def bounded():
        site = Site(tmp_path)
        try:
            async with asyncio.timeout(WALL_SECONDS):
                await story(site)
        finally:
            await site.stop()

    asyncio.run(bounded())


async def change_running_gateway(site, number=2, entities=LARGE):
    """Let a gateway hold the base, then apply a large change.

    Return the measured transfer of the revision `number`, which may be a later one.
    """
    await site.start(BASE)
    await site.start_gateway()
    await site.group.until(lambda: site.held() == 1)
    transfer = Transfer(site, number, entities)
    await site.apply(2, LARGE)
    return transfer


def test_large_change_reaches_a_running_gateway(tmp_path):
    async def story(site):
        transfer = await change_running_gateway(site)
        await transfer.finish()

    play(tmp_path, story)


def test_large_configuration_reaches_a_gateway_that_starts(tmp_path):
    async def story(site):
        await site.start(LARGE)
        transfer = Transfer(site, 1, LARGE)
        await site.start_gateway()
        await transfer.finish()

    play(tmp_path, story)


async def fall_silent(site, name):
    site.link.silence(name)


async def stop(site, name):
    site.link.reset(name)
    await site.group.stop(name)


@pytest.mark.parametrize("lose", [fall_silent, stop])
def test_large_change_goes_on_after_its_source_is_lost(tmp_path, lose):
    async def story(site):
        transfer = await change_running_gateway(site)
        await lose(site, await transfer.until_part())
        transfer.was_interrupted()
        await transfer.finish()

    play(tmp_path, story)


def test_small_change_during_a_large_one_is_in_force_as_well(tmp_path):
    async def story(site):
        transfer = await change_running_gateway(site, 3, LARGER)
        await transfer.until_part()
        await site.apply(3, LARGER)
        transfer.was_interrupted()
        await transfer.finish()

    play(tmp_path, story)


def test_large_change_survives_a_link_that_stands_still(tmp_path):
    async def story(site):
        transfer = await change_running_gateway(site)
        await transfer.until_part()
        site.link.stand_still()
        await asyncio.sleep(STILL_SECONDS)
        site.link.go_on()
        transfer.was_interrupted(STILL_SECONDS)
        await transfer.finish()

    play(tmp_path, story)


def test_gateway_that_restarts_leaves_no_copies_on_the_link(tmp_path):
    async def story(site):
        transfer = await change_running_gateway(site)
        await transfer.until_part()
        await site.gateways.pop().stop()
        await site.start_gateway()
        transfer.was_interrupted()
        await transfer.finish()

    play(tmp_path, story)


def test_transfer_that_a_registry_told_of_ends_with_its_gateway(tmp_path):
    """Left running, it opens its link again and takes the width that others need."""

    async def story(site):
        transfer = await change_running_gateway(site)
        await transfer.until_part()
        gateway = site.gateways.pop()
        for address in site.group.addresses.values():
            gateway._fetch_configuration(2, address)
        # Until the offers have come, behind which these wait for the transfer that runs.
        lock = gateway.gateway_context.follower._fetcher._lock
        await site.group.until(lambda: len(lock._waiters or ()) >= 2)
        await gateway.stop()
        # What was on its way when the links were closed.
        await asyncio.sleep(0.2)
        before = site.link.delivered.total()
        await asyncio.sleep(1.0)
        assert site.link.delivered.total() == before

    play(tmp_path, story)


async def answer_to(site, path):
    """Return status, body and Retry-After of a request at the gateway that started last."""
    address = site.gateways[-1].settings.listen
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}{path}", headers={"Host": HOST}) as response,
    ):
        return response.status, await response.read(), response.headers.get("Retry-After")


def test_new_route_is_put_off_and_not_denied_until_its_configuration_has_come(tmp_path):
    """Meanwhile routes in force are served as before, here by the word that no target is there."""
    new = "/new/"
    added = pack(Route("new", HOST, new, (Split("plain"),)))

    async def story(site):
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

    play(tmp_path, story)
