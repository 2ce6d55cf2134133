"""Commands that show and lift the backoff periods that targets requested from a gateway."""

import asyncio
import json

import pytest

from tests.support.emulator.gateway import EmulatedGateway, table
from tests.support.emulator.runner import Runner
from traystall.cli.client import Refused, Unreachable
from traystall.cli.rests import Limits, Rests
from traystall.core import clock
from traystall.http.router import Router
from traystall.http.server import HttpServer
from traystall.passthrough.health.pages import BackoffPages, LimitPages
from traystall.systems.target_limits import AnnouncedLimit

SECRET = "the secret of the cluster"


def run_scenario(scenario, secret=SECRET):
    """Run `scenario(gateway, address)` on a gateway with two targets, one of them backing off."""

    async def run_with_timeout():
        targets = [("plain", await Runner(f"t-{number}").start()) for number in range(2)]
        async with asyncio.timeout(20), EmulatedGateway(table(), targets) as gateway:
            availability = gateway.context.board.view("t-0").availability
            availability.request_backoff(30.0, "r-asked", clock.monotonic())
            router = Router()
            BackoffPages(gateway.context.board, secret).add_to(router)
            LimitPages(gateway.context.board, gateway.context.permits).add_to(router)
            server = HttpServer(router.handle)
            await server.listen("127.0.0.1:0")
            await scenario(gateway, f"127.0.0.1:{server.port}")
            await server.close(0.0)
        for _, target in targets:
            await target.stop()

    asyncio.run(run_with_timeout())


def test_list_shows_backoff_periods_and_the_requests_that_set_them(capsys):
    async def scenario(gateway, address):
        leaving = gateway.context.board.view("t-1").availability
        leaving.leaves = True
        await asyncio.to_thread(Rests("", "json").list, address)
        rests, leaves = json.loads(capsys.readouterr().out)["targets"]
        assert 29 < rests.pop("rests_seconds") <= 30
        assert rests == {
            "target": "t-0",
            "life": "t-0",
            "pool": "plain",
            "data_centre": "here",
            "leaves": False,
            "request": "r-asked",
        }
        assert (leaves["target"], leaves["leaves"], leaves["rests_seconds"]) == ("t-1", True, 0.0)

    run_scenario(scenario)


def test_list_shows_rate_limits_their_source_and_granted_permits(capsys):
    async def scenario(gateway, address):
        permits, now = gateway.context.permits, clock.monotonic()
        permits.observe_answer("t-1", AnnouncedLimit(2.5), now, "r-named")
        await permits.take("t-1", "here")
        await asyncio.to_thread(Limits("", "json").list, address)
        (limited,) = json.loads(capsys.readouterr().out)["targets"]
        assert 0 <= limited.pop("limited_seconds") < 5
        assert limited == {
            "target": "t-1",
            "life": "t-1",
            "pool": "plain",
            "data_centre": "here",
            "per_second": 2.5,
            "told_by": "r-named",
            "closed_seconds": 0.0,
            "lenders": ["gateway-1"],
            "lent_here": 1,
        }

    run_scenario(scenario)


@pytest.mark.parametrize("secret", [SECRET, ""])
def test_lift_ends_the_backoff_of_a_target(capsys, secret):
    async def scenario(gateway, address):
        now = clock.monotonic()
        assert not gateway.context.board.view("t-0").availability.may_send_work(now)
        await asyncio.to_thread(Rests(secret, "json").lift, address, "t-0")
        assert json.loads(capsys.readouterr().out) == {"lifted": True}
        assert gateway.context.board.view("t-0").availability.may_send_work(now)
        await asyncio.to_thread(Rests(secret, "json").lift, address, "t-0")
        assert json.loads(capsys.readouterr().out) == {"lifted": False}

    run_scenario(scenario, secret)


def test_lift_without_the_secret_is_refused():
    async def scenario(gateway, address):
        for secret in ("", "another"):
            with pytest.raises(Refused, match="forbidden"):
                await asyncio.to_thread(Rests(secret, "json").lift, address, "t-0")
        assert gateway.context.board.view("t-0").availability.is_backing_off(clock.monotonic())

    run_scenario(scenario)


def test_unknown_target_and_unreachable_gateway_raise_specific_errors():
    async def scenario(gateway, address):
        with pytest.raises(Refused, match="no-target"):
            await asyncio.to_thread(Rests(SECRET, "json").lift, address, "t-9")

    run_scenario(scenario)
    with pytest.raises(Unreachable):
        Rests(SECRET, "json").list("127.0.0.1:1")
