"""Membership changes of the group: add as learner, promote once caught up, remove, replace."""

import asyncio
import logging

import msgspec

from traystall.consensus.models import MemberRecord
from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import ConsensusError, RpcRefused
from traystall.core.logs import decision
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.records import to_wire_member

_CHANGE_TIMEOUT_SECONDS = 5.0
_CATCH_UP_TIMEOUT_SECONDS = 60.0
_POLL_INTERVAL_SECONDS = 0.1

_MAX_PORT = 65535

logger = logging.getLogger(__name__)


class MemberChanges:
    """Carry out operators' membership changes on the leader, one at a time."""

    def __init__(self, node: Node):
        self._node = node
        self._busy = asyncio.Lock()

    async def handle(self, request: ttypes.MembersRequest) -> ttypes.MembersReply:
        """Carry out `list`, `add`, `remove` or `replace` and return the resulting members."""
        actions = {"add": self._add, "remove": self._remove, "replace": self._replace}
        if request.action == "list":
            return self._reply(done=True)
        action = actions.get(request.action)
        if action is None:
            raise RpcRefused("bad-request", f"'{request.action}' is not a members action.")
        if request.member is None:
            raise RpcRefused("bad-request", f"'{request.action}' needs a member.")
        self._require_leader()
        async with self._busy:
            await action(request)
        decision("members", action=request.action, member=request.member.identity)
        return self._reply(done=True)

    async def hand_over(self) -> None:
        """Transfer leadership to the voter with the longest log; return once another one leads."""
        self._require_leader()
        replica = self._node.replica
        others = [name for name in replica.progress if name in replica.voters]
        if not others:
            raise ConsensusError("There is no other voter to hand leadership to.")
        best = max(others, key=lambda name: replica.progress[name].match_index)
        replica.hand_over(best, clock.monotonic())
        self._node.process_ready()
        deadline = clock.monotonic() + replica.timing.election_max * 2
        while clock.monotonic() < deadline:
            if not replica.is_leader and replica.leader:
                return
            await asyncio.sleep(_POLL_INTERVAL_SECONDS / 2)
        raise ConsensusError("No other voter took over in time.")

    async def _add(self, request):
        member = to_member_record(request.member, voter=False)
        known = {m.identity: m for m in self._node.replica.members}.get(member.identity)
        if known is not None and known.voter:
            return  # A repeated request for a change that is already done.
        if known is None:
            await self._change([*self._others(member.identity), member])
        await self._wait_caught_up(member.identity)
        promoted = msgspec.structs.replace(member, voter=True)
        await self._change([*self._others(member.identity), promoted])

    async def _remove(self, request):
        self._require_known(request.member.identity)
        await self._change(self._others(request.member.identity))

    async def _replace(self, request):
        """Make the new member a voter before the old one is removed, so that no copy is missing."""
        names = {member.identity for member in self._node.replica.members}
        if request.replaces not in names and request.member.identity in names:
            return  # A repeated request for a change that is already done.
        self._require_known(request.replaces)
        await self._add(request)
        await self._change(self._others(request.replaces))

    async def _change(self, members):
        await self._node.change_members(members, _CHANGE_TIMEOUT_SECONDS)

    async def _wait_caught_up(self, identity):
        deadline = clock.monotonic() + _CATCH_UP_TIMEOUT_SECONDS
        while clock.monotonic() < deadline:
            self._require_leader()
            progress = self._node.replica.progress.get(identity)
            answered = progress is not None and progress.acked_round > 0
            if answered and self._node.replica.caught_up(identity):
                return
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        raise ConsensusError(
            f"'{identity}' did not catch up; it stays a learner. Check that it runs, then retry."
        )

    def _others(self, identity):
        return [m for m in self._node.replica.members if m.identity != identity]

    def _require_known(self, identity):
        if identity not in {member.identity for member in self._node.replica.members}:
            raise ConsensusError(f"'{identity}' is not a member.")

    def _require_leader(self):
        if not self._node.replica.is_leader:
            raise RpcRefused("not-leader", self._node.leader_address())

    def _reply(self, done):
        replica = self._node.replica
        matched = {name: p.match_index for name, p in replica.progress.items()}
        return ttypes.MembersReply(
            # Only committed members: an operator who sees a finished repair may then remove the
            # next instance.
            members=[to_wire_member(member) for member in replica.committed_members],
            leader=self._node.leader_address(),
            commit=replica.commit_index,
            matched=matched,
            done=done,
        )


def to_member_record(member: ttypes.Member, voter: bool) -> MemberRecord:
    """Return a wire message as a member record; raise RpcRefused if its address is invalid.

    Every replica sends messages to the addresses of the members in its log, and without a valid
    address the membership change can't be undone.
    """
    host, _, port = (member.address or "").rpartition(":")
    if not host or not port.isdecimal() or int(port) > _MAX_PORT:
        raise RpcRefused("bad-request", f"'{member.address}' is no address of a control daemon.")
    return MemberRecord(member.identity, member.address, member.data_centre or "", voter)
