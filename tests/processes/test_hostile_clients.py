"""Clients outside the limits: the processes live, within their machine, and serve other callers.

Each case sends what a client must not send, from a crowd that opens its connections again as soon
as they are closed. Checked are the life of the process, its peak of memory with the bytes it has
not read, its sockets, and one ordinary request while the crowd is there and one afterwards.
"""

import asyncio

import pytest

from tests.support import hostile_clients as members
from tests.support.hostile_clients import Crowd
from tests.support.platform_site import (
    CONTROL_PORT,
    FRONT_PORT,
    HEALTH_PORT,
    LINK_PORT,
    MEGABYTE,
    READY_PORT,
    RESERVED_DESCRIPTORS,
    Limits,
    PlatformSite,
)


def _check(machine, limits):
    assert machine.is_alive, machine.log()[-2000:]
    assert machine.peak_bytes() <= limits.memory_mb * MEGABYTE
    assert machine.sockets() <= limits.max_fds - RESERVED_DESCRIPTORS


async def _run(folder, member, count, limits, port=FRONT_PORT, reads=True):
    async with PlatformSite(folder, limits) as site:
        for machine in (site.gateway, site.control):
            _check(machine, limits)
        attacked = site.control if port == CONTROL_PORT else site.gateway
        async with Crowd(attacked.address(port), count, member, reads):
            during = (await site.ask())[0], await site.read_configuration(), await site.is_ready()
            _check(attacked, limits)
        after = await site.ask()
        _check(attacked, limits)
        assert during == (200, 200, True)
        assert after == (200, b"answer to x")


@pytest.mark.parametrize(
    ("member", "count"),
    [
        (members.header_lines_without_end, 60),
        (members.header_lines_in_one_read, 60),
        (members.one_header_without_end, 60),
        (members.blank_lines_without_end, 60),
        (members.chunked_just_short_of_the_end, 60),
        (members.announced_and_one_byte_short, 60),
        (members.requests_behind_one_another, 50),
        (members.chunked_without_end, 60),
        (members.announced_far_over_the_limit, 60),
        (members.small_chunks_short_of_the_end, 20),
    ],
)
def test_gateway_withstands(tmp_path, member, count):
    asyncio.run(_run(tmp_path, member, count, Limits()))


@pytest.mark.parametrize(
    ("member", "count"),
    [
        (members.whole_and_answers_not_read, 60),
        (members.small_requests_without_reading, 60),
        (members.small_requests_for_large_answers, 60),
    ],
)
def test_gateway_withstands_clients_that_read_nothing(tmp_path, member, count):
    asyncio.run(_run(tmp_path, member, count, Limits(), reads=False))


@pytest.mark.parametrize(
    "member", [members.nothing, members.heads_that_never_end, members.bodies_that_stop]
)
def test_gateway_has_descriptors_left(tmp_path, member):
    limits = Limits(max_fds=400, idle_ms=60_000, head_ms=60_000, timeout_ms=60_000)
    asyncio.run(_run(tmp_path, member, 600, limits))


@pytest.mark.parametrize("port", [READY_PORT, HEALTH_PORT, LINK_PORT])
def test_gateway_has_descriptors_left_beside_a_crowd_at_another_address(tmp_path, port):
    limits = Limits(max_fds=400, idle_ms=60_000, head_ms=60_000, timeout_ms=60_000)
    asyncio.run(_run(tmp_path, members.nothing, 600, limits, port))


@pytest.mark.parametrize("port", [READY_PORT, HEALTH_PORT])
@pytest.mark.parametrize(
    "member", [members.header_lines_without_end, members.announced_far_over_the_limit]
)
def test_gateway_withstands_at_its_other_addresses(tmp_path, member, port):
    asyncio.run(_run(tmp_path, member, 60, Limits(), port))


def test_gateway_withstands_first_frames_of_links(tmp_path):
    asyncio.run(_run(tmp_path, members.first_frames_of_links, 10, Limits(), LINK_PORT))


@pytest.mark.parametrize(
    ("member", "count"),
    [
        (members.configurations_just_short_of_the_end, 10),
        (members.header_lines_without_end, 60),
        (members.blank_lines_without_end, 60),
    ],
)
def test_control_daemon_withstands(tmp_path, member, count):
    asyncio.run(_run(tmp_path, member, count, Limits(memory_mb=256), CONTROL_PORT))


@pytest.mark.parametrize("member", [members.nothing, members.bodies_that_stop])
def test_control_daemon_has_descriptors_left(tmp_path, member):
    limits = Limits(memory_mb=256, max_fds=400)
    asyncio.run(_run(tmp_path, member, 600, limits, CONTROL_PORT))


def test_bodies_that_stop_are_ended(tmp_path):
    """The connections go once nobody can wait for the answers any more."""

    async def scenario():
        limits = Limits(idle_ms=2_000, timeout_ms=2_000)
        async with PlatformSite(tmp_path, limits) as site:
            before = site.gateway.sockets()
            crowd = Crowd(site.gateway.address(FRONT_PORT), 30, members.bodies_that_stop)
            async with crowd:
                async with asyncio.timeout(60):
                    while crowd.closed < 30:
                        await asyncio.sleep(0.1)
            assert (await site.ask())[0] == 200
            assert site.gateway.sockets() <= before + 30
            _check(site.gateway, limits)

    asyncio.run(scenario())


def test_body_over_the_limit_is_refused_by_its_length(tmp_path):
    async def scenario():
        async with PlatformSite(tmp_path, Limits()) as site:
            reader, writer = await asyncio.open_connection(site.gateway.ip, FRONT_PORT)
            writer.write(members.with_length(members.BODY_BYTES + 1))
            async with asyncio.timeout(6):
                assert b" 413 " in await reader.readline()
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("chunk_size", [0, 1, 128, 2**16])
def test_body_of_the_limit_to_the_byte_is_served(tmp_path, chunk_size):
    """Zero is a body with a length."""

    async def scenario():
        async with PlatformSite(tmp_path, Limits()) as site:
            reader, writer = await asyncio.open_connection(site.gateway.ip, FRONT_PORT)
            if chunk_size:
                writer.write(
                    members.CHUNKED + members.chunks(members.BODY_BYTES, chunk_size) + b"0\r\n\r\n"
                )
            else:
                writer.write(members.WHOLE)
            async with asyncio.timeout(60):
                assert b" 200 " in await reader.readline()
            writer.close()
            assert len(site.target.runs[-1]["body"]) == members.BODY_BYTES

    asyncio.run(scenario())


def test_head_of_the_limit_to_the_byte_is_served(tmp_path):
    async def scenario():
        async with PlatformSite(tmp_path, Limits()) as site:
            for filler in (b"X-Fill: %b\r\n", b"%b"):
                reader, writer = await asyncio.open_connection(site.gateway.ip, FRONT_PORT)
                head = members.with_length(1)[:-2]
                room = 16_384 - len(head) - 2 - len(filler % b"")
                many = (b"a:\r\n" * (room // 4))[: room - room % 4]
                padding = b"y" * room if filler.startswith(b"X") else many
                writer.write(head + filler % padding + b"\r\nx")
                async with asyncio.timeout(6):
                    assert b" 200 " in await reader.readline()
                writer.close()

    asyncio.run(scenario())
