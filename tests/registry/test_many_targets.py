"""A registry sends many targets in several replies, which fit through slow links in time.

Guards against one reply with all targets: if its transfer takes longer than the timeout of a watch,
a starting subscriber requests all targets again forever and never receives any.
"""

import asyncio

import pytest

from traystall.registry.models import TargetReport
from traystall.registry.service import RegistryService
from traystall.rpc.gen.wire.ttypes import RegistryReply, RegistryRequest
from traystall.rpc.messages import encode

# A link of 5 Mbit/s carries this in a tenth of the timeout of a watch.
MAX_REPLY_BYTES = 128 * 1024


async def watch_until_complete(service, change_registry=lambda: None):
    """Watch as a starting follower does; return the received targets and the replies."""
    request = RegistryRequest(sender="w", epoch="", version=0, number=0, ages_told=0.0)
    known, replies = {}, []
    while request.version < service.registry.version:
        reply = await service.watch(request)
        replies.append(reply)
        known.update((record.identity, record) for record in reply.targets)
        request.epoch, request.version = reply.epoch, reply.version
        change_registry()
    return known, replies


def make_registry(targets):
    service = RegistryService(lambda: [])
    for number in range(targets):
        report = TargetReport(f"target-{number:05}/{number:024}", "pool", f"10.0.0.1:{number}")
        service.report(report)
    return service


@pytest.mark.parametrize("targets", [1, 199, 200, 201, 640, 10_000])
def test_all_targets_become_known_in_replies_of_bounded_size(targets):
    async def scenario():
        service = make_registry(targets)
        known, replies = await watch_until_complete(service)
        assert len(known) == targets
        # The first reply also has the ages of all targets, which are due once a second.
        sizes = [len(encode(reply)) for reply in replies]
        assert max(sizes[1:], default=0) <= MAX_REPLY_BYTES
        assert sizes[0] - len(encode_ages(replies[0])) <= MAX_REPLY_BYTES

    asyncio.run(scenario())


def encode_ages(reply):
    return encode(RegistryReply(epoch="", version=0, ages=reply.ages))


def test_changes_between_replies_are_not_missed():
    async def scenario():
        service = make_registry(600)
        changes = iter(range(300))

        def change_registry():
            number = next(changes, None)
            if number is not None and number % 2 == 0:
                service.leave(f"target-{number:05}/{number:024}")
                service.report(TargetReport(f"new-{number}", "pool", "10.0.0.2:1"))

        known, _ = await watch_until_complete(service, change_registry)
        rows = {row.identity: row.report.state.value for row in service.registry.rows()}
        assert {identity: record.state for identity, record in known.items()} == rows

    asyncio.run(scenario())
