"""A gateway starts with the newest reachable revision, without waiting for lost sources."""

import asyncio

import pytest

from traystall.catalog.deltas import EMPTY_DIGEST, entities_digest, make_delta
from traystall.core import clock
from traystall.core.exceptions import RpcUnavailable
from traystall.gateway.configuration import ConfigurationFollower, HeldRevision
from traystall.rpc.gen.wire.ttypes import GatewayRecord, Offer, WatchReply


def reply(number, fresh):
    entities = {"customer/a": str(number).encode()}
    return WatchReply(
        number=number, digest=entities_digest(entities), full=True, puts=entities, fresh=fresh
    )


class Links:
    """For each address, return a reply, raise an error, or never respond."""

    def __init__(self, answers):
        self._answers = answers

    def link(self, address):
        return _Link(self._answers[address])


class _Link:
    def __init__(self, answer):
        self._answer = answer

    async def call(self, request, timeout):
        if self._answer is None:
            await asyncio.sleep(3600)
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer


async def _take(answers):
    follower = ConfigurationFollower(Links(answers), list(answers), [], GatewayRecord)
    began = clock.monotonic()
    async with asyncio.timeout(5):
        await follower.fetch_newest()
    return follower.held.number, clock.monotonic() - began


LOST = RpcUnavailable("It is lost.")


@pytest.mark.parametrize(
    ("answers", "number"),
    [
        ({"a": reply(3, True), "b": None, "c": None}, 3),
        ({"a": LOST, "b": reply(4, True), "c": None}, 4),
        ({"a": reply(3, False), "b": reply(5, False), "c": LOST}, 5),
        ({"a": reply(2, False), "b": reply(3, True), "c": None}, 3),
        ({"a": LOST, "b": LOST, "c": LOST}, 0),
        ({"a": reply(0, True), "b": LOST, "c": reply(1, False)}, 1),
    ],
)
def test_first_revision(answers, number):
    assert asyncio.run(_take(answers))[0] == number


def delta_reply(number, old, new):
    """Return a reply that turns the entities `old` into `new`."""
    delta = make_delta(old, new)
    return WatchReply(
        number=number,
        digest=delta.result,
        full=False,
        base=delta.base,
        puts=delta.puts,
        deletes=delta.deletes,
    )


def revision(number):
    return {"customer/a": str(number).encode(), f"customer/{number}": b"x"}


def test_second_delta_of_the_same_base_keeps_the_revision():
    """Two control daemons reply with deltas of the same base; only the first one applies."""
    held = HeldRevision()
    held.take(delta_reply(1, {}, revision(1)))
    first, second = (delta_reply(n, revision(1), revision(n)) for n in (2, 3))
    assert held.take(first)
    assert not held.take(second)
    assert (held.number, held.digest) == (2, entities_digest(revision(2)))
    assert held.take(delta_reply(3, revision(2), revision(3)))
    assert held.entities == revision(3)


def test_delta_with_a_wrong_digest_is_refused_and_a_full_copy_requested():
    follower = ConfigurationFollower(Links({}), [], [], GatewayRecord)
    follower.held.take(delta_reply(1, {}, revision(1)))
    wrong = delta_reply(2, revision(1), revision(2))
    wrong.puts = {"customer/a": b"another"}
    assert not follower._apply_reply(wrong)
    assert follower.held.digest == EMPTY_DIGEST
    assert follower._apply_reply(delta_reply(3, {}, revision(3)))
    assert follower.held.entities == revision(3)


def test_offer_based_on_a_replaced_revision_is_not_fetched():
    """Two daemons reply to a gateway that starts; the first reply sets the revision in force."""
    follower = ConfigurationFollower(Links({}), [], [], GatewayRecord)
    follower.held.take(delta_reply(1, {}, revision(1)))
    late = delta_reply(2, {}, revision(2))
    late.offer = Offer(digest=b"d", size=100)
    # A fetch would fail, because no address has a link.
    assert not asyncio.run(follower._apply_or_fetch("a", late))
    assert (follower.held.number, follower.newest_revision) == (1, 1)
