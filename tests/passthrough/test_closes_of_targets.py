"""A close in order ends a response without a length, unless the target has ended with it."""

import asyncio

import msgspec
import pytest

from tests.passthrough.test_tunnels import CUT, start_with_tunnels
from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from tests.support.site import play
from traystall.core import clock
from traystall.core.exceptions import RpcUnavailable
from traystall.core.sockets import reset_on_close
from traystall.passthrough.exceptions import ConnectFailed
from traystall.passthrough.exchange import closing
from traystall.passthrough.exchange.connection import connect
from traystall.passthrough.tunnels import dialer
from traystall.registry.models import RegisteredState

# In the middle of a slow response.
END_AFTER_SECONDS = 0.3
# How much later than its last response the end of a target becomes known.
ANNOUNCED_AFTER_SECONDS = 0.1


class Resetting:
    """Accept connections and reset each right away."""

    async def start(self):
        self._server = await asyncio.start_server(self._reset, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    async def _reset(self, reader, writer):
        reset_on_close(writer.transport)
        writer.transport.abort()


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


def report_state(gateway, runner, state, sequence=1):
    report = gateway.context.board.view(runner.identity).report
    report = msgspec.structs.replace(report, state=state, sequence=sequence)
    gateway.context.board.merge(report, clock.monotonic())


@pytest.mark.parametrize("says_so", [False, True])
def test_response_whose_draining_target_is_killed_inside_it_is_not_whole(says_so):
    """Guards against MIXED: a notice before excused the end of a target in the middle of a body."""

    async def scenario():
        runner = await Runner("r").start()
        runner.leaves = says_so
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:

            def drain_and_end():
                report_state(gateway, runner, RegisteredState.DRAINING)
                runner.end()

            return (await call_slow(gateway, runner, drain_and_end))[0]

    assert run(scenario()) == 502


@pytest.mark.parametrize("is_late", [False, True])
def test_last_response_of_a_target_that_announced_its_end_is_whole(is_late):
    """The announcement may reach the gateway just after the target's last response."""

    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:

            async def end_in_order():
                while runner._writers and is_late:
                    await asyncio.sleep(0.001)
                await asyncio.sleep(ANNOUNCED_AFTER_SECONDS if is_late else 0.0)
                report_state(gateway, runner, RegisteredState.GONE, 2)

            def drain():
                report_state(gateway, runner, RegisteredState.DRAINING)
                runner._server.close()
                ending.append(asyncio.create_task(end_in_order()))

            ending = []
            status, _, body = await call_slow(gateway, runner, drain)
        await runner.stop()
        return status, body

    assert run(scenario()) == (200, b"answer to hello")


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
    assert seconds < 0.9 + closing._PROBE_SECONDS + 0.2


def test_probe_of_a_living_target_is_closed_at_once():
    """An idle connection may hold a slot of the target, which other gateways need."""

    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
            for _ in range(5):
                runner.faults.append("unframed")
                assert (await gateway.call("/once/x"))[0] == 200
                await asyncio.sleep(0.05)
                assert not runner._writers
        await runner.stop()
        return runner.connections

    assert run(scenario()) == 10


@pytest.mark.parametrize("limit", [2, 4, 5])
def test_responses_are_not_whole_if_all_connections_to_their_target_were_in_use(limit):
    """Without a free connection the target was not asked, and counted as running."""

    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
            gateway.context.board.view("r").connections._limit = lambda: limit
            runner.faults.extend(["unframed slowly"] * limit)
            calls = asyncio.gather(*(gateway.call("/once/x") for _ in range(limit)))
            await asyncio.sleep(END_AFTER_SECONDS)
            runner.end()
            return [status for status, _, _ in await calls]

    assert run(scenario()) == [502] * limit


def test_whole_response_that_arrives_just_before_its_deadline_is_passed_on(monkeypatch):
    """The check took longer than the request had left, and the whole response became a 504."""

    async def scenario():
        runner = await Runner("r").start()
        async with EmulatedGateway(table(timeout=0.95), [("plain", runner)]) as gateway:
            monkeypatch.setattr(closing, "_SETTLE_SECONDS", 0.5)
            runner.faults.append("unframed slowly")
            status, _, body = await gateway.call("/once/x")
        await runner.stop()
        return status, body

    assert run(scenario()) == (200, b"answer to hello")


def test_refusal_that_says_it_has_not_run_needs_no_check():
    """A target that ended after such a refusal made it doubtful, and no other one was asked."""

    async def scenario():
        runner, other = await Runner("r").start(), await Runner("s").start()

        def refuse(writer, request, *rest, **options):
            lines = [
                "HTTP/1.1 503 Full",
                f"{runner.names.not_run}: 1",
                f"{runner.names.request_id}: {request['headers'][runner.names.request_id.lower()]}",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            runner.end()

        runner.faults.append("not run")
        runner._answer = refuse
        async with EmulatedGateway(table(), [("plain", runner), ("plain", other)]) as gateway:
            statuses = [(await gateway.call("/once/x"))[0] for _ in range(6)]
        await other.stop()
        return statuses

    assert run(scenario()) == [200] * 6


def test_response_is_not_whole_if_its_target_refuses_and_other_gateways_are_silent(
    tmp_path, monkeypatch
):
    async def scenario(site):
        runner = await start_with_tunnels(site)
        site.partition.heal(CUT)
        context = site.gateways[0].gateway_context
        async with asyncio.timeout(10):
            while context.dialer.paths.is_broken(runner.identity):
                await site.call(0, "/once/x")
                context.board.view(runner.identity).connections.close_idle()
                await asyncio.sleep(0.05)

        async def hang(row, request, identity, observer, timeout):
            await asyncio.sleep(timeout)
            raise RpcUnavailable("No reply.")

        runner.faults.append("unframed slowly")
        call = asyncio.create_task(site.call(0, "/once/x"))
        await asyncio.sleep(END_AFTER_SECONDS)
        monkeypatch.setattr(dialer, "open_tunnel", hang)
        runner.end()
        assert (await call)[0] == 502

    play(tmp_path, scenario)


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
        accepting = await Resetting().start()
        async with EmulatedGateway(table(), [("plain", runner)]) as gateway:
            pool = gateway.context.board.view("r").connections
            dial = pool._dial
            dialled = []

            async def reset_once():
                dialled.append(first)
                if len(dialled) > 1:
                    return await dial()
                if first == "reset while it is opened":
                    raise ConnectFailed("The connection was reset.")
                return await connect(accepting.address, 1.0)

            def end():
                monkeypatch.setattr(pool, "_dial", reset_once)
                runner.end()

            return (await call_slow(gateway, runner, end))[0], len(dialled)

    assert run(scenario()) == (502, 2)
