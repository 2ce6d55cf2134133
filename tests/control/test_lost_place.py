"""A leader that loses its place with a change of members under way goes on as a member.

Guards against a control daemon that ends itself then: the group had one voter less after an
election, at the very moment at which it had lost one.
"""

import asyncio

from tests.control.test_self_repair import play
from traystall.core.exceptions import RpcRefused
from traystall.rpc.gen.wire.ttypes import JoinRequest, Member, MembersRequest, StatusRequest

# So often a newcomer is announced until the leader appends the change before its lease ends.
_MOST_TRIES = 5


def keep_to_itself(daemon):
    """Drop all that a daemon's replica sends to others; return what undoes this."""
    node = daemon.node
    send = node._send
    node._send = lambda messages: send([m for m in messages if m.to == node.replica.identity])

    def undo():
        node._send = send

    return undo


async def lose_place_during_a_change(group):
    """Return a leader that appended a change of members which another leader's entry replaced."""
    for _ in range(_MOST_TRIES):
        await group.until(lambda: group.leader() is not None)
        leader = group.leader()
        undo = keep_to_itself(leader)
        try:
            newcomer = Member(identity="x/1", address="127.0.0.1:1", data_centre="here")
            await leader.service.handle(JoinRequest(member=newcomer))
            appended = await _appended_before_election(group, leader)
        finally:
            undo()
        replica = leader.node.replica
        await _until_caught_up(group, replica)
        if appended:
            return leader
    raise AssertionError("No leader appended the change before its lease ended.")


async def _appended_before_election(group, leader):
    """Return whether a leader that reaches nobody appended a change before another one led."""
    log = leader.node.replica.log
    first = log.last_index + 1
    others = [daemon.node.replica for daemon in group.daemons.values() if daemon is not leader]
    appended = []

    def elected():
        if log.members_index >= first:
            appended.append(log.members_index)
        return any(replica.is_leader for replica in others)

    await group.until(elected)
    return bool(appended)


async def _until_caught_up(group, former):
    """Return once a former leader has all that the present one has committed."""

    def caught_up():
        leader = group.leader()
        if leader is None or leader.node.replica is former:
            return False
        return former.commit_index >= leader.node.replica.commit_index

    await group.until(caught_up)


def test_daemon_outlives_an_election_during_a_change_of_members(tmp_path):
    async def story(group):
        former = await lose_place_during_a_change(group)
        await asyncio.sleep(0.5)
        assert not former._background.failed.done()

    play(tmp_path, story)


def test_former_leader_takes_a_newcomer_in_once_it_leads_again(tmp_path):
    async def story(group):
        former = await lose_place_during_a_change(group)
        await group.until(lambda: group.leader() not in (None, former))
        await group.lead_with(former)
        lost = next(name for name, daemon in group.daemons.items() if daemon is not former)
        await group.stop(lost)
        await group.start("d")
        await group.until(lambda: group.live_voters() == set(group.daemons))

    play(tmp_path, story)


def test_operator_is_told_where_to_ask_when_the_change_was_replaced(tmp_path):
    """An operator's change that an election replaced is answered as not led here, not as failed."""

    async def story(group):
        await group.until(lambda: group.leader() is not None)
        leader = group.leader()
        lost = next(m for m in leader.node.replica.members if m.address != leader._address)
        undo = keep_to_itself(leader)
        request = MembersRequest(action="remove", member=Member(identity=lost.identity))
        asked = asyncio.create_task(leader.service.handle(request))
        others = [daemon for daemon in group.daemons.values() if daemon is not leader]
        try:
            await group.until(lambda: any(d.node.replica.is_leader for d in others))
        finally:
            undo()
        try:
            await asked
        except RpcRefused as refusal:
            assert refusal.code == "not-leader"
        else:
            raise AssertionError("A change that was replaced was answered as done.")

    play(tmp_path, story)


def test_change_that_only_the_leader_holds_is_not_told_as_done(tmp_path):
    """An operator who reads a repair as done too early takes away the instance it counts on."""

    async def story(group):
        await group.until(lambda: group.leader() is not None)
        leader = group.leader()
        undo = keep_to_itself(leader)
        lost = next(m for m in leader.node.replica.members if m.address != leader._address)
        request = MembersRequest(action="remove", member=Member(identity=lost.identity))
        asked = asyncio.create_task(leader.service.handle(request))
        try:
            await group.until(lambda: lost.identity not in leader.node.replica.voters)
            listed = await leader.service.handle(MembersRequest(action="list"))
            status = await leader.service.handle(StatusRequest())
        finally:
            undo()
        assert lost.identity in {member.identity for member in listed.members}
        assert lost.identity in {member.identity for member in status.members}
        await asyncio.gather(asked, return_exceptions=True)

    play(tmp_path, story)
