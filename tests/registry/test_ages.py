"""Ages of targets are sent at the same interval with and without changes of targets."""

import asyncio

import pytest

from benchmarks.registry import measure
from traystall.core import clock
from traystall.registry.models import TargetReport
from traystall.registry.service import AGES_INTERVAL_SECONDS, WATCH_HOLD_SECONDS, RegistryService
from traystall.rpc.gen.wire.ttypes import RegistryRequest

# Delay that other tests on the same machine may add.
_SLACK_SECONDS = 0.15


def test_restarts_of_targets_do_not_resend_all_ages():
    """With ages in each reply, one restart every 0.4 s took seven times the bytes at rest."""
    at_rest, restarting = asyncio.run(measure(targets=60, daemons=3, seconds=4.0))
    assert restarting["replies"] > 3 * at_rest["replies"]
    assert 0 < restarting["KB of ages"] < 1.5 * at_rest["KB of ages"]
    # A target counts as silent after 4 s without a report.
    assert restarting["greatest age, s"] < 2.5


def watch_one_target(changes, **fields):
    """Watch a registry of one target; return the reply and its delay in seconds.

    With `changes`, another target registers after a tenth of the hold time.
    """

    async def scenario():
        service = RegistryService(lambda: [])
        service.report(TargetReport("t", "p", "x:1"))
        request = RegistryRequest(
            sender="w", epoch=service.epoch, version=service.registry.version, number=0
        )
        for name, value in fields.items():
            setattr(request, name, value)
        began = clock.monotonic()
        watching = asyncio.create_task(service.watch(request))
        if changes:
            await asyncio.sleep(WATCH_HOLD_SECONDS / 10)
            service.report(TargetReport("u", "p", "x:2"))
        return await watching, clock.monotonic() - began

    return asyncio.run(scenario())


@pytest.mark.parametrize("ages_age", [None, AGES_INTERVAL_SECONDS * 0.95])
def test_change_is_sent_with_ages_that_are_unknown_or_due(ages_age):
    reply, seconds = watch_one_target(True, ages_told=ages_age)
    assert "t" in reply.ages and seconds < WATCH_HOLD_SECONDS / 10 + _SLACK_SECONDS


def test_change_is_sent_at_once_without_recent_ages():
    reply, seconds = watch_one_target(True, ages_told=0.1)
    assert reply.ages is None and seconds < WATCH_HOLD_SECONDS / 10 + _SLACK_SECONDS
    assert [record.identity for record in reply.targets] == ["u"]


@pytest.mark.parametrize(
    ("ages_age", "expected"),
    [
        (None, WATCH_HOLD_SECONDS),
        (0.0, AGES_INTERVAL_SECONDS),
        (0.6, AGES_INTERVAL_SECONDS - 0.6),
        (7.0, 0.0),
        (-7.0, 1.0),
    ],
)
def test_watch_is_held_until_ages_are_due(ages_age, expected):
    reply, seconds = watch_one_target(False, ages_told=ages_age)
    assert set(reply.ages) == {"t"}
    assert expected <= seconds + 0.001 and seconds < expected + _SLACK_SECONDS


def test_registry_of_another_incarnation_sends_its_ages_at_once():
    reply, seconds = watch_one_target(False, epoch="of another incarnation", ages_told=0.1)
    assert set(reply.ages) == {"t"} and seconds < _SLACK_SECONDS
