"""Ages of targets: told as often while targets change as while nothing is new, and no more."""

import asyncio

import pytest

from benchmarks.registry import measure
from traystall.core import clock
from traystall.registry.models import TargetReport
from traystall.registry.service import AGES_SECONDS, WATCH_HOLD_SECONDS, RegistryService
from traystall.rpc.gen.wire.ttypes import RegistryRequest

# What a machine busy with other tests may add, in seconds.
_SLACK = 0.15


def test_restarts_of_targets_do_not_make_all_ages_be_told_again():
    """Told with each reply, one restart each 0.4 s took seven times the bytes at rest."""
    at_rest, restarting = asyncio.run(measure(targets=60, daemons=3, seconds=4.0))
    assert restarting["replies"] > 3 * at_rest["replies"]
    assert 0 < restarting["KB of ages"] < 1.5 * at_rest["KB of ages"]
    # A target is taken for silent after 4 s without a sign of it.
    assert restarting["greatest age, s"] < 2.5


def play(changes, **fields):
    """Watch a registry of one target; return the reply and how long it took, in seconds.

    If there are `changes`, another target comes a tenth of the hold after the watch began.
    """

    async def scene():
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

    return asyncio.run(scene())


@pytest.mark.parametrize("told", [None, AGES_SECONDS * 0.95])
def test_change_brings_ages_to_who_does_not_know_them_or_is_due(told):
    reply, seconds = play(True, ages_told=told)
    assert "t" in reply.ages and seconds < WATCH_HOLD_SECONDS / 10 + _SLACK


def test_change_is_told_at_once_without_ages_to_who_was_told_lately():
    reply, seconds = play(True, ages_told=0.1)
    assert reply.ages is None and seconds < WATCH_HOLD_SECONDS / 10 + _SLACK
    assert [record.identity for record in reply.targets] == ["u"]


@pytest.mark.parametrize(
    ("told", "expected"),
    [
        (None, WATCH_HOLD_SECONDS),
        (0.0, AGES_SECONDS),
        (0.6, AGES_SECONDS - 0.6),
        (7.0, 0.0),
        (-7.0, 1.0),
    ],
)
def test_watch_is_held_until_ages_are_due(told, expected):
    reply, seconds = play(False, ages_told=told)
    assert set(reply.ages) == {"t"}
    assert expected <= seconds + 0.001 and seconds < expected + _SLACK


def test_registry_of_another_life_tells_its_ages_at_once():
    reply, seconds = play(False, epoch="of another life", ages_told=0.1)
    assert set(reply.ages) == {"t"} and seconds < _SLACK
