"""A close in order ends a response without a length, unless the target has ended with it."""

import asyncio

import pytest

from tests.passthrough.test_tunnels import CUT, start_with_tunnels
from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from tests.support.site import play
from traystall.core import clock
from traystall.passthrough.exceptions import ConnectFailed
from traystall.passthrough.exchange import closing

# In the middle of a slow response.
END_AFTER_SECONDS = 0.3


async def call_slow(gateway, runner, when):
    """Return the response to one slow request, with `when()` called in the middle of it."""
    runner.faults.append("unframed slowly")
    call = asyncio.create_task(gateway.call("/once/x"))
    await asyncio.sleep(END_AFTER_SECONDS)
    when()
    return await call


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_last_response_of_a_leaving_target_is_whole(path):
    """A target that has said that it leaves may end as soon as its last response is written."""

    async def scenario():
        runner = await Runner("r").start()
        runner.leaves = True
        runner.faults.append("unframed")
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
            call = asyncio.create_task(gateway.call(path))
            while not runner.runs:
                await asyncio.sleep(0)
            runner._server.close()
            status, _, body = await call
        await runner.stop()
        return status, body

    assert run(scenario()) == (200, b"answer to hello")


def test_response_whose_target_ends_inside_it_is_not_whole():
    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
            return (await call_slow(gateway, runner, runner.end))[0]

    assert run(scenario()) == 502


def test_response_of_a_target_that_accepts_no_connection_in_time_is_whole(monkeypatch):
    """A full or silent target accepts nothing; that does not show that it has ended."""

    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(timeout=5.0), [("plain", runner)]) as gateway:
            view = gateway.context.board.view("r")

            async def hang():
                await asyncio.sleep(3600)

            def stop_accepting():
                monkeypatch.setattr(view.connections, "_dial", hang)

            began = clock.monotonic()
            status, _, body = await call_slow(gateway, runner, stop_accepting)
        await runner.stop()
        return status, body, clock.monotonic() - began

    status, body, seconds = run(scenario())
    assert (status, body) == (200, b"answer to hello")
    assert seconds < 0.9 + closing._CONNECT_SECONDS + 0.2


def test_connection_that_proves_a_target_alive_serves_the_next_request():
    """The number of connections to a target does not grow by the proof."""

    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
            for _ in range(5):
                runner.faults.append("unframed")
                assert (await gateway.call("/once/x"))[0] == 200
                assert (await gateway.call("/once/x"))[0] == 200
        await runner.stop()
        return runner.connections

    assert run(scenario()) == 6


def test_response_of_a_target_behind_a_tunnel_that_ends_inside_it_is_not_whole(tmp_path):
    async def scenario(site):
        runner = await start_with_tunnels(site)
        runner.faults.append("unframed slowly")
        call = asyncio.create_task(site.call(0, "/once/x"))
        await asyncio.sleep(END_AFTER_SECONDS)
        runner.end()
        assert (await call)[0] == 502

    play(tmp_path, scenario)


def test_response_is_whole_if_only_a_partition_refuses_new_connections(tmp_path):
    """The connection lives on; another gateway tells that the target runs."""

    async def scenario(site):
        runner = await start_with_tunnels(site)
        site.partition.heal(CUT)
        context = site.gateways[0].gateway_context
        async with asyncio.timeout(10):
            while context.dialer.paths.is_broken(runner.identity):
                await site.call(0, "/once/x")
                context.board.view(runner.identity).connections.close_idle()
                await asyncio.sleep(0.05)
        runner.faults.append("unframed slowly")
        call = asyncio.create_task(site.call(0, "/once/x"))
        await asyncio.sleep(END_AFTER_SECONDS)
        site.partition.cut(CUT, [runner.address], "refuse")
        assert await call == (200, b"answer to hello")

    play(tmp_path, scenario)


@pytest.mark.parametrize("first", ["reset while it is opened", "reset right after"])
def test_connection_that_a_closing_socket_resets_does_not_show_that_a_target_runs(
    monkeypatch, first
):
    """A listening socket that closes resets what it has not accepted."""

    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
            pool = gateway.context.board.view("r").connections
            replaced = pool.replace_closed
            calls = []

            async def replace_closed(seconds):
                calls.append(seconds)
                if len(calls) > 1:
                    return await replaced(seconds)
                if first == "reset while it is opened":
                    raise ConnectFailed("The connection was reset.")
                return False

            monkeypatch.setattr(pool, "replace_closed", replace_closed)
            return (await call_slow(gateway, runner, runner.end))[0]

    assert run(scenario()) == 502
