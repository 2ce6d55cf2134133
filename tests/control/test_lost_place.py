"""A leader that loses leadership during a membership change continues as a member.

Guards against a control daemon that exits in this case: the group would lose a second voter right
after the loss of the first.
"""

import asyncio

from tests.control.test_self_repair import run_scenario
from traystall.core.exceptions import RpcRefused
from traystall.rpc.gen.wire.ttypes import JoinRequest, Member, MembersRequest, StatusRequest

# Attempts until a leader appends the change before its lease ends.
_MAX_ATTEMPTS = 5


def isolate_replica(daemon):
    """Drop all messages of a daemon's replica to others; return a function that undoes this."""
    node = daemon.node
    send = node._send
    node._send = lambda messages: send([m for m in messages if m.to == node.replica.identity])

    def undo():
        node._send = send

    return undo


async def lose_leadership_during_change(group):
    """Return a leader that appended a membership change that another leader's entry replaced."""
    for _ in range(_MAX_ATTEMPTS):
        await group.until(lambda: group.leader() is not None)
        leader = group.leader()
        undo = isolate_replica(leader)
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
    """Return whether an isolated leader appended a change before another leader was elected."""
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
    """Return once a former leader has committed as many entries as the current one."""

    def caught_up():
        leader = group.leader()
        if leader is None or leader.node.replica is former:
            return False
        return former.commit_index >= leader.node.replica.commit_index

    await group.until(caught_up)


def test_daemon_outlives_an_election_during_a_change_of_members(tmp_path):
    async def scenario(group):
        former = await lose_leadership_during_change(group)
        await asyncio.sleep(0.5)
        assert not former._background.failed.done()

    run_scenario(tmp_path, scenario)


def test_former_leader_admits_a_newcomer_once_it_leads_again(tmp_path):
    async def scenario(group):
        former = await lose_leadership_during_change(group)
        await group.until(lambda: group.leader() not in (None, former))
        await group.lead_with(former)
        lost = next(name for name, daemon in group.daemons.items() if daemon is not former)
        await group.stop(lost)
        await group.start("d")
        await group.until(lambda: group.live_voters() == set(group.daemons))

    run_scenario(tmp_path, scenario)


def test_replaced_change_of_an_operator_is_refused_as_not_leader(tmp_path):
    """A change that an election replaced is refused as `not-leader`, not reported as failed."""

    async def scenario(group):
        await group.until(lambda: group.leader() is not None)
        leader = group.leader()
        lost = next(m for m in leader.node.replica.members if m.address != leader._address)
        undo = isolate_replica(leader)
        request = MembersRequest(action="remove", member=Member(identity=lost.identity))
        pending = asyncio.create_task(leader.service.handle(request))
        others = [daemon for daemon in group.daemons.values() if daemon is not leader]
        try:
            await group.until(lambda: any(d.node.replica.is_leader for d in others))
        finally:
            undo()
        try:
            await pending
        except RpcRefused as refusal:
            assert refusal.code == "not-leader"
        else:
            raise AssertionError("A change that was replaced was answered as done.")

    run_scenario(tmp_path, scenario)


def test_change_that_only_the_leader_holds_is_not_reported_as_done(tmp_path):
    """An operator who sees a repair as done too early may remove an instance that it relies on."""

    async def scenario(group):
        await group.until(lambda: group.leader() is not None)
        leader = group.leader()
        undo = isolate_replica(leader)
        lost = next(m for m in leader.node.replica.members if m.address != leader._address)
        request = MembersRequest(action="remove", member=Member(identity=lost.identity))
        pending = asyncio.create_task(leader.service.handle(request))
        try:
            await group.until(lambda: lost.identity not in leader.node.replica.voters)
            listed = await leader.service.handle(MembersRequest(action="list"))
            status = await leader.service.handle(StatusRequest())
        finally:
            undo()
        assert lost.identity in {member.identity for member in listed.members}
        assert lost.identity in {member.identity for member in status.members}
        await asyncio.gather(pending, return_exceptions=True)

    run_scenario(tmp_path, scenario)
