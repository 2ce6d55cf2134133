"""Commands for quarantined requests, during which targets have ended."""

import asyncio
import json

import pytest

from traystall.cli.client import BadUsage
from traystall.cli.quarantine import Quarantine
from traystall.rpc.gen.wire import ttypes


class Client:
    """Answer calls of the leader."""

    def __init__(self):
        self.requests = []

    async def call_leader(self, request):
        self.requests.append(request)
        if isinstance(request, ttypes.LiftRequest):
            return ttypes.LiftReply(lifted=True)
        detail = ttypes.SuspectDetail(
            digest=b"\x01\xff",
            customer="ana",
            route="events",
            pool="engine",
            ends=4,
            refused=3599.96,
            evidence="nothing listens at its address",
            age=60.0,
            last_age=2.0,
            lives=["e-1@1000"],
            trials=1,
        )
        return ttypes.StatusReply(suspects=[detail])


def commands(client):
    return Quarantine(lambda action: asyncio.run(action(client)), "token", "json")


def test_list_shows_what_is_held_and_nothing_of_the_request(capsys):
    commands(Client()).list()
    (shown,) = json.loads(capsys.readouterr().out)["suspects"]
    assert shown == {
        "suspect": "01ff",
        "customer": "ana",
        "route": "events",
        "pool": "engine",
        "ends": 4,
        "trials": 1,
        "refused_seconds": 3600.0,
        "evidence": "nothing listens at its address",
        "first_seconds": 60.0,
        "last_seconds": 2.0,
        "lives": ["e-1@1000"],
    }


def test_lift_names_the_suspect_as_it_was_listed(capsys):
    client = Client()
    commands(client).lift("01ff", operator="eva")
    (request,) = client.requests
    assert (request.digest, request.operator, request.token) == (b"\x01\xff", "eva", "token")
    assert json.loads(capsys.readouterr().out) == {"lifted": True}


def test_lift_of_what_is_no_suspect_is_a_clear_error():
    with pytest.raises(BadUsage, match="quarantine list"):
        commands(Client()).lift("not hex")
