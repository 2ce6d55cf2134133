"""The platform's HTTP interface of a control daemon: evacuation orders and heartbeats."""

import asyncio
import contextlib

import aiohttp
import pytest
from traystall_platform.control_api import ControlApi

from traystall.control.evacuation import UNKNOWN_DATA_CENTRE
from traystall.control.exceptions import DepartureNotKept, InvalidTarget
from traystall.core.exceptions import RpcRefused, RpcTimeout
from traystall.http.server import HttpServer
from traystall.rpc.gen.wire.ttypes import Evacuated, EvacuateReply


class Leader:
    """Records orders, or raises the given error."""

    def __init__(self, error=None):
        self.orders = []
        self._error = error

    async def call(self, request, timeout):
        if self._error is not None:
            raise self._error
        self.orders.append((request.data_centre, request.evacuated))
        return EvacuateReply(changed=True, evacuated=Evacuated(version=1, data_centres=["north"]))


@contextlib.asynccontextmanager
async def start_api(error=None):
    control = type("Control", (), {})()
    control.leader = Leader(error)
    server = HttpServer(ControlApi(control).router().handle)
    await server.listen("127.0.0.1:0")
    try:
        yield control.leader, server.port
    finally:
        await server.close(0.1)


async def send(port, method, zone="north"):
    url = f"http://127.0.0.1:{port}/traystall/evacuate/{zone}"
    async with aiohttp.ClientSession() as session, session.request(method, url) as response:
        return response.status


def test_orders_are_passed_to_the_leader():
    async def scenario():
        async with start_api() as (leader, port):
            assert await send(port, "POST") == 200
            assert await send(port, "DELETE") == 200
            assert leader.orders == [("north", True), ("north", False)]

    asyncio.run(scenario())


def test_unknown_zone_is_404_and_unknown_outcome_is_503():
    async def scenario():
        for error, status in (
            (RpcRefused(UNKNOWN_DATA_CENTRE, "no such"), 404),
            (RpcRefused("in-doubt", "no majority"), 503),
            (RpcTimeout("late"), 503),
        ):
            async with start_api(error) as (_, port):
                assert await send(port, "POST", "nowhere") == status

    asyncio.run(scenario())


def test_order_of_a_disconnected_client_is_dropped_after_a_freeze():
    """The operator may have sent the order to another daemon and revoked it afterwards."""

    async def scenario():
        async with start_api() as (leader, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"POST /traystall/evacuate/north HTTP/1.1\r\nHost: c\r\n\r\n")
            writer.close()
            await asyncio.sleep(0.1)
            assert leader.orders == []
            assert await send(port, "POST") == 200

    asyncio.run(scenario())


class Registrations:
    """Records what a control daemon accepts of targets, or raises the given error."""

    def __init__(self, error=None):
        self.reports = []
        self.left = []
        self._error = error

    async def report(self, report):
        self._raise_error()
        self.reports.append(report)

    async def leave(self, identity):
        self._raise_error()
        self.left.append(identity)

    def _raise_error(self):
        if self._error is not None:
            raise self._error


async def send_heartbeat(fields, error=None):
    """Send a heartbeat with extra `fields`; return the status and the recorded reports."""
    control = type("Control", (), {})()
    control.registrations = Registrations(error)
    server = HttpServer(ControlApi(control).router().handle)
    await server.listen("127.0.0.1:0")
    body = {"service": "pool", "addr": "10.0.0.1:80", "state": "ready", "seq": 1} | fields
    url = f"http://127.0.0.1:{server.port}/traystall/instances/i-1"
    try:
        async with aiohttp.ClientSession() as session, session.put(url, json=body) as response:
            return response.status, control.registrations.reports
    finally:
        await server.close(0.1)


def test_heartbeat_reports_the_start_time_of_its_incarnation():
    status, (report,) = asyncio.run(send_heartbeat({"born": 1786675920632}))
    assert (status, report.started, report.life) == (200, 1786675920632, "i-1@1786675920632")
    status, (report,) = asyncio.run(send_heartbeat({}))
    assert (status, report.started, report.life) == (200, 0, "i-1")


@pytest.mark.parametrize("born", ["1786675920632", 1.5, -1, 2**63, True, None, [], {}])
def test_heartbeat_with_an_invalid_start_time_is_rejected(born):
    assert asyncio.run(send_heartbeat({"born": born})) == (400, [])


async def send_end(error=None):
    """Send the end of a runner; return the status and the recorded ends."""
    control = type("Control", (), {})()
    control.registrations = Registrations(error)
    server = HttpServer(ControlApi(control).router().handle)
    await server.listen("127.0.0.1:0")
    url = f"http://127.0.0.1:{server.port}/traystall/instances/i-1"
    try:
        async with aiohttp.ClientSession() as session, session.delete(url) as response:
            return response.status, control.registrations.left
    finally:
        await server.close(0.1)


def test_end_is_acknowledged_only_if_it_is_kept():
    """A runner that gets no 2xx asks another daemon, so 503 must not stand for a kept end."""
    assert asyncio.run(send_end()) == (200, ["i-1"])
    assert asyncio.run(send_end(DepartureNotKept("no majority"))) == (503, [])
    draining = {"state": "draining"}
    assert asyncio.run(send_heartbeat(draining, DepartureNotKept("no majority"))) == (503, [])


def test_runner_that_cannot_be_registered_is_400():
    assert asyncio.run(send_heartbeat({}, InvalidTarget("too long"))) == (400, [])
    assert asyncio.run(send_end(InvalidTarget("too long"))) == (400, [])
