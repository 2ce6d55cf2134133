"""A registry tells many targets in parts that its narrow links carry in time.

Guards against all targets in one reply: where that takes longer than a watch waits, a watcher that
starts asked for all of them again for ever and knew none.
"""

import asyncio

import pytest

from traystall.registry.models import TargetReport
from traystall.registry.service import RegistryService
from traystall.rpc.gen.wire.ttypes import RegistryReply, RegistryRequest
from traystall.rpc.messages import encode

# What a link of 5 Mbit/s carries in a tenth of the time that a watch waits for a reply.
MOST_BYTES = 128 * 1024


async def watch_until_known(service, between=lambda: None):
    """Watch as a follower that starts does; return what is known of targets, and the replies."""
    request = RegistryRequest(sender="w", epoch="", version=0, number=0, ages_told=0.0)
    known, replies = {}, []
    while request.version < service.registry.version:
        reply = await service.watch(request)
        replies.append(reply)
        known.update((record.identity, record) for record in reply.targets)
        request.epoch, request.version = reply.epoch, reply.version
        between()
    return known, replies


def registry_of(targets):
    service = RegistryService(lambda: [])
    for number in range(targets):
        report = TargetReport(f"target-{number:05}/{number:024}", "pool", f"10.0.0.1:{number}")
        service.report(report)
    return service


@pytest.mark.parametrize("targets", [1, 199, 200, 201, 640, 10_000])
def test_all_targets_become_known_in_replies_of_bounded_size(targets):
    async def scene():
        service = registry_of(targets)
        known, replies = await watch_until_known(service)
        assert len(known) == targets
        # The first brings the ages of all as well, which a watcher asks for once a second.
        sizes = [len(encode(reply)) for reply in replies]
        assert max(sizes[1:], default=0) <= MOST_BYTES
        assert sizes[0] - len(encode_ages(replies[0])) <= MOST_BYTES

    asyncio.run(scene())


def encode_ages(reply):
    return encode(RegistryReply(epoch="", version=0, ages=reply.ages))


def test_what_changes_while_the_rest_is_told_is_not_missed():
    async def scene():
        service = registry_of(600)
        changes = iter(range(300))

        def between():
            number = next(changes, None)
            if number is not None and number % 2 == 0:
                service.leave(f"target-{number:05}/{number:024}")
                service.report(TargetReport(f"new-{number}", "pool", "10.0.0.2:1"))

        known, _ = await watch_until_known(service, between)
        rows = {row.identity: row.report.state.value for row in service.registry.rows()}
        assert {identity: record.state for identity, record in known.items()} == rows

    asyncio.run(scene())
