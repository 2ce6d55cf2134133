"""The log says through which gateway a response came and what ended it."""

import asyncio
import logging

import pytest

from tests.passthrough.test_tunnels import start_with_tunnels
from tests.support.site import play
from traystall.core.logs import DECISION_LOGGER


def last_record(caplog, message):
    return [record for record in caplog.records if record.message == message][-1]


@pytest.mark.parametrize(
    ("fault", "ended_by"),
    [("none", "length"), ("unframed", "close"), ("cut in the body", "lost")],
)
def test_attempt_names_the_end_of_a_response_and_the_gateway_of_its_tunnel(
    tmp_path, caplog, fault, ended_by
):
    caplog.set_level(logging.INFO, logger=DECISION_LOGGER)

    async def scenario(site):
        runner = await start_with_tunnels(site)
        runner.faults.append(fault)
        await site.call(0, "/once/x")
        attempt = last_record(caplog, "attempt")
        assert attempt.via == site.gateways[1].gateway_context.identity
        assert attempt.ended_by == ended_by

    play(tmp_path, scenario)


def test_direct_response_names_no_gateway(tmp_path, caplog):
    caplog.set_level(logging.INFO, logger=DECISION_LOGGER)

    async def scenario(site):
        await start_with_tunnels(site)
        await site.call(1, "/once/x")
        assert last_record(caplog, "attempt").via is None

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    ("fault", "ended_by"), [("unframed", "target-closed"), ("unframed and reset", "target-lost")]
)
def test_gateway_of_a_tunnel_names_what_ended_it(tmp_path, caplog, fault, ended_by):
    caplog.set_level(logging.INFO, logger=DECISION_LOGGER)

    async def scenario(site):
        runner = await start_with_tunnels(site)
        runner.faults.append(fault)
        await site.call(0, "/once/x")
        async with asyncio.timeout(5):
            # The response is complete before the gateway of the tunnel has closed it.
            while not any(record.message == "tunnel-closed" for record in caplog.records):
                await asyncio.sleep(0.01)
        closed = last_record(caplog, "tunnel-closed")
        assert (closed.target, closed.ended_by) == (runner.identity, ended_by)

    play(tmp_path, scenario)
