"""Keep the control group whole: let newcomers in, take lost members out, ask to join.

The leader decides with `traystall.systems.repair`; every daemon that is no voter,
or that hears no leader, asks the others to be let in.
"""

import asyncio
import logging

from traystall.consensus.models import MemberRecord
from traystall.control.exceptions import ControlError
from traystall.control.members import to_member_record
from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import ConsensusError, RpcError, RpcRefused
from traystall.core.logs import decision
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.records import to_wire_member
from traystall.systems.repair import SILENT_SECONDS, GroupView, next_members

_REVIEW_SECONDS = 0.1
_ASK_SECONDS = 0.3
_ASK_TIMEOUT = 0.5
_CHANGE_TIMEOUT = 3.0
# A request to join is remembered this long; the newcomer repeats it until it votes.
_JOIN_SECONDS = 2.0

logger = logging.getLogger(__name__)


class GroupRepair:
    """Mend the group from the leader's side and ask for admission from a newcomer's.

    `addresses` returns control daemons to ask besides the members in the own log.
    """

    def __init__(self, node: Node, links: LinkPool, own: MemberRecord, addresses):
        self._node = node
        self._links = links
        self._own = own
        self._addresses = addresses
        self._joining: dict[str, tuple[MemberRecord, float]] = {}
        self._leading_since: float | None = None

    async def join(self, request: ttypes.JoinRequest) -> ttypes.JoinReply:
        """Note that a daemon wants to be a member; only a leader takes it in."""
        replica = self._node.replica
        if not replica.is_leader:
            raise RpcRefused("not-leader", self._node.leader_address())
        record = to_member_record(request.member, voter=False)
        self._joining[record.identity] = (record, clock.monotonic())
        return ttypes.JoinReply(
            outcome="noted", members=[to_wire_member(m) for m in replica.members]
        )

    async def lead_forever(self) -> None:
        """Carry out one change after the other while this replica leads."""
        while True:
            await asyncio.sleep(_REVIEW_SECONDS)
            try:
                await self._review()
            except (ConsensusError, ControlError) as error:
                # Both bases: an election may replace the change at any step of it, and without
                # this loop the daemon ends when the group has just lost another member.
                logger.info("members not changed", extra={"why": str(error)})

    async def ask_forever(self) -> None:
        """Ask to be let in whenever this replica is no voter of a working group."""
        while True:
            await asyncio.sleep(_ASK_SECONDS)
            if self._is_settled():
                continue
            request = ttypes.JoinRequest(member=to_wire_member(self._own))
            await asyncio.gather(*(self._ask(address, request) for address in self._known()))

    def _is_settled(self):
        replica = self._node.replica
        return replica.identity in replica.voters and self._node.is_fresh()

    def _known(self):
        members = {member.address for member in self._node.replica.members}
        return sorted((members | set(self._addresses())) - {self._own.address})

    async def _ask(self, address, request):
        try:
            await self._links.link(address).call(request, _ASK_TIMEOUT)
        except RpcError as error:
            logger.debug("not let in", extra={"peer": address, "why": str(error)})

    async def _review(self):
        replica = self._node.replica
        now = clock.monotonic()
        if not replica.holds_lease(now):
            self._leading_since = None
            return
        if self._leading_since is None:
            self._leading_since = now
        members = next_members(self._view(now))
        if members is None:
            return
        await self._node.change_members(members, _CHANGE_TIMEOUT)
        decision("members", voters=[m.identity for m in members if m.voter], count=len(members))

    def _view(self, now):
        replica = self._node.replica
        self._joining = {
            identity: (record, at)
            for identity, (record, at) in self._joining.items()
            if now - at < _JOIN_SECONDS
        }
        others = [m.identity for m in replica.members if m.identity != replica.identity]
        silent = {identity for identity in others if self._is_silent(identity, now)}
        caught_up = {identity for identity in others if self._has_caught_up(identity)}
        return GroupView(
            members=tuple(replica.members),
            joining=tuple(record for record, _ in self._joining.values()),
            silent=frozenset(silent),
            caught_up=frozenset(caught_up),
            own_identity=replica.identity,
        )

    def _is_silent(self, identity, now):
        """Return whether a member has been silent for long, also counted from the election."""
        heard_at = max(self._node.replica.heard_at(identity), self._leading_since or now)
        return now - heard_at > SILENT_SECONDS

    def _has_caught_up(self, identity):
        progress = self._node.replica.progress.get(identity)
        answered = progress is not None and progress.acked_round > 0
        return answered and self._node.replica.caught_up(identity)
